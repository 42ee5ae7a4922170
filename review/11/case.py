"""A machine that is removed after its successor has arrived keeps its vote, so that two lost disks end
the control plane and the acknowledged configuration with it."""

import asyncio
import copy
import json
import os
import random
import shutil
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-3"))
import world as base  # noqa: E402

CATCH_UP_S = base.BOUNDS["catch-up-s"]
CONTACT_S = base.BOUNDS["contact-ms"] / 1000
RECOVER_S = base.BOUNDS["recover-s"]
# Time from the start of the successor to the removal of the machine that it replaces.
SUCCESSOR_FIRST_S = CATCH_UP_S + 2
# Time from the removal to the final fault.
REMOVED_FOR_S = float(os.environ.get("REMOVED_FOR_S", "2"))
DISKS_BACK_S = 1.5


def configuration(version):
    return {**copy.deepcopy(base.PLAIN_CONFIGURATION), "version": version}


async def read_back(world, node):
    answer = await base.call((node.ip, base.CONTROL), "GET", "/hickoryreel/config/get")
    if answer is None or answer.status != 200:
        return answer and answer.status
    return f"version {json.loads(answer.body)['version']}"


async def run(world):
    record = world.record
    world.launch_all(bootstrap=True)
    await world.add_engine("engine-0", "ledger")
    await world.order("/hickoryreel/config/put", configuration(7), "configuration 7")
    for entry in world.entries:
        await world.ready(entry)
    clients = [asyncio.ensure_future(world.client(f"c{number}", world.entries[number % 2], "POST",
                                                  "/transfer/1", 0.2))
               for number in range(4)]
    await asyncio.sleep(CATCH_UP_S + CONTACT_S)
    if base.TROUBLE:
        # The new machine first, as in a planned replacement; then the old one is removed for good.
        successor = base.Node(world, "control", len(world.controls), world.ip(30), "crete-a")
        successor.launch(bootstrap=False)
        record.say(f"{successor.name} is started with an empty disk")
        world.controls.append(successor)
        await asyncio.sleep(SUCCESSOR_FIRST_S)
        removed = world.controls.pop(4)
        removed.kill()
        world.removed = removed
        record.say(f"{removed.name} is removed for good, without SIGTERM")
        await asyncio.sleep(REMOVED_FOR_S)
    node = await world.order("/hickoryreel/config/put", configuration(9), "configuration 9")
    record.say(f"{node.name} acknowledges configuration 9")
    victims = random.sample(world.controls, 2)
    for victim in victims:
        victim.process.kill()
    for victim in victims:
        victim.process.wait()
        shutil.rmtree(victim.data_dir)
    record.say("final fault: " + ", ".join(victim.name for victim in victims) + " lose their disks")
    await asyncio.sleep(DISKS_BACK_S)
    for victim in victims:
        victim.launch(bootstrap=False)
    back = record.now()
    record.say("both are back with empty disks")
    # The rules give it `recover-s`, and the operator then reads for `contact-ms`; here twice that.
    found = set()
    while record.now() < back + RECOVER_S + 2 * CONTACT_S:
        await asyncio.sleep(0.5)
        if record.now() < back + RECOVER_S:
            continue
        for each in world.controls:
            found.add(await read_back(world, each))
    world.stopped = True
    await asyncio.gather(*clients, return_exceptions=True)
    late = [outcome for sent, _, outcome in world.outcomes if sent > back + RECOVER_S]
    record.say(f"reads later than recover-s after that: {sorted(map(str, found))}")
    record.say(f"requests sent later than recover-s after that: {len(late)}, "
               f"{sum(outcome == '200' for outcome in late)} of them served")
    return None if "version 9" in found else "LOST, configuration 9 does not come back"


def case():
    world = base.World(FOLDER)
    return world, run(world)


base.main(FOLDER, case)
