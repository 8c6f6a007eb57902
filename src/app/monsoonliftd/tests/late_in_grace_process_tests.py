"""A planned stop of one real daemon: a request that arrives late in its grace period is answered or refused unrun.

Usage: late_in_grace_process_tests.py ROOT_OF_THE_REPOSITORY
"""
import itertools
import pathlib
import signal
import sys
import tempfile
import threading
import time
import unittest

ROOT = pathlib.Path(sys.argv.pop(1)) if len(sys.argv) > 1 else pathlib.Path(".").resolve()
sys.path.insert(0, str(ROOT / "scripts" / "lib"))

from harness import http as calls  # noqa: E402
from harness.fleet import BINARIES, wait_for  # noqa: E402
from harness.platform import Platform  # noqa: E402
from harness.process import print_log_of_failure  # noqa: E402
from soak.callers import DISPATCH, STATUS, Sender, Target  # noqa: E402
from soak.checker import Attempt, Facts  # noqa: E402
from soak.fleet import STOP_BOUND_S, Vm  # noqa: E402
from soak.operator import Operator  # noqa: E402
from soak.proxy import ProxyLoop  # noqa: E402

FIRST_NUMBERS = itertools.count(50)  # Each test uses numbers, and so addresses, of its own.
TIME_LEFT_MS = 4500
INTERVAL_S = 0.1
LATE_WORK_S = 0.6
NESTED_AFTER_S = 3.2  # The daemon accepts callers for the first 2.5 s of a stop.
SUSPENDED_S = 2.6
LATE_NESTED_AFTER_S = 5.15  # Later, and the process ends before the call has been answered.
LATE_NESTED_WORK_S = 0.38
LONG_TIME_LEFT_MS = 7000  # Beyond the end of the stop, so that the stop alone can end a call.
LONG_WORK_S = 3.5  # Begun after the suspension, it would outlast the stop.
REQUESTS = 2  # As many as a backend server that has just started receives at the same time.
PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})


class PlannedStopCase(unittest.TestCase):
    """Two VMs: one with a dispatch server, one with a map server. A dispatch may run at most once."""

    time_left_ms = TIME_LEFT_MS

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        platform = Platform(BINARIES, pathlib.Path(folder.name) / "platform.log", "--listen", "127.0.0.1:0")
        self.addCleanup(platform.process.kill)
        proxy_loop = ProxyLoop()
        self.addCleanup(proxy_loop.close)
        Operator(platform.address, timeout_ms=self.time_left_ms).change()
        self.facts = Facts()
        first = next(FIRST_NUMBERS) * 2 + 1
        self.vms = [Vm(number, pathlib.Path(folder.name), platform.address, proxy_loop, self.facts, 1)
                    for number in (first, first + 1)]
        for vm in self.vms:
            self.addCleanup(vm.close)
            vm.endpoint.misbehaviour.asks = False
            vm.start()
            process = vm.process
            assert process is not None
            process.addresses()
            self.addCleanup(print_log_of_failure, self, process)
        self.dispatch, self.maps = self.vms
        wait_for(self.serves_everything, "each daemon to serve both services")

    def sender(self, vm: Vm) -> Sender:
        return Sender(vm.number, vm.service, vm.at("caller"), time_left_ms=self.time_left_ms)

    def status_of(self, vm: Vm, target: Target) -> int | None:
        sender = self.sender(vm)
        attempt = sender.send(f"w{time.monotonic_ns()}", target, b"")
        sender.close()
        return attempt.status

    def serves_everything(self) -> bool:
        try:
            ready = all(calls.call(vm.at("ready"), "GET", "/api/ready").status == 200 for vm in self.vms)
        except OSError:
            return False
        return ready and all(self.status_of(vm, target) == 200 for vm in self.vms for target in (STATUS, DISPATCH))

    def was_run(self, attempt: Attempt) -> bool:
        return any(run.id == attempt.id for run in self.facts.runs)

    def assert_outcomes_true(self, attempts: list[Attempt]) -> None:
        """Checks that each request that ran was answered, and not with a status that promises it did not run."""
        for attempt in attempts:
            ran = self.was_run(attempt)
            self.assertFalse(ran and attempt.status is None, f"{attempt.id} ran and got no answer")
            self.assertFalse(ran and attempt.status in PROMISES_NOT_RUN, f"{attempt.id} ran and was refused")
        self.assertEqual(self.facts.exits, [])

    def send(self, sender: Sender, number: int, attempts: list[Attempt]) -> None:
        attempts.append(sender.send(f"late-{number}", DISPATCH, b""))
        sender.close()

    def send_at(self, sender: Sender, number: int, attempts: list[Attempt]) -> None:
        time.sleep(max(0.0, self.began + number * INTERVAL_S - time.monotonic()))
        self.send(sender, number, attempts)

    def stop_while_requests_run(self) -> list[Attempt]:
        """Stops the daemon beside the dispatch server as soon as requests run there; returns their outcomes."""
        attempts: list[Attempt] = []
        threads = [threading.Thread(target=self.send, args=(self.sender(self.maps), number, attempts))
                   for number in range(REQUESTS)]
        ran_before = len(self.facts.runs)
        for thread in threads:
            thread.start()
        wait_for(lambda: len(self.facts.runs) >= ran_before + REQUESTS, "the requests to run")
        self.dispatch.stop_daemon()
        for thread in threads:
            thread.join()
        return attempts


