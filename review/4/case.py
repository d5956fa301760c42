"""One answer that a worker truncates takes down the requests behind it, which sound workers are running."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
sys.dont_write_bytecode = True
import harness as h  # noqa: E402

# Share of the answers that the faulty worker truncates, and the size of an answer.
TRUNCATED_SHARE, ANSWER_BYTES = 0.03, 100_000
# Requests that a client sends before the first is answered, number of clients, and their pause.
PIPELINED, CLIENTS, PAUSE_S = 5, 8, 0.3
RUN_S = 40.0
# Requests that the rule allows to end so.
ALLOWED = 3


async def case(d):
    service = "archivo"
    routes = {"history": h.route("reorder.example", "/history/", service)}
    other = "envios"
    await d.start([service] * 3 + [other], h.config(7, routes, [service, other]))
    # Clients beside a worker of another service, so that all workers of `service` are as near.
    machine = d.machines[3]
    draw = random.Random(int(os.environ.get("SEED", "1")))
    faulty = d.machines[0].worker
    answer = b"a" * ANSWER_BYTES
    run_by = {}

    async def answer_large(worker, head, body, writer):
        request = head.get("request-id")
        run_by[request] = worker
        await asyncio.sleep(draw.uniform(0.02, 0.2))
        headers = [("Request-Id", request), ("Response-Signature", f"sig.{len(answer)}.{request}")]
        raw = h.message("HTTP/1.1 200 OK", headers, answer)
        if d.has_trouble and worker is faulty and draw.random() < TRUNCATED_SHARE:
            d.record.write(f"worker {worker.id} truncates the answer to {request}")
            writer.write(raw[:-ANSWER_BYTES // 4])
            await writer.drain()
            writer.close()
        else:
            writer.write(raw)
        return True

    for each in d.machines[:3]:
        each.worker.on_run = answer_large
    await asyncio.sleep(h.STABILITY_S + 1)
    until = d.record.now() + RUN_S
    unanswered, counts = [], {"sent": 0, "complete": 0, "closes": 0}

    async def client(number):
        await asyncio.sleep(PAUSE_S * number / CLIENTS)
        reader = writer = None
        while d.record.now() < until:
            if writer is None:
                reader, writer = await asyncio.open_connection(*machine.addr("outbound"),
                                                               limit=1 << 22)
            requests = []
            for _ in range(PIPELINED):
                requests.append(f"{counts['sent']:016x}")
                counts["sent"] += 1
                writer.write(h.message("GET /history/1 HTTP/1.1", [
                    ("Host", "reorder.example"), ("Request-Id", requests[-1]),
                    ("Deadline-Ms", 2500)]))
            complete = 0
            try:
                while complete < PIPELINED:
                    head = await asyncio.wait_for(h.read_head(reader), 3)
                    if head is None:
                        break
                    await asyncio.wait_for(h.read_body(reader, head, True), 3)
                    complete += 1
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                pass
            counts["complete"] += complete
            if complete < PIPELINED:
                counts["closes"] += 1
                writer.close()
                writer = None
                broken, behind = requests[complete], requests[complete + 1:]
                d.record.write(f"client: {machine.name} closed the connection in the answer to {broken}, "
                               f"no answers to {' '.join(behind)}")
                # Those that it had passed on to a worker that is sound.
                unanswered.extend(r for r in behind if r in run_by and run_by[r] is not faulty)
            await asyncio.sleep(PAUSE_S)

    await asyncio.gather(*(client(number) for number in range(CLIENTS)))
    d.record.write(f"{counts['sent']} requests, {counts['complete']} complete answers, {counts['closes']} "
                   f"connections closed; run by sound workers, without an answer: {len(unanswered)}")
    for request in unanswered:
        d.record.write(f"{request} was run by worker {run_by[request].id} and has no answer")
    if len(unanswered) > ALLOWED:
        return (f"LOST broken: {len(unanswered)} requests from kept connections were passed on to sound "
                f"workers and have no answer; {ALLOWED} are allowed")
    return None


h.run(case, FOLDER)
