"""CONFIG: a configuration that removes the last route never comes into force."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from rig import TROUBLE, CannotRun, Endpoint, Rig, configuration, play

CONFIG_MS = 2000
REQUESTS = 20


async def case(rig: Rig) -> str:
    dropped, other = ("r-dropped", "/dropped/", "unsafe", "work"), ("r-other", "/other/", "unsafe", "work")
    rig.store.put("config", "main", configuration(7, [dropped], ["work"]))
    machine = rig.machine("side-work", "work")
    endpoint = Endpoint(rig.record, "work", machine.control)
    endpoint.port = machine.app
    await endpoint.start()
    machine.start()
    rig.background(endpoint.keep_beating())
    await machine.await_ready(20)
    await asyncio.sleep(6)
    before = [(await rig.request(machine, "/dropped/before", "POST"))[1] for _ in range(10)]
    if before.count(200) < len(before):
        raise CannotRun("the first configuration is not served")

    changed = configuration(12, [] if TROUBLE else [other], ["work"])
    rig.store.put("config", "main", changed)
    rig.record.write("configuration acknowledged", version=changed["Version"])
    await asyncio.sleep(3 * CONFIG_MS / 1000)
    late = [await rig.request(machine, "/dropped/after", "POST") for _ in range(REQUESTS)]
    ran = sum(path == "/dropped/after" for _, _, path in endpoint.runs)
    rig.record.write("counted", sent=len(late), run_with_the_dropped_route=ran)
    if ran:
        return (f"CONFIG: {3 * CONFIG_MS} ms after the ack of {changed['Version']}, which has no route, {ran} of "
                f"{len(late)} requests ran with the dropped route")
    return ""


play(FOLDER, case)
