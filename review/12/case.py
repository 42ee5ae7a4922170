"""A success without the id and the receipt of an engine reaches the client."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-3"))
import world as base  # noqa: E402

# Share of the requests to one engine of three for which it sends bytes that are not its response.
FOREIGN_SHARE = 0.03
FOREIGN_BYTES = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
# Channels are closed after some answers, as engines do occasionally.
CLOSE_SHARE = 0.05
RUN_S = 60.0


class Engine(base.Engine):
    """An engine that is faulty if it sometimes sends bytes that are not its response instead of
    running the request, and closes the channel."""

    faulty = False

    async def answer(self, method, path, headers, body, writer):
        request_id = headers.get("request-id", "")
        if self.faulty and random.random() < FOREIGN_SHARE:
            self.world.record.write(f"no run of {request_id} at {self.name}: other bytes are sent")
            writer.write(FOREIGN_BYTES)
            await writer.drain()
            raise ConnectionError
        closes = random.random() < CLOSE_SHARE
        self.extra_headers = {"Connection": "close"} if closes else {}
        await super().answer(method, path, headers, body, writer)
        if closes:
            raise ConnectionError


async def run(world):
    record = world.record
    world.launch_all(bootstrap=True)
    for number in range(3):
        engine = Engine(world, f"engine-{number}", "ledger", world.ip(80 + number),
                        list(base.ZONES)[number])
        await engine.start()
        world.engines.append(engine)
    world.engines[0].faulty = base.TROUBLE
    await world.order("/hickoryreel/config/put", base.PLAIN_CONFIGURATION, "configuration 7")
    for entry in world.entries:
        await world.ready(entry)
    clients = [asyncio.ensure_future(world.client(f"c{number}", world.entries[number % 8], "POST",
                                                  "/transfer/1", 1.0))
               for number in range(24)]
    await asyncio.sleep(RUN_S)
    world.stopped = True
    await asyncio.gather(*clients, return_exceptions=True)
    ran = {request_id for engine in world.engines for _, request_id in engine.runs}
    successes = [request_id for _, request_id, outcome in world.outcomes if outcome == "200"]
    unsealed = [request_id for request_id in successes if request_id in world.unsealed]
    for request_id in unsealed:
        record.say(f"{request_id}: 200 without a receipt, "
                   + ("ran" if request_id in ran else "never ran"))
    record.say(f"{len(world.outcomes)} requests, {len(successes)} successes, "
               f"{len(unsealed)} of them without a receipt")
    if len(successes) < 300:
        raise base.CannotRun("too few answers")
    return f"MIXED, {len(unsealed)} answers" if unsealed else None


def case():
    world = base.World(FOLDER, entries=8)
    return world, run(world)


base.main(FOLDER, case)
