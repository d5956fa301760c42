"""After a planned restart, a daemon gives requests up at which workers are at work, behind a daemon restarted before."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
sys.dont_write_bytecode = True
import harness as h  # noqa: E402

GRACE_S = 6.0
# Time after which the platform starts a daemon again that has ended, and between the two restarts.
RESTART_S, CALM_S = 0.5, 8.0
# Time that a request runs, the timeout of its route and the time budget of its client.
WORK_S, TIMEOUT_MS = 1.3, 2000
# What happens: `1` all restarts, `0` none, `last` only that of the client's machine.
TROUBLE = os.environ.get("TROUBLE", "1")
# Requests after the restart and the pause between two.
REQUESTS, PAUSE_S = 10, 0.05


async def restart(d, machine):
    """Stops a daemon as planned and starts it again; returns the time of its SIGTERM."""
    machine.signal(signal.SIGTERM)
    stopped = d.record.now()
    if not await machine.wait_for_end(GRACE_S):
        raise h.NotRun("the daemon did not end within the grace period")
    await asyncio.sleep(RESTART_S)
    machine.start_daemon()
    return stopped


async def wait_until_ready(machine):
    raw = h.message("GET /readyz HTTP/1.1", [("Host", machine.ip)])
    for _ in range(500):
        try:
            head, _ = await h.call(machine.addr("ready"), raw, 0.9)
            if head.first[1] == "200":
                return
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(0.01)
    raise h.NotRun("the daemon did not get ready")


async def case(d):
    near, far = "archivo", "pedidos"
    routes = {"confirm": h.route("reorder.example", "/confirm/", far, "non_idempotent",
                                 timeout=f"{TIMEOUT_MS}ms", priority=1)}
    await d.start([near, far, near, far], h.config(7, routes, [near, far]))
    entry = d.machines[0]
    for machine in d.machines:
        machine.worker.work_s = WORK_S
    await asyncio.sleep(h.STABILITY_S + 2)
    # The rolling restart comes to the machines beside the workers first, then to that of the client.
    if TROUBLE == "1":
        for machine in (d.machines[1], d.machines[3]):
            await restart(d, machine)
            await asyncio.sleep(CALM_S)
    stopped = await restart(d, entry) if TROUBLE != "0" else d.record.now()
    # The platform's readiness check happens to come early in its second.
    await wait_until_ready(entry)
    d.record.write(f"{entry.name} is ready again, {d.record.now() - stopped:.3f} s after its SIGTERM")
    broken = []

    async def client():
        sent = d.record.now()
        request, status, _ = await d.send(entry, "POST", "reorder.example", "/confirm/1",
                                          deadline_ms=TIMEOUT_MS, kept=False)
        ended = d.record.now()
        began = [at for machine in d.machines for at, ran, _ in machine.worker.runs if ran == request]
        if not began:
            return
        is_at_work = ended < began[0] + WORK_S
        in_time = ended - sent < TIMEOUT_MS / 1000
        if status != 200 and is_at_work and in_time and ended < stopped + GRACE_S + 1:
            broken.append((request, status, ended - sent, began[0] + WORK_S - ended))

    tasks = []
    for _ in range(REQUESTS):
        tasks.append(asyncio.create_task(client()))
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*tasks)
    for request, status, after, left in broken:
        d.record.write(f"{request} was answered {status} after {after:.3f} s; its worker was at work for {left:.3f} s more")
    if broken:
        return (f"LOST broken: within `grace` + 1 s after the SIGTERM of the machine, {len(broken)} requests were given up "
                f"at which their workers were at work")
    return None


h.run(case, FOLDER)
