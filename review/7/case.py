"""A daemon that starts after a restore of the store, and before the operator has written again, runs requests
whose key was taken away longer than RevokeMs ago."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-2"))
sys.dont_write_bytecode = True
import rig as kit  # noqa: E402
from rig import Daemon, Endpoint, configuration, field, now, request, route, signal  # noqa: E402

BOUNDS = {"StrictRevoke": True, "RevokeMs": 5000, "ConfigMs": 2500, "DrainMs": 2500, "AckMs": 5000}
SERVICES = ["logbook", "hours"]
GONE = "key-of-a-former-employer"


def tenants(keys):
    return [{"Name": "employer", "ApiKeys": keys}, {"Name": "office", "ApiKeys": ["key-of-the-office"]}]


async def case(rig, trouble):
    routes = [route("r-log", "log.example", "/log/", "logbook"),
              route("r-hours", "hours.example", "/hours/", "hours", "unsafe")]
    before = configuration(5, routes, SERVICES, Tenants=tenants(["key-of-the-employer", GONE]))
    after = configuration(9, routes, SERVICES, Tenants=tenants(["key-of-the-employer"]))
    rig.store.put("config", "main", before)
    daemons = [Daemon(rig, f"n{at}", SERVICES[at % 2], bounds=BOUNDS) for at in range(6)]
    for each in daemons:
        await each.start()
    endpoints = [Endpoint(rig, each) for each in daemons]
    for each in endpoints:
        await each.start()
    for each in daemons:
        await each.wait_ready()
    await asyncio.sleep(2)

    sent = {}

    async def ask(daemon, key):
        name = "%08x" % (len(sent) + 1)
        sent[name] = (now(), key)
        rig.record("sent", name, "to", daemon.name, "key", key)
        try:
            answer = await asyncio.wait_for(
                request(daemon.outbound, "POST", "/hours/1",
                        {"Host": "hours.example", "X-Request-Id": name, "X-Deadline-Ms": 2000,
                         "Authorization": "Token " + key}, b"8 hours"), 3)
            rig.record("answered", name, answer.status)
            return answer.status
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as failure:
            rig.record("unanswered", name, type(failure).__name__)
        return None

    # Both keys are in force at first.
    if [await ask(each, GONE) for each in daemons] != [200] * 6:
        raise RuntimeError("the key doesn't work while it is in force")
    rig.store.copy()
    rig.store.put("config", "main", after)
    acked = now()
    # Planned work: one daemon is stopped and started again on its own.
    await asyncio.sleep(2.4)
    if [await ask(each, GONE) for each in daemons] != [401] * 6:
        raise RuntimeError("the key isn't taken away in time by daemons that run")
    restarted = daemons[0]
    restarted.signal(signal.SIGTERM)
    await asyncio.wait_for(restarted.process.wait(), 6)
    await asyncio.sleep(max(0, acked + 5.1 - now()))
    if trouble:
        # The drill: away for a moment, and back from a copy that is some seconds old.
        rig.store.mode = "busy"
        await asyncio.sleep(0.4)
        rig.store.restore()
        rig.store.mode = "up"
    back = now()
    await asyncio.sleep(0.2)
    await restarted.start()
    asked = []
    while now() < back + 4:
        asked.append(asyncio.ensure_future(ask(restarted, GONE)))
        await asyncio.sleep(0.01)
        if trouble and now() > back + 1 and rig.store.objects["config"]["main"]["Spec"] != after:
            rig.store.put("config", "main", after)  # the operator writes again
    await asyncio.gather(*asked)
    await restarted.wait_ready()
    if await ask(restarted, "key-of-the-employer") != 200:
        raise RuntimeError("the key that is left doesn't work")

    bound = BOUNDS["RevokeMs"] / 1000
    wrong = []
    for endpoint in endpoints:
        for run in endpoint.runs:
            at, key = sent[run["id"]]
            if key == GONE and at > acked + bound:
                wrong.append((run["id"], at - acked, field(run["fields"], "x-tenant")))
    for name, late, tenant in wrong:
        rig.record("ran", name, "in the name of", tenant, "sent %.3f s after the ack" % late)
    rig.record(len(wrong), "requests ran whose key was taken away more than", bound, "s before they were sent")
    return not wrong


kit.play(case, HERE)
