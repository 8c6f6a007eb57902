"""A planned stop breaks off calls that it took late in its grace, though their endpoints would answer within it."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-2"))
sys.dont_write_bytecode = True
import rig as kit  # noqa: E402
from rig import Daemon, Endpoint, configuration, now, request, route, signal  # noqa: E402

SERVICES = ["treasury", "fieldboard"]
LIMIT_MS = 6000  # time limit of the parents, as on the site
CALLS_AFTER_S = 5.2  # after SIGTERM, each parent makes its call
CALL_WORK_S = 0.3
PARENTS = 10


async def case(rig, trouble):
    routes = [route("r-fee", "fee.example", "/fee/", "treasury", "unsafe", timeout=LIMIT_MS),
              route("r-slot", "slot.example", "/slot/", "fieldboard", timeout=LIMIT_MS)]
    rig.store.put("config", "main", configuration(5, routes, SERVICES))
    stopped = Daemon(rig, "n0", "treasury")
    others = [Daemon(rig, f"n{at}", "fieldboard") for at in (1, 2)]
    calls = {}
    begun = asyncio.Event()
    told = [None]

    async def work_of_parent(endpoint, run):
        """Works for a while, then calls another service through the daemon beside it."""
        await begun.wait()
        await asyncio.sleep(max(0, told[0] + CALLS_AFTER_S - now()))
        name = run["id"] + ".1"
        call = calls[name] = {"sent": now(), "status": None, "stamp": None, "began": None, "done": None}
        rig.record("sent", name, "by the endpoint of n0, %.3f s after SIGTERM" % (now() - told[0]))
        left = int(LIMIT_MS - (now() - run["at"]) * 1000)
        try:
            answer = await request(stopped.outbound, "GET", "/slot/1",
                                   {"Host": "slot.example", "X-Request-Id": name, "X-Deadline-Ms": left})
            call["status"], call["stamp"] = answer.status, answer["X-Server-Stamp"]
        except (OSError, asyncio.IncompleteReadError) as failure:
            call["status"] = type(failure).__name__
        call["ended"] = now()
        rig.record("answered", name, call["status"], "stamp", call["stamp"],
                   "%.3f s after SIGTERM" % (now() - told[0]))
        return (200, b"charged") if call["status"] == 200 else (500, b"a call failed")

    async def work_of_call(endpoint, run):
        calls[run["id"]]["began"] = now()
        await asyncio.sleep(CALL_WORK_S)
        calls[run["id"]]["done"] = now()
        return 200, b"slots"

    for each in [stopped, *others]:
        await each.start()
    await Endpoint(rig, stopped, work=work_of_parent).start()
    for each in others:
        await Endpoint(rig, each, work=work_of_call).start()
    for each in [stopped, *others]:
        await each.wait_ready()
    await asyncio.sleep(3)

    async def ask(at):
        name = "%08x" % (at + 1)
        rig.record("sent", name)
        try:
            answer = await request(others[at % 2].outbound, "POST", "/fee/1",
                                   {"Host": "fee.example", "X-Request-Id": name, "X-Deadline-Ms": LIMIT_MS},
                                   b"dues")
            rig.record("answered", name, answer.status)
        except (OSError, asyncio.IncompleteReadError) as failure:
            rig.record("unanswered", name, type(failure).__name__)

    asked = [asyncio.create_task(ask(at)) for at in range(PARENTS)]
    await asyncio.sleep(0.1)
    told[0] = now()
    if trouble:
        stopped.signal(signal.SIGTERM)
    begun.set()
    await asyncio.gather(*asked)
    if len(calls) < PARENTS // 2:
        raise RuntimeError("too few parents made their calls")

    lost = []
    for name, call in calls.items():
        # The endpoint had begun; the answer isn't the endpoint's; neither the time limit nor the grace was over.
        in_time = call["ended"] < told[0] + stopped.bounds["GraceS"] and (
            call["ended"] - (told[0] - 0.1) < LIMIT_MS / 1000)
        if call["began"] and call["began"] < call["ended"] and not call["stamp"] and in_time:
            lost.append(name)
            rig.record("broken off:", name, "its run began %.3f s" % (call["began"] - told[0]), "and it ended",
                       call["status"], "%.3f s after SIGTERM" % (call["ended"] - told[0]))
    rig.record(len(lost), "of", len(calls), "calls were broken off while their endpoint was at work")
    return not lost


kit.play(case, HERE)
