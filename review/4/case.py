"""The machines whose daemons read the store are lost just before a change, so the others keep the old configuration."""

import asyncio
import json
import os
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
# Losses in one run at the most, each with a change; the run ends with the first that breaks the rule.
ROUNDS = int(os.environ.get("ROUNDS", "5"))
# Time for which the machines are dark, and from their return to the next loss.
DARK_S, CALM_S = 6.0, 12.0
# Part of a second, counted from the start of the daemons, in which the loss comes; `RANDOM_PHASE=1` leaves it to chance.
PHASE_S = 0.8


def configuration(version, service):
    routes = {"history": h.route("reorder.example", "/history/", service, timeout="1000ms")}
    return h.config(version, routes, [OLD, NEW])


def reads_store(d, machine):
    """Whether the daemon reads the store, by its last log line about that."""
    with open(os.path.join(d.folder, f"{machine.name}.log"), encoding="utf-8") as file:
        log = file.read()
    return log.rfind("other daemons read the store") <= log.rfind("reads the store again")


async def case(d):
    services = [OLD if index % 2 == 0 else NEW for index in range(MACHINES)]
    await d.start(services, configuration(7, OLD))
    # The daemons that are left probe each other once a second from their start on.
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
    await asyncio.sleep(CALM_S - 4)
    version, (before, after) = 7, (OLD, NEW)
    for number in range(ROUNDS):
        readers = [machine for machine in d.machines if reads_store(d, machine)]
        names = " ".join(machine.name for machine in readers)
        d.record.write(f"loss {number + 1}: those that read the store: {names}")
        if len(readers) > MACHINES // 2:
            raise h.NotRun("too many daemons read the store")
        if os.environ.get("RANDOM_PHASE") != "1":
            await asyncio.sleep((PHASE_S - (d.record.now() - start)) % 1.0)
        if d.has_trouble:
            # To the others, a stopped process is like one without power: it does not answer.
            for machine in readers:
                out.add(machine)
                machine.signal(signal.SIGSTOP)
                machine.worker.stop()
        version += 3
        d.store.put("keyed.op", "config", json.dumps(configuration(version, after)).encode())
        acked = d.record.now()
        d.record.write(f"the store acknowledges r{version}, which moves the route from {before} to {after}")
        await asyncio.sleep(DARK_S)
        late = late_runs(d, sent, out, before, acked)
        for at, request, name in late:
            d.record.write(f"{request}, sent to {name} {at - acked:.3f} s after the ack, was run by {before}")
        if late:
            return (f"CONFIG broken: {len(late)} requests were sent later than `configDeadline` after the ack of "
                    f"r{version} and run by the old service, the last {late[-1][0] - acked:.3f} s after it")
        d.record.write("all requests sent after the deadline were run by the new service")
        for machine in list(out):
            machine.kill()
            machine.start_daemon()
            await machine.worker.start()
        await asyncio.sleep(CALM_S)
        out.clear()
        before, after = after, before
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
