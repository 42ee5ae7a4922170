"""Control replicas that have restarted acknowledge the deregistration of an engine that they don't
know, and tell no entry of it."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-3"))
import world as base  # noqa: E402

DRAIN_S = base.BOUNDS["drain-ms"] / 1000
CONTACT_S = base.BOUNDS["contact-ms"] / 1000
# Length of the cut between one engine and the control replicas.
CUT_S = 5.0
# Time for which the engine serves after the ack: drain-ms and some seconds.
SERVES_S = 8.0


async def run(world):
    record = world.record
    world.launch_all(bootstrap=True)
    for number in range(3):
        await world.add_engine(f"engine-{number}", "ledger")
    await world.order("/hickoryreel/config/put", base.PLAIN_CONFIGURATION, "configuration 7")
    for entry in world.entries:
        await world.ready(entry)
    clients = [asyncio.ensure_future(world.client(f"c{number}", world.entries[number % 2], "POST",
                                                  "/transfer/1", 0.1))
               for number in range(8)]
    await asyncio.sleep(CONTACT_S + 2)
    engine = world.engines[0]
    # The path between the engine and all control replicas is cut: no status report gets through.
    cut = record.now()
    engine.beating = False
    engine.beat_task.cancel()
    record.say(f"{engine.name} is cut off from the control replicas, not from the entries")
    restarted = cut
    if base.TROUBLE:
        await asyncio.sleep(0.1)
        record.say("all control processes are killed")
        for node in world.controls:
            node.process.kill()
        for node in world.controls:
            node.process.wait()
        await asyncio.sleep(0.4)
        for node in world.controls:
            node.launch()
        restarted = record.now()
        record.say("all control processes are started")
    # The engine leaves during the cut. It never reports `draining`, but deregisters, and gets its
    # ack when the cut is over.
    await asyncio.sleep(max(0, cut + CUT_S - record.now()))
    record.say(f"the cut is over; {engine.name} deregisters")
    body = {"born": engine.born}
    node = await engine.report(f"/hickoryreel/instances/{engine.id}/deregister", body)
    if node is None:
        raise base.CannotRun("the deregistration was not acknowledged")
    acknowledged = record.now()
    record.say(f"{node.name} acknowledges the deregistration of {engine.name}, "
               f"{acknowledged - restarted:.1f} s after the restart")
    if acknowledged < restarted + CONTACT_S:
        raise base.CannotRun("the machine that acknowledged is not in touch yet")
    await asyncio.sleep(SERVES_S)
    await engine.stop()
    world.stopped = True
    await asyncio.gather(*clients, return_exceptions=True)
    checked_from = acknowledged + DRAIN_S
    sent_at = {request_id: sent for sent, request_id, _ in world.outcomes}
    runs = [request_id for _, request_id in engine.runs
            if sent_at.get(request_id, 0) >= checked_from]
    served = sum(outcome == "200" for sent, _, outcome in world.outcomes if sent >= checked_from)
    record.say(f"requests sent {DRAIN_S} s after the ack or later: {served} served, {len(runs)} "
               f"reached {engine.name}")
    if served < 20:
        raise base.CannotRun("the system did not serve")
    return f"DRAIN, {len(runs)} requests" if runs else None


def case():
    world = base.World(FOLDER)
    return world, run(world)


base.main(FOLDER, case)
