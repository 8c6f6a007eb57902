"""An answer that a gate has reaches the entry that waits for it, although their link breaks or opens late.

Usage: answer_delivery_process_tests.py ROOT_OF_THE_REPOSITORY
"""
from __future__ import annotations

import http.server
import pathlib
import sys
import threading
import unittest

ROOT = pathlib.Path(sys.argv.pop(1)) if len(sys.argv) > 1 else pathlib.Path(".").resolve()
sys.path.insert(0, str(ROOT / "scripts" / "lib"))

from harness import http as calls  # noqa: E402
from harness.fleet import ANY_ADDRESS, Daemon, Fleet, wait_for  # noqa: E402
from harness.link import LinkOptions, Links  # noqa: E402
from harness.process import print_log_of_failure  # noqa: E402
from harness.quiet_server import QuietServer  # noqa: E402
from soak.proxy import Proxy, ProxyLoop  # noqa: E402

DOCUMENT = """format: 1
data_centres: [palermo]
classes: [order]
services:
  - name: squadre
    endpoints: 1
    slots: 8
    connections: 200
    calls:
      - {name: dispatch, method: POST, path: /dispatch, class: order, idempotent: false, patience: 20s}
"""
ATTEMPT_RAN = '"event":3012'
PROXY_PORT = 7000
TRANSPORT_PORT = 7001
PEER_NOT_CONNECTED = '"event":6007'

# Connects at 0, 20, 60, 140 and 300 ms: by then an answer has waited longer than a request may.
CONNECTS_BEYOND_THE_WAIT_OF_REQUESTS = 5


class FleetBehindProxy(Fleet):
    """The daemon named `entry` receives frames of its peers through a proxy."""

    proxy: Proxy

    def _transport_settings(self, name: str, data_centre: str) -> dict[str, str]:
        if name != "entry":
            return {"transport_address": ANY_ADDRESS}
        host, port = self.proxy.target
        return {"transport_address": f"{host}:{port}", "advertised_transport_address": self.proxy.address}


class AnswerDeliveryProcessTests(unittest.TestCase):
    """One daemon takes calls, another has the backend server, which answers when a test lets it."""

    def setUp(self) -> None:
        self.runs = 0
        self.may_answer = threading.Event()
        self.loop = ProxyLoop()
        self.addCleanup(self.loop.close)
        ip = Links(LinkOptions(delay_ms=0)).ip_of("palermo")
        self.proxy = Proxy(self.loop, (ip, PROXY_PORT), (ip, TRANSPORT_PORT))
        self.fleet = FleetBehindProxy()
        self.fleet.proxy = self.proxy
        self.fleet.__enter__()
        self.addCleanup(self.fleet.end)
        self.server = QuietServer(("127.0.0.1", 0), self.answer)
        self.addCleanup(self.server.end)
        self.addCleanup(self.may_answer.set)
        self.entry = self.start("entry")
        self.gate = self.start("gate")
        self.fleet.submit(DOCUMENT)
        for daemon in (self.entry, self.gate):
            wait_for(lambda: calls.call(daemon.admin, "GET", "/ready").status == 200, "the daemons to be ready")
        self.announce()

    def start(self, name: str) -> Daemon:
        daemon = self.fleet.start_daemon(name, "palermo")
        self.addCleanup(print_log_of_failure, self, daemon.process)
        return daemon

    def answer(self, handler: http.server.BaseHTTPRequestHandler) -> None:
        handler.rfile.read(int(handler.headers.get("Content-Length", 0)))
        self.runs += 1
        self.may_answer.wait()
        handler.send_response(200)
        handler.send_header("Content-Length", "0")
        handler.end_headers()

    def announce(self) -> None:
        address = f"127.0.0.1:{self.server.server_address[1]}"
        body = {"service": "squadre", "address": address, "slots": 8, "connections": 200, "instance": "first"}
        self.assertEqual(calls.post_json(self.gate.admin, "/announce", body).status, 200)

        def is_known() -> bool:
            members = calls.get_json(self.entry.admin, "/status")["members"]
            return any(member.get("service") == "squadre" for member in members)

        wait_for(is_known, "the entry to know the backend server")

    def begin_call(self) -> Caller:
        ran = self.runs
        caller = Caller(self.entry.caller)
        self.addCleanup(caller.join)
        wait_for(lambda: self.runs > ran, "the backend server to run the request")
        return caller

    def lines(self, event: str) -> int:
        return self.gate.process.log.read_text(errors="replace").count(event)

    def let_answer(self) -> None:
        answered = self.lines(ATTEMPT_RAN)
        self.may_answer.set()
        wait_for(lambda: self.lines(ATTEMPT_RAN) > answered, "the gate to have the answer")
        self.may_answer.clear()

    def test_answer_that_a_broken_link_swallowed_is_sent_again(self) -> None:
        self.proxy.start()
        self.addCleanup(self.proxy.close)
        first = self.begin_call()
        self.let_answer()
        self.assertEqual(first.status(), 200)
        second = self.begin_call()
        self.proxy.state.silent_in = True
        self.let_answer()
        self.proxy.reset()
        self.proxy.state.silent_in = False
        self.assertEqual(second.status(), 200)
        self.assertEqual(self.runs, 2)

    def test_answer_waits_for_a_link_that_opens_late(self) -> None:
        caller = self.begin_call()
        self.let_answer()
        wait_for(lambda: self.lines(PEER_NOT_CONNECTED) >= CONNECTS_BEYOND_THE_WAIT_OF_REQUESTS,
                 "the gate to try again and again")
        self.proxy.start()
        self.addCleanup(self.proxy.close)
        self.assertEqual(caller.status(), 200)
        self.assertEqual(self.runs, 1)


class Caller(threading.Thread):
    """Makes one call."""

    def __init__(self, address: str) -> None:
        super().__init__(daemon=True)
        self._address = address
        self._status = 0
        self.start()

    def run(self) -> None:
        headers = {"Monsoonlift-Service": "squadre"}
        self._status = calls.call(self._address, "POST", "/dispatch", headers=headers, body=b"{}").status

    def status(self) -> int:
        """Returns the status of the answer; waits for it."""
        self.join()
        return self._status


if __name__ == "__main__":
    unittest.main()