class LateInGraceProcessTests(PlannedStopCase):
    """Requests and nested calls whose time limit ends within the stop."""

    def test_request_late_in_the_grace_period_on_a_persistent_connection_is_not_aborted_at_its_end(self) -> None:
        for vm in self.vms:
            vm.endpoint.misbehaviour.work_s = LATE_WORK_S
        attempts: list[Attempt] = []
        threads = []
        for number in range(int(STOP_BOUND_S / INTERVAL_S)):
            sender = self.sender(self.maps)
            sender.connect()
            threads.append(threading.Thread(target=self.send_at, args=(sender, number, attempts)))
        self.began = time.monotonic()
        for thread in threads:
            thread.start()
        self.maps.stop_daemon()
        for thread in threads:
            thread.join()
        self.assert_outcomes_true(attempts)
        self.assertTrue(any(one.status == 200 for one in attempts))

    def test_stop_of_a_daemon_that_was_suspended_when_the_signal_came_is_not_overdue(self) -> None:
        for vm in self.vms:
            vm.endpoint.misbehaviour.work_s = LONG_WORK_S
        attempts: list[Attempt] = []
        threads = []
        for number in range(int(SUSPENDED_S / INTERVAL_S) + 1, int(STOP_BOUND_S / INTERVAL_S)):
            sender = self.sender(self.maps)
            sender.connect()
            threads.append(threading.Thread(target=self.send_at, args=(sender, number, attempts)))
        process = self.maps.process
        assert process is not None
        process.signal(signal.SIGSTOP)
        self.began = time.monotonic()
        resuming = threading.Timer(SUSPENDED_S, process.signal, (signal.SIGCONT,))
        resuming.start()
        for thread in threads:
            thread.start()
        self.maps.stop_daemon()
        for thread in [*threads, resuming]:
            thread.join()
        self.assert_outcomes_true(attempts)

    def test_nested_call_of_a_running_request_late_in_the_grace_period_is_served(self) -> None:
        self.dispatch.endpoint.misbehaviour.asks = True
        self.dispatch.endpoint.misbehaviour.work_s = NESTED_AFTER_S
        attempts = self.stop_while_requests_run()
        self.assert_outcomes_true(attempts)
        self.assertEqual([one.status for one in attempts], [200] * REQUESTS, "the nested calls were not served")

class LateNestedCallProcessTests(PlannedStopCase):
    """Nested calls whose time limit ends after the stop."""

    time_left_ms = LONG_TIME_LEFT_MS

    def test_nested_call_that_is_sent_on_late_in_a_planned_stop_is_not_broken_off(self) -> None:
        """Guards against calls taken late in a stop and broken off while their servers are at work (LOST)."""
        self.dispatch.endpoint.misbehaviour.asks = True
        self.dispatch.endpoint.misbehaviour.work_s = LATE_NESTED_AFTER_S
        self.maps.endpoint.misbehaviour.work_s = LATE_NESTED_WORK_S
        self.stop_while_requests_run()
        nested = [attempt for attempt in self.facts.attempts if attempt.id.startswith("late-")]
        self.assertEqual(len(nested), REQUESTS)
        for attempt in nested:
            ran = self.was_run(attempt)
            self.assertTrue(attempt.status == 200 if ran else attempt.status in PROMISES_NOT_RUN,
                            f"{attempt.id} {'ran' if ran else 'did not run'} and got {attempt.status}")
        self.assertEqual(self.facts.exits, [])


if __name__ == "__main__":
    unittest.main()
