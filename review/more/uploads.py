"""LOST: large uploads, each within maxBodyBytes, take a node over its machine's memory.

Callers of one machine keep connections open and send small requests that must not run twice. At the
same time 64 clients of the machine upload 4 MiB each; the manifest permits bodies of 64 MiB. The
platform kills a process that exceeds memoryMb. The requests that the targets were running are cut off.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import stand
from stand import Caller, TROUBLE, route

MEMORY_MB = 260
UPLOADS = 64
UPLOAD_BYTES = 4 << 20 if TROUBLE else 4 << 10
CALLERS = 24
RESTART_S = 0.5
# The rule is broken by more than three requests.
ALLOWED_LOST = 3


def resident_mb(process):
    for line in open(f"/proc/{process.pid}/status"):
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


async def enforce_memory(fleet, kills, peaks):
    """Kills a node that exceeds its memory and starts it again after a short delay, as the platform does."""
    while True:
        for machine in fleet.machines:
            used = resident_mb(machine.process)
            peaks[machine.name] = max(peaks.get(machine.name, 0), used)
            if used > MEMORY_MB:
                fleet.record("memory exceeded", machine=machine.name, used_mb=round(used), limit_mb=MEMORY_MB)
                machine.kill_node()
                kills.append((machine.name, fleet.record.now()))
                await asyncio.sleep(RESTART_S)
                machine.start_node()
        await asyncio.sleep(0.005)


async def play(fleet):
    front, back = fleet.machine("front-svc"), fleet.machine("back-svc")
    routes = {
        "grant": route("back-svc", "/grant/", timeout="4000ms", aim="2000ms"),
        "upload": route("back-svc", "/upload/", timeout="5000ms", aim="4000ms", priority=1),
    }
    tenants = {"tenant-a": {"apiKeys": ["key-a-0123456789"], "priority": 1, "ratePerS": 100, "burst": 100}}
    await fleet.configure(routes, tenants, ["front-svc", "back-svc"])
    for machine in fleet.machines:
        await machine.start(slots=200)
    await fleet.wait_until_ready()
    kills, peaks = [], {}
    memory = asyncio.create_task(enforce_memory(fleet, kills, peaks))
    # In touch: longer than stableWindow without any disturbance.
    await asyncio.sleep(5)
    callers = [Caller(front) for _ in range(CALLERS)]
    opened = [await caller.send("POST", "/grant/open", "key-a-0123456789") for caller in callers]
    if any(answer.status != 200 for answer in opened):
        raise stand.CannotRun("a request before the uploads was not served")
    clients = [Caller(front) for _ in range(UPLOADS)]
    small = [asyncio.create_task(caller.send("POST", "/grant/work1500", "key-a-0123456789", b"grant")) for caller in callers]
    await asyncio.sleep(0.3)
    body = b"x" * UPLOAD_BYTES
    large = [asyncio.create_task(client.send("POST", "/upload/work200", "key-a-0123456789", body, deadline_ms=8000)) for client in clients]
    answers, uploads = await asyncio.gather(*small), await asyncio.gather(*large)
    await asyncio.sleep(1)
    memory.cancel()
    ran = {request for _, request, _, _ in back.target.runs}
    lost = [it.request for it in answers if it.status == 0 and it.request in ran]
    fleet.record("memory", peak_mb={name: round(used) for name, used in peaks.items()}, killed=len(kills))
    fleet.record("uploads", statuses=[it.status for it in uploads])
    fleet.record("requests on kept connections", sent=len(answers), passed_on_and_cut_off=len(lost), answered=sum(1 for it in answers if it.status))
    if len(lost) > ALLOWED_LOST:
        return f"LOST: {len(lost)} of {len(answers)} requests ran at a sound target and their connections ended without an answer"
    return ""


stand.run(Path(__file__).parent, play)
