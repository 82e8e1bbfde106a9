"""A crowd of clients: requests of legal size with very many short fields, sent ahead without reading the answers.

crowd.py HOST PORT CONNECTIONS PATH: keeps this number of connections open until it is ended, or for 100 s.
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


def request_text():
    """One request with a head of less than 16,384 bytes."""
    start = f"GET {PATH} HTTP/1.1\r\nHost: orders.example\r\nX-Attempt-Id: c0ffee\r\nX-Deadline-Ms: 5000\r\n"
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
    selector, sent = selectors.DefaultSelector(), {}

    def close(stream):
        selector.unregister(stream)
        del sent[stream]
        stream.close()
    while time.monotonic() < until and os.getppid() == parent:
        for _ in range(min(50, COUNT - len(sent))):
            stream = connect()
            sent[stream] = 0
            selector.register(stream, selectors.EVENT_WRITE)
        for key, _ in selector.select(timeout=0.05):
            stream = key.fileobj
            try:
                sent[stream] += stream.send(text[sent[stream] % len(text):])
            except BlockingIOError:
                pass
            except OSError:
                close(stream)


main()
