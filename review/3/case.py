"""RECOVER: daemons don't start again after their settings got a bound that is a fraction."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from rig import TROUBLE, CannotRun, Endpoint, Rig, configuration, play

RESTART_DELAY_S = 0.5
RECOVER_S = 15
REQUESTS = 50  #: For each machine.


async def platform(rig: Rig, machine) -> None:
    """Starts a process again that has ended, after a short delay, with the settings in effect then."""
    while True:
        await asyncio.sleep(0.05)
        if not machine.is_running():
            rig.record.write("daemon ended", machine=machine.name, code=machine.process.returncode)
            await asyncio.sleep(RESTART_DELAY_S)
            machine.start()


async def ask_all(rig: Rig, path: str) -> list[int | None]:
    statuses = []
    for _ in range(REQUESTS):
        for machine in rig.machines:
            statuses.append((await rig.request(machine, path))[1])
        await asyncio.sleep(0.02)
    return statuses


async def case(rig: Rig) -> str:
    rig.store.put("config", "main", configuration(7, [("r-work", "/orders/", "safe", "work")], ["work"]))
    for number in range(2):
        machine = rig.machine(f"side-work-{number}", "work")
        endpoint = Endpoint(rig.record, "work", machine.control)
        endpoint.port = machine.app
        await endpoint.start()
        machine.start()
        rig.background(endpoint.keep_beating())
    for machine in rig.machines:
        await machine.await_ready(20)
        rig.background(platform(rig, machine))
    await asyncio.sleep(4)
    before = await ask_all(rig, "/orders/before")
    if before.count(200) < len(before):
        raise CannotRun("requests fail before anything happened")

    for machine in rig.machines:
        machine.bounds["GraceS"] = 6.5 if TROUBLE else 7
        machine.kill()
    await asyncio.sleep(RESTART_DELAY_S + RECOVER_S)
    later = await ask_all(rig, "/orders/after")
    rig.record.write("counted", served_before=before.count(200), served=later.count(200), sent=len(later),
                     last_output=rig.machines[0].log().replace(str(rig.folder), "")[-200:])
    if later.count(200) < len(later) / 4:
        return (f"RECOVER: {later.count(200)} of {len(later)} requests were served later than {RECOVER_S} s after the "
                f"daemons were started again with GraceS = 6.5; each start ended at once")
    return ""


play(FOLDER, case)
