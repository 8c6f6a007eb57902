"""A backend server of the platform deregisters at a real daemon; heartbeats that it sent before arrive late.

Usage: farewell_process_tests.py ROOT_OF_THE_REPOSITORY
"""
import itertools
import json
import pathlib
import signal
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

VM_NUMBERS = itertools.count(0, 2)  # Even: VMs of the map service; each test has its own number and addresses.
HEARTBEAT_EVENTS = ("heartbeat_late", "backend_life_heard")


class FarewellProcessTests(unittest.TestCase):
    """One VM, whose backend server sends a heartbeat only when a test does so."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.platform = Platform(BINARIES, self.folder / "platform.log", "--listen", "127.0.0.1:0")
        self.addCleanup(self.platform.process.kill)
        proxy_loop = ProxyLoop()
        self.addCleanup(proxy_loop.close)
        self.operator = Operator(self.platform.address)
        self.operator.change()
        self.vm = Vm(next(VM_NUMBERS), self.folder, self.platform.address, proxy_loop, Facts(), 1)
        self.addCleanup(self.vm.close)
        self.vm.link.start()
        self.vm.store_link.start()
        self.vm.endpoint.open()
        self.start_daemon()

    def start_daemon(self) -> None:
        """Starts the daemon, or its next process, and waits until it is ready for calls."""
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

    def deregister(self, body: dict[str, object] | None = None) -> int:
        """Deregisters the incarnation; without a body, as in the example of the platform's documentation."""
        path = f"/api/Instances.Deregister/{self.vm.endpoint.instance}"
        text = b"" if body is None else json.dumps(body).encode()
        return calls.call(self.vm.at("heartbeat"), "POST", path, body=text).status

    def events(self, *names: str) -> int:
        """Returns how many lines of these events the running process has written."""
        process = self.vm.process
        assert process is not None
        lines = process.log.read_text().splitlines()
        return sum(any(f'"name":"{name}"' in line for name in names) for line in lines)

    def send_and_wait_until_logged(self, heartbeat: tuple[str, dict[str, object]]) -> None:
        before = self.events(*HEARTBEAT_EVENTS)
        self.assertTrue(self.vm.endpoint.post(heartbeat))
        wait_for(lambda: self.events(*HEARTBEAT_EVENTS) > before, "the daemon to log its decision on a heartbeat")

    def serve(self) -> tuple[str, dict[str, object]]:
        """Announces the backend server and waits until it serves; returns a later heartbeat, yet to be delivered."""
        self.vm.endpoint.post(self.vm.endpoint.next_heartbeat())
        wait_for(lambda: self.status_of_a_call() == 200, "the backend server to serve calls")
        return self.vm.endpoint.next_heartbeat()

    def assert_takes_no_work_after(self, change: Callable[[], None], heartbeat: tuple[str, dict[str, object]]) -> None:
        wait_for(lambda: self.status_of_a_call() == 503, "the gate to close")
        change()
        ran = len(self.vm.facts.runs)
        self.send_and_wait_until_logged(heartbeat)
        self.assertEqual(self.status_of_a_call(), 503)
        self.assertEqual(len(self.vm.facts.runs), ran, "a request reached a backend server after its deregistration")

    def test_late_heartbeat_after_a_deregistration_without_start_time_does_not_reopen_the_gate(self) -> None:
        late = self.serve()
        self.assertEqual(self.deregister(), 200)
        self.assert_takes_no_work_after(lambda: None, late)

    def test_late_heartbeat_does_not_open_the_gate_of_a_new_process_that_received_only_the_deregistration(self) -> None:
        late = self.serve()
        self.vm.kill_daemon()
        self.start_daemon()
        self.assertEqual(self.deregister(), 200)
        self.assert_takes_no_work_after(lambda: None, late)

    def test_heartbeat_of_another_writer_does_not_keep_a_draining_server_in_use(self) -> None:
        """Guards against a leaving that is acknowledged and ignored, as in review case 2 (DRAIN)."""
        self.serve()
        path, fields = self.vm.endpoint.next_heartbeat()
        odd = {"born": int(time.time() * 1000), "Sequence": 1}
        for changes in ({"Address": None}, {"Zone": 7}, {"Service": "another"}, {"Address": "127.0.0.1:9"}):
            self.assertFalse(self.vm.endpoint.post((path, {**fields, **odd, **changes})), changes)
        path, fields = self.vm.endpoint.next_heartbeat()
        self.assertTrue(self.vm.endpoint.post((path, {**fields, "State": "draining"})))
        wait_for(lambda: self.status_of_a_call() == 503, "the gate to close")

    def test_deregistration_is_remembered_when_the_process_is_killed(self) -> None:
        self.check_deregistration_outlives(self.vm.kill_daemon)

    def test_deregistration_is_remembered_when_the_process_is_stopped(self) -> None:
        self.check_deregistration_outlives(self.vm.stop_daemon)

    def test_deregistration_that_can_not_be_recorded_is_not_acknowledged(self) -> None:
        late = self.serve()
        self.platform.set_faults(outage=True)
        self.assertEqual(self.deregister(), 503)
        self.assert_takes_no_work_after(lambda: None, late)
        self.platform.set_faults()
        wait_for(lambda: self.deregister() == 200, "the deregistration to be acknowledged")

    def test_changed_address_of_the_store_is_used_after_a_hangup(self) -> None:
        self.check_moved_store_is_used(lambda: self.vm.process.signal(signal.SIGHUP))

    def test_changed_address_of_the_store_is_used_without_a_signal(self) -> None:
        self.check_moved_store_is_used(lambda: None)

    def check_moved_store_is_used(self, tell: Callable[[], object]) -> None:
        """Guards against settings that are read again and not used, as in review case 4 (CONFIG)."""
        self.serve()
        self.vm.store_address = self.platform.address
        self.vm.write_settings()
        tell()
        wait_for(lambda: self.events("settings_read_again") > 0, "the daemon to read its settings again")
        self.vm.store_link.close()
        before = self.events("configuration_adopted")
        self.operator.change()
        wait_for(lambda: self.events("configuration_adopted") > before, "the daemon to adopt the change")

    def check_deregistration_outlives(self, end: Callable[[], None]) -> None:
        late = self.serve()
        self.assertEqual(self.deregister(), 200)

        def restart() -> None:
            end()
            self.start_daemon()

        self.assert_takes_no_work_after(restart, late)


if __name__ == "__main__":
    unittest.main()
