"""A crowd of clients: requests of legal size with very many short fields, sent ahead without reading the answers.

crowd.py HOST PORT CONNECTIONS PATH: keeps this number of connections open until it is ended, or for 100 s. After each WAVE_S
all are closed, and new ones opened.
"""
import os
import resource
import selectors
import socket
import sys
import time

HOST, PORT, COUNT, PATH = sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), sys.argv[4]
HEAD_BYTES = 16000
LIFETIME_S = 100
WAVE_S = 6


ID_PLACE = b"************"


def request_text():
    """A request with a head of less than 16,384 bytes, with a place for its id."""
    start = f"GET {PATH} HTTP/1.1\r\nHost: orders.example\r\nX-Attempt-Id: {ID_PLACE.decode()}\r\nX-Deadline-Ms: 5000\r\n"
    fields, number = "", 0
    while len(start) + len(fields) < HEAD_BYTES:
        fields += f"{number:x}:\r\n"
        number += 1
    return (start + fields + "\r\n").encode()


def connect():
    stream = socket.socket()
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    stream.setblocking(False)
    stream.connect_ex((HOST, PORT))
    return stream


def main():
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    parent, until, text = os.getppid(), time.monotonic() + LIFETIME_S, request_text()
    selector, rest, number = selectors.DefaultSelector(), {}, 0
    wave_until = time.monotonic() + WAVE_S

    def close(stream):
        selector.unregister(stream)
        del rest[stream]
        stream.close()
    while time.monotonic() < until and os.getppid() == parent:
        if time.monotonic() >= wave_until:
            wave_until += WAVE_S
            for stream in list(rest):
                close(stream)
        for _ in range(min(50, COUNT - len(rest))):
            stream = connect()
            rest[stream] = b""
            selector.register(stream, selectors.EVENT_WRITE)
        for key, _ in selector.select(timeout=0.05):
            stream = key.fileobj
            try:
                if not rest[stream]:
                    number += 1
                    rest[stream] = text.replace(ID_PLACE, b"%04x%08x" % (os.getpid() % 65536, number))
                rest[stream] = rest[stream][stream.send(rest[stream]):]
            except BlockingIOError:
                pass
            except OSError:
                close(stream)


main()
