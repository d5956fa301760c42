"""A late liveness report brings a worker that has left back into use, after a restart of its daemon."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
sys.dont_write_bytecode = True
import harness as h  # noqa: E402

# Time between two requests of the clients of each machine, and the time that one runs.
PAUSE_S, WORK_S = 0.25, 1.4
# How late the last report before the leave message arrives, and how long before that message it was sent.
REPORT_DELAY_S, REPORT_BEFORE_S = 2.8, 0.3
# Time after which the platform starts a killed daemon again.
RESTART_S = 0.3
# Time for which the worker serves on after its leave message, and for which traffic goes on.
SERVES_ON_S = 8.0
# What happens: `1` all, `0` nothing, `restart` or `late` only one of the two.
TROUBLE = os.environ.get("TROUBLE", "1")


async def case(d):
    service = "archivo"
    routes = {"history": h.route("reorder.example", "/history/", service, timeout="2500ms")}
    await d.start([service] * 3, h.config(7, routes, [service]))
    leaver = d.machines[0]
    sent = {}

    async def request_once(machine):
        request = f"{len(sent):016x}"
        sent[request] = (d.record.now(), machine)
        await d.send(machine, "GET", "reorder.example", "/history/1", deadline_ms=2500,
                     request=request, kept=False)

    async def client(machine):
        while True:
            await asyncio.sleep(PAUSE_S)
            if machine.is_ready:
                d.tasks.append(asyncio.create_task(request_once(machine)))

    for machine in d.machines:
        machine.worker.work_s = WORK_S
        d.tasks.append(asyncio.create_task(client(machine)))
    await asyncio.sleep(h.STABILITY_S + 1)

    worker = leaver.worker
    worker.beats.cancel()
    if TROUBLE in ("1", "late"):
        proxy = h.DelayProxy(leaver.addr("control"), REPORT_DELAY_S)
        late = worker.report("ready", await proxy.start(leaver.ip))
        d.tasks.append(asyncio.create_task(late))
        d.record.write(f"worker {worker.id} sends a report that arrives {REPORT_DELAY_S} s late")
        await asyncio.sleep(REPORT_BEFORE_S)
    # This worker never reports `draining`: it sends the leave message first and serves on.
    if await worker.leave() != 200:
        raise h.NotRun("the leave message was not acknowledged")
    acked, worker.is_leaving = d.record.now(), True
    if TROUBLE in ("1", "restart"):
        leaver.signal(signal.SIGKILL)
        await leaver.wait_for_end()
        await asyncio.sleep(RESTART_S)
        leaver.start_daemon()
    await asyncio.sleep(SERVES_ON_S)
    worker.stop()

    def in_touch(machine, at):
        return at >= machine.started_at + h.STABILITY_S

    broken = []
    for at, request, instance in worker.runs:
        if at <= acked + h.DRAIN_S or instance != worker.id or request not in sent:
            continue
        sent_at, machine = sent[request]
        if in_touch(machine, sent_at) and in_touch(leaver, sent_at):
            broken.append((request, at, machine.name))
    for request, at, name in broken:
        d.record.write(f"{request}, sent to {name}, reached the worker {at - acked:.3f} s after the ack")
    if broken:
        return (f"DRAIN broken: {len(broken)} requests reached a worker later than `drain` after the "
                f"ack of its leave message, the first {broken[0][1] - acked:.3f} s after it")
    return None


h.run(case, FOLDER)
