"""A target leaves and is acknowledged; its node is stopped and started; a heartbeat of before arrives late."""
import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
from world import START, Target, World, log, main, route, service

DRAIN_S, STABLE_S = 2.0, 3.0
BEAT_LATE_S = 4.5
SERVES_ON_S = 8.0
GRACE_S = 6.0


async def case(record, trouble):
    world = World(record)
    sent_at = {}
    try:
        for name, zone in (("orders", "a"), ("orders", "b"), ("orders", "c"), ("stock", "a"), ("stock", "b")):
            world.add_machine(name, zone)
        world.write_manifest([("r-orders", route("orders"))], [("orders", service()), ("stock", service())])
        await world.start()
        for machine in world.machines:
            machine.start_node()
        targets = [await Target(world, machine, machine.service, 36, 0.1).start() for machine in world.machines]
        if not await world.wait_ready():
            return 2
        stop = asyncio.Event()

        async def client(machine, number):
            count = 0
            while not stop.is_set():
                count += 1
                request = f"c{number}x{count:06x}"
                sent_at[request] = time.monotonic()
                await world.request(machine, "GET", "orders.example", f"/orders/{count}", request, 5000)
                await asyncio.sleep(0.05)
        clients = [asyncio.create_task(client(machine, number)) for number, machine in enumerate(world.machines)]
        await asyncio.sleep(4)
        leaving = targets[0]
        # The network holds up this heartbeat. It was sent before the target leaves.
        late_beat = leaving.beat()
        status = await leaving.leave()
        acked_at = time.monotonic()
        log(record, "leave", target=leaving.id, status=status)
        if status != 200:
            return 2
        started_at = START
        if trouble:
            await asyncio.sleep(0.1)
            machine = world.machines[0]
            machine.send(signal.SIGTERM)
            log(record, "SIGTERM", machine=machine.name)
            while machine.process.poll() is None:
                if time.monotonic() > acked_at + GRACE_S:
                    return 2
                await asyncio.sleep(0.02)
            await asyncio.sleep(0.3)
            machine.start_node()
            started_at = time.monotonic()
            log(record, "started again", machine=machine.name)
        await asyncio.sleep(acked_at + BEAT_LATE_S - time.monotonic())
        status = await leaving.send_beat(late_beat)
        log(record, "late heartbeat", target=leaving.id, status=status)
        await asyncio.sleep(acked_at + SERVES_ON_S - time.monotonic())
        stop.set()
        await asyncio.gather(*clients)
        in_touch_from = max(acked_at + DRAIN_S, started_at + STABLE_S)
        late = [r for at, target, r in world.runs if target is leaving and sent_at[r] > in_touch_from]
        served = sum(1 for at, target, r in world.runs if at > in_touch_from)
        log(record, "result", late=late, served=served)
        print(f"requests at the target that were sent later than {DRAIN_S} s after the ack: {len(late)}; all runs then: {served}")
        for target in targets:
            await target.stop()
        return 2 if served == 0 else int(bool(late))
    finally:
        await world.stop()

if __name__ == "__main__":
    main(case, Path(__file__).parent)
