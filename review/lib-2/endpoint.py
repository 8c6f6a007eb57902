"""An endpoint as a process of its own: checks in with its daemon, answers, and dies of a request that crashes it.
Arguments: service, zone, address to serve at, the daemon's control address, path that crashes it ("-" for none).
Prints a line for each run, before it begins to work."""
import asyncio
import os
import signal
import sys
import time
import types

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from rig import Endpoint  # noqa: E402

WORK_S = 0.03


def note(*words):
    print(" ".join(str(word) for word in words), flush=True)


async def work(endpoint, run):
    note("run", run["id"], run["target"], time.monotonic(), endpoint.id)
    await asyncio.sleep(WORK_S)
    if run["target"] == sys.argv[5]:
        # Nothing listens any more when the connections break, whatever the order in which a kernel closes them.
        endpoint.server.close()
        os.kill(os.getpid(), signal.SIGKILL)
    return 200, b"ok"


async def main():
    daemon = types.SimpleNamespace(service=sys.argv[1], zone=sys.argv[2], app=sys.argv[3],
                                   control=sys.argv[4], name="here")
    rig = types.SimpleNamespace(record=lambda *words: None)
    await Endpoint(rig, daemon, work=work).start()
    await asyncio.Event().wait()


asyncio.run(main())
