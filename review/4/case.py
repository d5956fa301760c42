"""The machines whose daemons read the store are lost just before a change, so the others keep the old configuration."""

import asyncio
import json
import os
import random
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
sys.dont_write_bytecode = True
import harness as h  # noqa: E402

CONFIG_DEADLINE_S = 2.0
MACHINES = 8
OLD, NEW = "archivo", "tarifas"
# Pause between two requests of the client of each machine.
PAUSE_S = 0.05
# Deployments that a run starts, one after the other, at the most; it ends with the first that breaks the rule.
ROUNDS = int(os.environ.get("ROUNDS", "9"))
# Time from the start of the daemons to the loss, up to a second more by chance, and for which the machines are dark.
CALM_S, DARK_S = 6.5, 3.5


def configuration(version, service):
    routes = {"history": h.route("reorder.example", "/history/", service, timeout="1000ms")}
    return h.config(version, routes, [OLD, NEW])


def reads_store(d, machine):
    """Whether the daemon reads the store, by its last log line about that."""
    with open(os.path.join(d.folder, f"{machine.name}.log"), encoding="utf-8") as file:
        log = file.read()
    return log.rfind("other daemons read the store") <= log.rfind("reads the store again")


async def case(d):
    for number in range(ROUNDS):
        d.record.write(f"deployment {number + 1}")
        verdict = await play(d)
        if verdict is not None:
            return verdict
        d.stop()
        for machine in d.machines:
            machine.worker.stop()
        d.store.server.close()
        d.machines, d.tasks, d.connections, d.store = [], [], {}, h.Store()
    return None


async def play(d):
    """Starts a deployment, loses the machines that read the store, and changes the configuration."""
    services = [OLD if index % 2 == 0 else NEW for index in range(MACHINES)]
    await d.start(services, configuration(7, OLD))
    start = d.machines[0].started_at
    sent, out = {}, set()

    async def client(machine):
        while True:
            await asyncio.sleep(PAUSE_S)
            if machine in out or not machine.is_ready:
                continue
            request = f"{len(sent):016x}"
            sent[request] = (d.record.now(), machine)
            await d.send(machine, "GET", "reorder.example", "/history/1", deadline_ms=1000,
                         request=request)

    for machine in d.machines:
        d.tasks.append(asyncio.create_task(client(machine)))
    await asyncio.sleep(start + CALM_S + random.random() - d.record.now())
    readers = [machine for machine in d.machines if reads_store(d, machine)]
    d.record.write("these read the store: " + " ".join(machine.name for machine in readers))
    if len(readers) > MACHINES // 2:
        raise h.NotRun("too many daemons read the store")
    if d.has_trouble:
        # To the others, a stopped process is like one without power: it does not answer.
        for machine in readers:
            out.add(machine)
            machine.signal(signal.SIGSTOP)
            machine.worker.stop()
    d.store.put("keyed.op", "config", json.dumps(configuration(9, NEW)).encode())
    acked = d.record.now()
    d.record.write(f"the store acknowledges r9, which moves the route from {OLD} to {NEW}")
    await asyncio.sleep(DARK_S)
    late = late_runs(d, sent, out, OLD, acked)
    for at, request, name in late:
        d.record.write(f"{request}, sent to {name} {at - acked:.3f} s after the ack, was run by {OLD}")
    if late:
        return (f"CONFIG broken: {len(late)} requests were sent later than `configDeadline` after the ack of r9 and "
                f"run by the old service, the last {late[-1][0] - acked:.3f} s after it")
    d.record.write("all requests sent after the deadline were run by the new service")
    return None


def late_runs(d, sent, out, service, acked):
    """Requests sent after the deadline to machines that were not lost, and run by `service`."""
    late = []
    for machine in d.machines:
        for _, request, _ in machine.worker.runs:
            sent_at, to = sent[request]
            if machine.service == service and sent_at > acked + CONFIG_DEADLINE_S and to not in out:
                late.append((sent_at, request, to.name))
    return sorted(late)


h.run(case, FOLDER)
