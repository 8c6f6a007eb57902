"""A backend server of the platform says farewell to a real daemon; heartbeats from before come late.

Usage: farewell_process_tests.py ROOT_OF_THE_REPOSITORY
"""
import itertools
import json
import pathlib
import sys
import tempfile
import time
import unittest
from collections.abc import Callable

ROOT = pathlib.Path(sys.argv.pop(1)) if len(sys.argv) > 1 else pathlib.Path(".").resolve()
sys.path.insert(0, str(ROOT / "scripts" / "lib"))

from harness import http as calls  # noqa: E402
from harness.fleet import BINARIES, wait_for  # noqa: E402
from harness.platform import Platform  # noqa: E402
from harness.process import print_log_of_failure  # noqa: E402
from soak.callers import STATUS  # noqa: E402
from soak.checker import Facts  # noqa: E402
from soak.fleet import Vm  # noqa: E402
from soak.operator import Operator  # noqa: E402
from soak.proxy import ProxyLoop  # noqa: E402

VM_NUMBERS = itertools.count(0, 2)  # Even ones are of the map service; each test has addresses of its own.
HEARTBEAT_HEARD = ("heartbeat_late", "backend_life_heard")


class FarewellProcessTests(unittest.TestCase):
    """One VM; its backend server sends only the heartbeats that a test sends."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.platform = Platform(BINARIES, self.folder / "platform.log", "--listen", "127.0.0.1:0")
        self.addCleanup(self.platform.process.kill)
        carrier = ProxyLoop()
        self.addCleanup(carrier.close)
        Operator(self.platform.address).change()
        self.vm = Vm(next(VM_NUMBERS), self.folder, self.platform.address, carrier, Facts(), 1)
        self.addCleanup(self.vm.close)
        self.vm.link.start()
        self.vm.store_link.start()
        self.vm.endpoint.open()
        self.start_daemon()

    def start_daemon(self) -> None:
        """Starts the daemon, or its next process, and waits until it takes calls."""
        self.vm.start_daemon()
        process = self.vm.process
        assert process is not None
        process.addresses()
        self.addCleanup(print_log_of_failure, self, process)
        wait_for(self.is_ready, "the daemon to be ready")

    def is_ready(self) -> bool:
        try:
            return calls.call(self.vm.at("ready"), "GET", "/api/ready").status == 200
        except OSError:
            return False

    def status_of_a_call(self) -> int | None:
        sender = self.vm.sender()
        attempt = sender.send(f"t-{time.monotonic_ns()}", STATUS, b"")
        sender.close()
        return attempt.status

    def farewell(self, body: dict[str, object] | None = None) -> int:
        """Says that the life leaves; the example of the platform's page has no body."""
        path = f"/api/Instances.Deregister/{self.vm.endpoint.instance}"
        text = b"" if body is None else json.dumps(body).encode()
        return calls.call(self.vm.at("heartbeat"), "POST", path, body=text).status

    def events(self, *names: str) -> int:
        """How many lines of these events the running process has written."""
        process = self.vm.process
        assert process is not None
        lines = process.log.read_text().splitlines()
        return sum(any(f'"name":"{name}"' in line for name in names) for line in lines)

    def send_and_wait_until_judged(self, heartbeat: tuple[str, dict[str, object]]) -> None:
        before = self.events(*HEARTBEAT_HEARD)
        self.assertTrue(self.vm.endpoint.post(heartbeat))
        wait_for(lambda: self.events(*HEARTBEAT_HEARD) > before, "the daemon to tell what it makes of a heartbeat")

    def serve(self) -> tuple[str, dict[str, object]]:
        """Lets the backend server be known and serve; gives a heartbeat that it sent but that has not arrived."""
        self.vm.endpoint.post(self.vm.endpoint.next_heartbeat())
        wait_for(lambda: self.status_of_a_call() == 200, "the backend server to be served by")
        return self.vm.endpoint.next_heartbeat()

    def assert_takes_no_work_after(self, change: Callable[[], None], heartbeat: tuple[str, dict[str, object]]) -> None:
        wait_for(lambda: self.status_of_a_call() == 503, "the gate to be shut")
        change()
        ran = len(self.vm.facts.runs)
        self.send_and_wait_until_judged(heartbeat)
        self.assertEqual(self.status_of_a_call(), 503)
        self.assertEqual(len(self.vm.facts.runs), ran, "a request reached a backend server after its farewell")

    def test_late_heartbeat_after_a_farewell_without_start_time_opens_no_gate(self) -> None:
        late = self.serve()
        self.assertEqual(self.farewell(), 200)
        self.assert_takes_no_work_after(lambda: None, late)

    def test_late_heartbeat_opens_no_gate_of_a_process_that_was_told_only_the_farewell(self) -> None:
        late = self.serve()
        self.vm.kill_daemon()
        self.start_daemon()
        self.assertEqual(self.farewell(), 200)
        self.assert_takes_no_work_after(lambda: None, late)

    def test_farewell_is_not_forgotten_when_the_process_is_killed(self) -> None:
        self.check_farewell_outlives(self.vm.kill_daemon)

    def test_farewell_is_not_forgotten_when_the_process_is_stopped(self) -> None:
        self.check_farewell_outlives(self.vm.stop_daemon)

    def test_farewell_that_nothing_would_remember_is_not_acknowledged(self) -> None:
        late = self.serve()
        self.platform.set_faults(outage=True)
        self.assertEqual(self.farewell(), 503)
        self.assert_takes_no_work_after(lambda: None, late)
        self.platform.set_faults()
        wait_for(lambda: self.farewell() == 200, "the farewell to be acknowledged")

    def check_farewell_outlives(self, end: Callable[[], None]) -> None:
        late = self.serve()
        self.assertEqual(self.farewell(), 200)

        def start_anew() -> None:
            end()
            self.start_daemon()

        self.assert_takes_no_work_after(start_anew, late)


if __name__ == "__main__":
    unittest.main()
