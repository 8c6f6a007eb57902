"""A request that crashes its endpoints isn't recognised while it goes out on connections that have rested, and takes
down most of a service each time it comes."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
LIB = os.path.join(os.path.dirname(HERE), "lib-2")
sys.path.insert(0, LIB)
sys.dont_write_bytecode = True
import rig as kit  # noqa: E402
from rig import START, Daemon, configuration, now, request, route  # noqa: E402

SERVICES = ["priorita", "squadre"]
ZONES = ["palermo", "catania", "agrigento"]  # with an endpoint of each service, as on the site
BACK_AFTER_S = 2.0  # a crashed endpoint is started again
POLLS_BEFORE = 4
COMES_EACH = 6  # polls
COMES_TIMES = 6
CRASHES = "/flag/poison"


class Keeper:
    """Keeps the endpoint of one daemon running, as a process."""

    def __init__(self, rig, daemon, crashes, runs):
        self.rig, self.daemon, self.crashes, self.runs = rig, daemon, crashes, runs

    async def keep(self):
        while True:
            process = await asyncio.create_subprocess_exec(
                sys.executable, os.path.join(LIB, "endpoint.py"), self.daemon.service, self.daemon.zone,
                self.daemon.app, self.daemon.control, CRASHES if self.crashes else "-",
                stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.DEVNULL)
            self.rig.processes.append(process)
            async for line in process.stdout:
                _, name, target, at, boot = line.decode().split()
                self.runs.append((float(at) - START, name, target))
                self.rig.record("run", name, target, "at", self.daemon.name, "by", boot)
            await process.wait()
            self.rig.record("the endpoint of", self.daemon.name, "ended:", process.returncode)
            await asyncio.sleep(BACK_AFTER_S)


async def case(rig, trouble):
    routes = [route("r-flag", "flag.example", "/flag/", "priorita", timeout=2000, attempts=2),
              route("r-crew", "crew.example", "/crew/", "squadre", "unsafe")]
    rig.store.put("config", "main", configuration(5, routes, SERVICES))
    daemons = [Daemon(rig, f"{service}-{zone}", service, zone) for service in SERVICES for zone in ZONES]
    for each in daemons:
        await each.start()
    runs = []
    for each in daemons:
        asyncio.ensure_future(Keeper(rig, each, trouble, runs).keep())
    for each in daemons:
        await each.wait_ready()
    await asyncio.sleep(3)
    sent = [0]

    async def ask(daemon, target):
        sent[0] += 1
        name = "%08x" % sent[0]
        rig.record("sent", name, target, "to", daemon.name)
        try:
            answer = await asyncio.wait_for(
                request(daemon.outbound, "GET", target,
                        {"Host": "flag.example", "X-Request-Id": name, "X-Deadline-Ms": 3000}), 4)
            rig.record("answered", name, answer.status, answer.body[:120] if answer.status != 200 else "")
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as failure:
            rig.record("unanswered", name, type(failure).__name__)

    async def poll():
        """The usual traffic: each machine's client asks once a second, all within a tenth of a second."""
        for each in daemons:
            asyncio.ensure_future(ask(each, "/flag/%d" % sent[0]))
            await asyncio.sleep(0.1 / len(daemons))
        await asyncio.sleep(0.45)

    for at in range(POLLS_BEFORE + COMES_EACH * COMES_TIMES):
        await poll()
        times, rest = divmod(at - POLLS_BEFORE, COMES_EACH)
        if times >= 0 and rest == 0:
            # It comes again with the same path, caller and body, at any machine.
            asyncio.ensure_future(ask(daemons[times % len(daemons)], CRASHES))
        await asyncio.sleep(0.45)

    reached = sorted(when for when, _, target in runs if target == CRASHES)
    rig.record("the request reached endpoints", len(reached), "times:", [round(when, 2) for when in reached])
    if not trouble:
        return True
    if len(reached) < 3:
        return True
    window = daemons[0].bounds["StableWindowMs"] / 1000
    late = [when for when in reached if when > reached[2] + 0.05 + window]
    rig.record(len(late), "retries reached endpoints later than", window, "s after the third crash; three may")
    return len(late) <= 3


kit.play(case, HERE)
