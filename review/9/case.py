"""Case 9: a daemon that has no configuration yet and is told to stop answers 404 to proper requests."""

import asyncio
import os
import signal
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))
import harness
from harness import Worker, main, now, route

# The rule allows ten such answers by machines out of touch.
MAX_DENIED = 10
# Largest time for which the site file of the case has the whole store down.
STORE_DOWN_S = 8.0


async def case(fleet, trouble):
    services = ["orders", "orders", "archive"]
    nodes = [await fleet.add(service) for service in services]
    routes = {"r-orders": route("orders.example", "/orders/", "orders", kind="non_idempotent"),
              "r-archive": route("archive.example", "/archive/", "archive")}
    await fleet.put_config(1, routes, ["orders", "archive"])
    for node in nodes:
        await node.start()
    workers = []
    for index, node in enumerate(nodes):
        worker = Worker(fleet.record, node.service, f"i-{index + 1}", node.app, node.control, slots=18)
        await worker.start()
        workers.append(worker)
    for node in nodes:
        await node.until_ready()
    await asyncio.sleep(4.0)

    statuses = {}
    denied = []
    stopped = asyncio.Event()

    async def client(node, host, path, method):
        # Fewer than half of the zone's daemons are in, so the clients go on although their daemon isn't ready.
        while not stopped.is_set():
            if node.process.returncode is None:
                status, _, _, request_id = await fleet.request(node, host, path, method, body=b"x" if method == "POST" else b"")
                statuses[status] = statuses.get(status, 0) + 1
                if isinstance(status, int) and 300 <= status < 500 and status not in (408, 421, 429):
                    denied.append((now(), node.name, status, request_id))
            await asyncio.sleep(0.1)

    clients = [asyncio.create_task(client(node, "orders.example", "/orders/1", "POST")) for node in nodes]
    clients += [asyncio.create_task(client(node, "archive.example", "/archive/1", "GET")) for node in nodes]
    await asyncio.sleep(1.0)

    if trouble:
        down_at = now()
        fleet.record.line("the store is down: it answers 503 to all machines")
        fleet.store.set_mode("busy")
        await asyncio.sleep(0.3)
        fleet.record.line("all processes are killed at the same moment")
        for node in nodes:
            await node.kill()
        await asyncio.sleep(0.5)
        for node in nodes:
            await node.restart(fleet.ports[node.name])
        await asyncio.sleep(2.0)
    fleet.record.line("planned work: the machines are stopped and started in turn")
    rolls = [asyncio.create_task(roll(fleet, node, index * 1.0)) for index, node in enumerate(nodes)]
    if trouble:
        await asyncio.sleep(max(0.0, down_at + STORE_DOWN_S - now()))
        fleet.record.line("the store is up again")
        fleet.store.set_mode("up")
    await asyncio.gather(*rolls)
    for node in nodes:
        await node.until_ready()
    await asyncio.sleep(1.0)
    stopped.set()
    await asyncio.gather(*clients)
    for worker in workers:
        await worker.stop()
    fleet.record.line(f"answers by status: {statuses}")
    summary = f"{len(denied)} proper requests were answered 404 (allowed: {MAX_DENIED}); answers: {statuses}"
    return len(denied) <= MAX_DENIED, summary


async def roll(fleet, node, delay):
    await asyncio.sleep(delay)
    node.signal(signal.SIGTERM)
    await node.process.wait()
    fleet.record.line(f"machine {node.name}: process ended with status {node.process.returncode}")
    await asyncio.sleep(0.5)
    await node.restart(fleet.ports[node.name])


if __name__ == "__main__":
    main(HERE, case)
