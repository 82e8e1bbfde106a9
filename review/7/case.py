"""Nodes are stopped in turn while clients pipeline requests for answers of 30,000 bytes over a network with a delay."""
import asyncio
import random
import signal
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
from world import PORTS, Target, World, encode_answer, log, main, route, service

ONE_WAY_S = 0.003
# What a new connection sends in a round trip before the first acknowledgement: ten segments.
WINDOW_BYTES = 14_600
ANSWER_BYTES = 30_000
CONNECTIONS = 100
STOPS = 8
GRACE_S = 6.0


class LargeTarget(Target):
    async def handle(self, message):
        answer = await super().handle(message)
        if b"X-Response-Seal" not in answer.split(b"\r\n\r\n", 1)[0]:
            return answer
        request = message.headers["x-attempt-id"]
        headers = [("X-Attempt-Id", request), ("X-Response-Seal", f"seal-{request}"), ("X-Instance-Load", f"{self.running},0,{self.slots}")]
        return encode_answer(200, headers, request.encode().ljust(ANSWER_BYTES, b"."))


class Pipeline:
    """A client connection on which further requests are sent before the first has been answered."""

    def __init__(self, world, machine, name):
        self.world, self.machine, self.name = world, machine, name
        self.sent, self.answered, self.seen, self.is_closing, self.ended = [], 0, b"", False, None

    async def run(self, until):
        loop = asyncio.get_running_loop()
        self.stream = socket.socket()
        self.stream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        self.stream.setblocking(False)
        try:
            await loop.sock_connect(self.stream, (self.machine.ip, PORTS["outbound"]))
        except OSError as error:
            self.ended = type(error).__name__
            self.stream.close()
            return
        reading = asyncio.create_task(self.read())
        try:
            while not self.is_closing and self.ended is None and time.monotonic() < until:
                request = f"{self.name}x{len(self.sent):x}"
                self.sent.append(request)
                log(self.world.record, "sent", request=request, machine=self.machine.name)
                text = f"GET /orders/{request} HTTP/1.1\r\nHost: orders.example\r\nX-Attempt-Id: {request}\r\nX-Deadline-Ms: 5000\r\n\r\n"
                await asyncio.sleep(ONE_WAY_S)
                try:
                    await loop.sock_sendall(self.stream, text.encode())
                except OSError:
                    break
                await asyncio.sleep(random.expovariate(1 / 0.25))
            until = time.monotonic() + 8
            while self.ended is None and self.answered < len(self.sent) and time.monotonic() < until:
                await asyncio.sleep(0.02)
        finally:
            reading.cancel()
            self.stream.close()

    async def read(self):
        """Takes what the network carries in a round trip, and lets the client see it after the delay."""
        loop = asyncio.get_running_loop()
        while self.ended is None:
            try:
                data = await loop.sock_recv(self.stream, WINDOW_BYTES)
            except OSError as error:
                # What came before the reset is still on its way to the client.
                await asyncio.sleep(2 * ONE_WAY_S)
                self.ended = type(error).__name__
                return
            if not data:
                await asyncio.sleep(2 * ONE_WAY_S)
                self.ended = "closed"
                return
            loop.call_later(ONE_WAY_S, self.see, data)
            await asyncio.sleep(2 * ONE_WAY_S)

    def see(self, data):
        self.seen += data
        while True:
            head, separator, rest = self.seen.partition(b"\r\n\r\n")
            if not separator:
                return
            if b"connection: close" in head.lower():
                self.is_closing = True
            length = next(int(line.split(b":")[1]) for line in head.split(b"\r\n") if line.lower().startswith(b"content-length:"))
            if len(rest) < length:
                return
            self.seen = rest[length:]
            request = self.sent[self.answered]
            log(self.world.record, "answered", request=request, status=int(head.split(b" ")[1]))
            self.answered += 1


async def case(record, trouble):
    world = World(record)
    try:
        for zone in ("a", "b", "c"):
            world.add_machine("orders", zone)
        world.write_manifest([("r-orders", route("orders"))], [("orders", service(1312))])
        await world.start()
        for machine in world.machines:
            machine.start_node()
        for machine in world.machines:
            await LargeTarget(world, machine, "orders", 202, 0.12).start()
        if not await world.wait_ready():
            return 2
        await asyncio.sleep(3)
        cut, whole = [], 0
        for stop in range(STOPS):
            machine = world.machines[stop % len(world.machines)]
            until = time.monotonic() + 3.5
            pipelines = [Pipeline(world, machine, f"s{stop}c{number}") for number in range(CONNECTIONS)]
            tasks = [asyncio.create_task(pipeline.run(until)) for pipeline in pipelines]
            await asyncio.sleep(1.5)
            stopped_at = time.monotonic()
            if trouble:
                machine.send(signal.SIGTERM)
                log(record, "SIGTERM", machine=machine.name)
            await asyncio.gather(*tasks)
            ran = {request for _, _, request in world.runs}
            for pipeline in pipelines:
                whole += pipeline.answered
                log(record, "connection", name=pipeline.name, ended=pipeline.ended, sent=len(pipeline.sent), answered=pipeline.answered, closing=pipeline.is_closing, rest=len(pipeline.seen))
                # Only the first request without an answer counts; those behind it were not passed on.
                if pipeline.ended and pipeline.answered < len(pipeline.sent) and pipeline.sent[pipeline.answered] in ran:
                    request = pipeline.sent[pipeline.answered]
                    cut.append(request)
                    log(record, "cut", request=request, ended=pipeline.ended, bytes_of_the_answer=len(pipeline.seen))
            if trouble:
                while machine.process.poll() is None and time.monotonic() < stopped_at + GRACE_S:
                    await asyncio.sleep(0.05)
                if machine.process.poll() is None:
                    machine.kill_node()
                    log(record, "killed after the grace time", machine=machine.name)
                machine.start_node()
                if not await world.wait_ready():
                    return 2
                await asyncio.sleep(1)
        log(record, "result", whole=whole, cut=cut)
        print(f"whole answers: {whole}; requests that ran and whose answer was cut: {len(cut)}")
        return 2 if whole < 1000 else int(bool(cut))
    finally:
        await world.stop()

if __name__ == "__main__":
    main(case, Path(__file__).parent)
