"""UNASKED: after a heartbeat of another writer, a node sends a wrong X-Caller-Service.

One heartbeat that names a service that is in no manifest arrives at the control address of a machine.
It must name no target to use, and the target of the machine must stay.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import stand
from stand import Caller, TROUBLE, route

REQUESTS = 20


async def play(fleet):
    front, back = fleet.machine("front-svc"), fleet.machine("back-svc")
    routes = {"front": route("front-svc", "/front/"), "back": route("back-svc", "/back/")}
    tenants = {"tenant-a": {"apiKeys": ["key-a-0123456789"], "priority": 1, "ratePerS": 100, "burst": 100}}
    await fleet.configure(routes, tenants, ["front-svc", "back-svc"])
    for machine in fleet.machines:
        await machine.start()
    await fleet.wait_until_ready()
    await asyncio.sleep(5)
    caller = Caller(front)
    answers = []

    async def send_all():
        for _ in range(REQUESTS):
            for path in ("/back/x", "/front/x"):
                answers.append((path, await caller.send("POST", path, "key-a-0123456789")))

    await send_all()
    if any(answer.status != 200 for _, answer in answers):
        raise stand.CannotRun("a request before the heartbeat was not served")
    if TROUBLE:
        info = {"service": "unheard-svc", "version": "v1", "zone": front.zone, "slots": 10}
        status = {"state": "ready", "sequence": 1, "coldRemaining": "0ms"}
        heartbeat = {"address": f"{front.ip}:{front.ports['app']}", "born": int(time.time() * 1000), "info": info, "status": status}
        answer = await front.tell("PUT", "i-of-another-writer", heartbeat)
        fleet.record("heartbeat of another writer", machine=front.name, service="unheard-svc", answered=answer)
    # Longer than three heartbeats of the machine's own target.
    await asyncio.sleep(5)
    await send_all()
    later = answers[2 * REQUESTS:]
    wrong = []
    for machine in fleet.machines:
        for at, request, headers, _ in machine.target.runs:
            if headers.get("x-caller-service") != front.service:
                wrong.append(request)
    unserved = [answer.status for path, answer in later if path == "/front/x" and answer.status != 200]
    fleet.record("checked", runs=sum(len(it.target.runs) for it in fleet.machines), wrong_caller_service=len(wrong),
                 own_target_unserved=len(unserved), statuses=sorted(set(map(str, unserved))))
    if wrong:
        return f"UNASKED: {len(wrong)} requests of a machine with the service front-svc ran with another X-Caller-Service"
    return ""


stand.run(Path(__file__).parent, play)
