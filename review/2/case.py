"""After the last tenant is removed, requests with revoked and with unknown keys run."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import standin  # noqa: E402
from standin import BOUNDS, CannotRun, Client, Engine, Operator  # noqa: E402

KEYS = ["n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"]
UNKNOWN_KEY = "zzbq81xk2m4n6p8r0t2v"
TENANT = {"name": "hule930", "api-keys": KEYS, "priority": 1}
ROUTE = standin.route("r-fi6y7z5", "/pufi791/", "svc", kind="unsafe")


async def scenario(record, trouble, held):
    deployment, _, (edge,) = await standin.start_deployment(record)
    held.append(deployment)
    operator, client, engine = Operator(deployment), Client(record), Engine(deployment, 1, "svc")

    async def send(key):
        request_id, _ = await client.send(edge, "review.example", "/pufi791/x", "POST", key)
        return request_id

    def ran(ids):
        return [run for run in engine.runs if run.headers.get("request-id") in ids]

    if await operator.put(standin.configuration(7, [ROUTE], ["svc"], [TENANT])) != 200:
        raise CannotRun("the first configuration has no ack")
    await engine.start()
    await standin.until_ready(edge)
    await asyncio.sleep(BOUNDS["contact-ms"] / 1000)
    before = [await send(key) for key in KEYS]
    unknown_before = [await send(UNKNOWN_KEY)]
    if len(ran(before)) != len(before) or ran(unknown_before):
        raise CannotRun("keys are not checked before the change")

    # The tenant, the only one, leaves with both of its keys.
    tenants = [] if trouble else [TENANT]
    if await operator.put(standin.configuration(9, [ROUTE], ["svc"], tenants)) != 200:
        raise CannotRun("the second configuration has no ack")
    await asyncio.sleep(BOUNDS["revoke-ms"] / 1000 + 1)
    revoked, unknown = [], []
    for _ in range(5):
        revoked += [await send(key) for key in KEYS]
        unknown.append(await send(UNKNOWN_KEY))
        await asyncio.sleep(0.2)

    breaks = []
    if trouble and ran(revoked):
        breaks.append(f"CONFIG: {len(ran(revoked))} of {len(revoked)} requests run, sent 6 s and "
                      "more after the ack of the configuration that took their keys away")
    if ran(unknown):
        breaks.append(f"ROUTE: {len(ran(unknown))} of {len(unknown)} requests run whose key no "
                      "configuration ever held")
    return breaks


standin.main(FOLDER, scenario)
