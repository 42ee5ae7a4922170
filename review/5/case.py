"""Requests with a key, sent while a public route is added, reach the engine with that key."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import standin  # noqa: E402
from standin import BOUNDS, CannotRun, Client, Engine, Operator  # noqa: E402

KEY = "n2ctnfzs989anu6wsjnb"
TENANTS = [{"name": "hule930", "api-keys": [KEY], "priority": 1}]
# Two of three acks are lost; the site file allows 0.7 of them.
LOST_ACKS = 2
PATH = "/pufi791/2f/x"


def configuration(version, public_route):
    routes = [standin.route("r-fi6y7z5", "/pufi791/", "svc")]
    if public_route:
        routes.append(standin.route("r-2yhvz3p", "/pufi791/2f/", "svc", public=True))
    return standin.configuration(version, routes, ["svc"], TENANTS)


async def scenario(record, trouble, held):
    deployment, _, (edge,) = await standin.start_deployment(record)
    held.append(deployment)
    operator, client, engine = Operator(deployment), Client(record), Engine(deployment, 1, "svc")
    if await operator.put(configuration(7, public_route=False)) != 200:
        raise CannotRun("the first configuration has no ack")
    await engine.start()
    await standin.until_ready(edge)
    await asyncio.sleep(BOUNDS["contact-ms"] / 1000)

    acked = False

    async def send_until_ack():
        """Sends requests with the key, none after the ack of the second configuration."""
        while not acked:
            await client.send(edge, "review.example", PATH, key=KEY)
            await asyncio.sleep(0.05)

    sending = asyncio.create_task(send_until_ack())
    await asyncio.sleep(1)
    if trouble:
        status = await operator.put(configuration(9, public_route=True), lost_acks=LOST_ACKS)
        if status != 200:
            raise CannotRun("the second configuration has no ack")
    else:
        await asyncio.sleep(3)
    acked = True
    await sending
    if len(engine.runs) < 10:
        raise CannotRun("too few requests run")
    with_key = [run for run in engine.runs if KEY in run.headers.get("authorization", "")]
    if not with_key:
        return []
    return [f"UNASKED: {len(with_key)} of {len(engine.runs)} requests run to which the key was "
            "passed on, all sent before the ack of the configuration that adds the public route"]


standin.main(FOLDER, scenario)
