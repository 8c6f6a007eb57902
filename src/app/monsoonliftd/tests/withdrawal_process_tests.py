"""A backend server withdraws over the project's own interface; announcements that it sent before arrive late.

Usage: withdrawal_process_tests.py ROOT_OF_THE_REPOSITORY
"""
import http.server
import pathlib
import sys
import unittest
from collections.abc import Callable

ROOT = pathlib.Path(sys.argv.pop(1)) if len(sys.argv) > 1 else pathlib.Path(".").resolve()
sys.path.insert(0, str(ROOT / "scripts" / "lib"))

from harness import http as calls  # noqa: E402
from harness.fleet import Daemon, Fleet, wait_for  # noqa: E402
from harness.process import DAEMON_ADDRESSES, print_log_of_failure  # noqa: E402
from harness.quiet_server import QuietServer  # noqa: E402

DOCUMENT = """format: 1
data_centres: [palermo]
classes: [lookup]
services:
  - name: squadre
    endpoints: 1
    slots: 8
    connections: 200
    calls:
      - {name: crews, method: GET, path: /crews, class: lookup, idempotent: true, patience: 5s}
"""
CALLS_AFTER_LATE_ANNOUNCEMENT = 3


class WithdrawalProcessTests(unittest.TestCase):
    """One daemon, whose backend server announces itself only when a test does so."""

    def setUp(self) -> None:
        self.runs = 0
        self.fleet = Fleet().__enter__()
        self.addCleanup(self.fleet.end)
        self.server = QuietServer(("127.0.0.1", 0), self.answer)
        self.addCleanup(self.server.end)
        self.daemon = self.fleet.start_daemon("vm-0", "palermo")
        self.fleet.submit(DOCUMENT)
        self.wait_until_ready()

    def answer(self, handler: http.server.BaseHTTPRequestHandler) -> None:
        self.runs += 1
        handler.send_response(200)
        handler.send_header("Content-Length", "0")
        handler.end_headers()

    def wait_until_ready(self) -> None:
        self.addCleanup(print_log_of_failure, self, self.daemon.process)
        wait_for(lambda: calls.call(self.daemon.admin, "GET", "/ready").status == 200, "the daemon to be ready")

    def start_next_process(self) -> None:
        """Starts the daemon's next process at the addresses of the one that has ended."""
        bound = self.daemon.process.addresses()
        file = self.fleet.folder / "vm-0.yaml"
        lines = [line for line in file.read_text().splitlines() if line.split(":")[0] not in
                 {f"{name}_address" for name in DAEMON_ADDRESSES}]
        lines += [f'{name}_address: "{bound[name]}"' for name in DAEMON_ADDRESSES]
        file.write_text("\n".join(lines) + "\n")
        process = self.fleet.start("vm-0-next", ["monsoonliftd", "--settings", str(file)])
        self.daemon = Daemon("vm-0", "palermo", process)
        self.fleet.daemons.append(self.daemon)
        self.wait_until_ready()

    def post_to_daemon(self, path: str, instance: str) -> int:
        body = {"service": "squadre", "address": f"127.0.0.1:{self.server.server_address[1]}", "slots": 8,
                "connections": 200, "instance": instance}
        return calls.post_json(self.daemon.admin, path, body).status

    def status_of_a_call(self) -> int:
        return calls.call(self.daemon.caller, "GET", "/crews", headers={"Monsoonlift-Service": "squadre"}).status

    def serve(self, instance: str) -> None:
        def is_served() -> bool:
            self.assertEqual(self.post_to_daemon("/announce", instance), 200)
            return self.status_of_a_call() == 200

        wait_for(is_served, "the backend server to serve calls")

    def withdraw(self, instance: str) -> None:
        wait_for(lambda: self.post_to_daemon("/withdraw", instance) == 200, "the withdrawal to be acknowledged")

    def check_withdrawal_outlives(self, end: Callable[[], object]) -> None:
        self.serve("first")
        self.withdraw("first")
        wait_for(lambda: self.status_of_a_call() == 503, "the gate to close")
        ran = self.runs
        end()
        self.start_next_process()
        self.assertEqual(self.post_to_daemon("/announce", "first"), 200)
        statuses = [self.status_of_a_call() for _ in range(CALLS_AFTER_LATE_ANNOUNCEMENT)]
        self.assertEqual(statuses, [503] * CALLS_AFTER_LATE_ANNOUNCEMENT)
        self.assertEqual(self.runs, ran, "a request reached a backend server after its withdrawal")
        self.serve("second")

    def test_withdrawal_is_remembered_when_the_process_is_killed(self) -> None:
        self.check_withdrawal_outlives(self.daemon.process.kill)

    def test_withdrawal_is_remembered_when_the_process_is_stopped(self) -> None:
        self.check_withdrawal_outlives(self.daemon.process.stop)

    def test_withdrawal_that_can_not_be_recorded_is_not_acknowledged(self) -> None:
        self.serve("first")
        platform = self.fleet.platform
        assert platform is not None
        platform.set_faults(outage=True)
        self.assertEqual(self.post_to_daemon("/withdraw", "first"), 503)
        wait_for(lambda: self.status_of_a_call() == 503, "the gate to close")
        platform.set_faults()
        self.withdraw("first")


if __name__ == "__main__":
    unittest.main()
