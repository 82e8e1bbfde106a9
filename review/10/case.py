"""A heartbeat of another writer, without the field `version`, reaches a node beside a target that lives."""
import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
from world import PORTS, Target, World, encode_answer, http_call, log, main, route, serve_http, service

OTHER_PORT = 8550
OTHER_ID = "i-0ther"


async def case(record, trouble):
    world = World(record)
    caller_of, wrong = {}, []
    try:
        for name, zone in (("orders", "a"), ("orders", "b"), ("stock", "a"), ("stock", "b")):
            world.add_machine(name, zone)
        routes = [("r-orders", route("orders")), ("r-stock", route("stock", kind="unsafe"))]
        world.write_manifest(routes, [("orders", service()), ("stock", service())])
        await world.start()
        for machine in world.machines:
            machine.start_node()
        targets = [await Target(world, machine, machine.service, 36, 0.05).start() for machine in world.machines]
        if not await world.wait_ready():
            return 2

        def on_run(target, request, message):
            stated = message.headers.get("x-caller-service")
            log(record, "run", request=request, target=target.id, caller=stated)
            world.runs.append((time.monotonic(), target, request))
            if stated != caller_of[request]:
                wrong.append(request)
        world.on_run = on_run
        received = []

        async def other_server(message):
            """The server of the other writer, which is no target of this deployment."""
            received.append(message.headers.get("x-attempt-id"))
            log(record, "received by the other writer's server", request=received[-1], method=message.first[0])
            return encode_answer(404, [])
        first = world.machines[0]
        await serve_http((first.ip, OTHER_PORT), other_server)
        stop, answers = asyncio.Event(), []

        async def client(machine, number):
            count = 0
            while not stop.is_set():
                count += 1
                request = f"c{number}x{count:06x}"
                caller_of[request] = machine.service
                method, path = (("GET", "/orders/"), ("POST", "/stock/"))[count % 2]
                answers.append((time.monotonic(), request, await world.request(machine, method, "orders.example", f"{path}{count}", request, 3000)))
                await asyncio.sleep(0.05)
        clients = [asyncio.create_task(client(machine, number)) for number, machine in enumerate(world.machines)]
        await asyncio.sleep(4)
        if trouble:
            beat = {
                "address": f"{first.ip}:{OTHER_PORT}", "born": int(time.time() * 1000),
                "info": {"service": "stock", "zone": "a", "slots": 36},
                "status": {"state": "ready", "sequence": 1, "coldRemaining": "0ms"},
            }
            headers = [("Content-Type", "application/json")]
            answer = await http_call((first.ip, PORTS["control"]), "PUT", f"/instances/{OTHER_ID}", headers, json.dumps(beat).encode())
            log(record, "heartbeat of another writer", machine=first.name, status=answer.first[1])
        await asyncio.sleep(8)
        stop.set()
        await asyncio.gather(*clients)
        failed = [request for _, request, status in answers if status == 502]
        log(record, "result", wrong_caller=len(wrong), received_elsewhere=len(received), answered_502=len(failed), runs=len(world.runs))
        print(f"runs: {len(world.runs)}; with another X-Caller-Service: {len(wrong)}; requests at the other writer's server: {len(received)}; answered 502: {len(failed)}")
        return 2 if len(world.runs) < 100 else int(bool(wrong))
    finally:
        await world.stop()

if __name__ == "__main__":
    main(case, Path(__file__).parent)
