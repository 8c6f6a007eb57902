"""DRAIN: a check-in that is acknowledged as draining and then ignored."""
import asyncio
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from rig import TROUBLE, CannotRun, Endpoint, Rig, ask, configuration, play

DRAIN_MS = 2000
STABLE_S = 3.0     #: `StableWindowMs`: both machines are in touch from then on.
SERVES_ON_S = 4.5  #: How long the endpoint serves after the ack: `DrainMs` and a little longer.


async def check_in_of_another_writer(endpoint: Endpoint) -> int | None:
    """A check-in under the endpoint's id whose fields Address, Zone, Version and ColdRemainingMs are missing."""
    sent = {"Service": endpoint.service, "Slots": endpoint.slots, "State": "ready", "Sequence": 1,
            "born": int(time.time() * 1000)}
    answer = await ask(endpoint.control, "POST", f"/api/Instances.Heartbeat/{endpoint.id}", json.dumps(sent).encode(),
                       {"Content-Type": "application/json"}, 1.0)
    return answer[0] if answer else None


async def keep_asking(rig: Rig, machine, outcomes: dict[str, int | None]) -> None:
    async def note(request) -> None:
        name, status, _ = await request
        outcomes[name] = status

    while True:
        rig.background(note(rig.request(machine, "/orders/x", "POST")))
        await asyncio.sleep(0.05)


async def case(rig: Rig) -> str:
    rig.store.put("config", "main", configuration(7, [("r-work", "/orders/", "unsafe", "work")], ["work", "shop"]))
    beside = rig.machine("side-work", "work")
    other = rig.machine("side-shop", "shop")
    leaving = Endpoint(rig.record, "work", beside.control, work_s=0.2)
    leaving.port = beside.app
    await leaving.start()
    for machine in rig.machines:
        machine.start()
    for machine in rig.machines:
        await machine.await_ready(20)
    beats = rig.background(leaving.keep_beating())
    await asyncio.sleep(STABLE_S + 2)
    outcomes: dict[str, int | None] = {}
    rig.background(keep_asking(rig, other, outcomes))
    await asyncio.sleep(2)
    if not leaving.runs:
        raise CannotRun("no request reached the endpoint")
    if TROUBLE:
        status = await check_in_of_another_writer(leaving)
        rig.record.write("check-in of another writer", status=status)
    await asyncio.sleep(2)

    beats.cancel()
    leaving.state = "draining"
    acknowledged = None
    for _ in range(5):
        status = await leaving.beat()
        rig.record.write("draining check-in", status=status)
        if status is not None and 200 <= status < 300:
            acknowledged = rig.record.now()
            break
        await asyncio.sleep(1)
    if acknowledged is None:
        raise CannotRun("the draining check-in was not acknowledged")
    beats = rig.background(leaving.keep_beating())
    await asyncio.sleep(SERVES_ON_S)
    beats.cancel()
    await ask(leaving.control, "POST", f"/api/Instances.Deregister/{leaving.id}", patience=1.0)
    leaving.end()
    await asyncio.sleep(1)
    late = [at for at, _, _ in leaving.runs if at > acknowledged + DRAIN_MS / 1000 + 0.05]
    lost = sum(outcomes.get(name) in (None, 502, 504) for at, name, _ in leaving.runs if at > acknowledged)
    rig.record.write("counted", acknowledged=round(acknowledged, 3), reached_late=len(late), lost_at_the_end=lost,
                     latest_after_ack_s=round(max(late) - acknowledged, 3) if late else None)
    if late:
        return (f"DRAIN: {len(late)} requests reached the endpoint later than {DRAIN_MS} ms after the ack of its "
                f"draining, the last {max(late) - acknowledged:.1f} s after it; {lost} ran and were lost at its end")
    return ""


play(FOLDER, case)
