"""A status report of another writer makes the fleet ignore that an engine leaves."""

import asyncio
import json
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import standin  # noqa: E402
from standin import BOUNDS, CannotRun, Client, Engine, Operator  # noqa: E402

CLIENTS = 8
# "It continues serving for `drain-ms` after the ack and a little longer".
LITTLE_LONGER_S = 1.0


async def report_of_other_writer(deployment, engine, number, record):
    """One report in the same format, under another id and a service that isn't configured."""
    body = {
        "service": "node-agent", "address": f"{engine.ip}:{engine.port}", "zone": "attica-a",
        "version": "v1", "slots": 1, "state": "ready", "cold-left-ms": 0, "seq": 1,
        "born": int(time.time() * 1000)}
    core = random.choice(deployment.cores())
    path = f"/hickoryreel/instances/agent-{number}/heartbeat"
    headers = [("Host", "control"), ("Content-Type", "application/json")]
    answer = await standin.call(core.control, "POST", path, headers, json.dumps(body).encode())
    record(f"other writer: reports {engine.ip} as agent-{number} of node-agent to {core.name}: "
           f"{answer.status if answer else 'no answer'}")


async def scenario(record, trouble, held):
    deployment, _, (edge,) = await standin.start_deployment(record)
    held.append(deployment)
    operator, client = Operator(deployment), Client(record)
    engines = [Engine(deployment, number, "svc", work_s=0.2) for number in (1, 2)]
    routes = [standin.route("r-fi6y7z5", "/pufi791/", "svc", kind="unsafe")]
    if await operator.put(standin.configuration(7, routes, ["svc"])) != 200:
        raise CannotRun("the configuration has no ack")
    for engine in engines:
        await engine.start()
    await standin.until_ready(edge)
    await asyncio.sleep(BOUNDS["contact-ms"] / 1000)

    answers, stopped = {}, False

    async def send_requests():
        while not stopped:
            request_id, answer = await client.send(
                edge, "review.example", "/pufi791/x", "POST")
            answers[request_id] = answer
            await asyncio.sleep(0.05)

    sending = [asyncio.create_task(send_requests()) for _ in range(CLIENTS)]
    await asyncio.sleep(2)
    if trouble:
        for number, engine in enumerate(engines):
            await report_of_other_writer(deployment, engine, number, record)
    await asyncio.sleep(0.5)
    leaving = engines[0]
    leaving.state = "draining"
    if not await leaving.announce():
        raise CannotRun("the report that the engine drains has no ack")
    acked_at = record.now()
    record(f"engine {leaving.id}: the report that it drains is acknowledged")
    await asyncio.sleep(BOUNDS["drain-ms"] / 1000 + LITTLE_LONGER_S)
    cut_off = await leaving.leave()
    await asyncio.sleep(1)
    stopped = True
    await asyncio.gather(*sending)

    if len(answers) < 50:
        raise CannotRun("too few requests were sent")
    lost = [request for request in cut_off
            if answers[request] is None or answers[request].status != 200]
    record(f"{len(lost)} requests in work when the engine left have no good answer")
    bound = acked_at + BOUNDS["drain-ms"] / 1000
    late = [run.at - acked_at for run in leaving.runs if run.at > bound]
    if not late:
        return []
    return [f"DRAIN: {len(late)} requests reach the engine more than {BOUNDS['drain-ms']} ms after "
            f"the ack that it drains, the last one {max(late):.1f} s after it; {len(lost)} of them "
            "are lost as it exits"]


standin.main(FOLDER, scenario)
