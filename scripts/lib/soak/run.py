"""One run of the soak: starts a fleet and its callers, injects the faults of the plan and checks the observations."""
from __future__ import annotations

import pathlib
import random
import signal
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from harness import http as calls
from soak.callers import DISPATCH, STATUS, Callers, Target
from soak.checker import Facts, Span, judge
from soak.fleet import DaemonProgram, SoakFleet, Vm
from soak.operator import Operator, RevisionWatch, marker_path
from soak.plan import PLANNED, Fault, Kind, make_plan
from soak.sanitizers import read_reports

CALLERS_PER_VM = 3
SERVING_PATIENCE_S = 30.0
RECOVERY_PATIENCE_S = 30.0
WATCH_PAUSE_S = 0.05
HTTP_OK = 200
LINK_DELAY_S = 0.1
STORE_SLOW_MS = 400
LOST_SHARE = 0.5
SLOW_X = 20.0
FAULTS_PER_SECOND = 0.9


@dataclass(frozen=True)
class RunResult:
    """The result of the run of one seed: numbers of calls and faults, and the findings."""

    seed: int
    calls: int
    faults: int
    findings: list[str]


class SoakRun:
    """The run of one seed."""

    def __init__(self, seed: int, vms: int, length_s: float, folder: pathlib.Path,
                 program: DaemonProgram = DaemonProgram()) -> None:
        self.seed = seed
        self.length_s = length_s
        self.facts = Facts()
        self.plan = make_plan(seed, vms, length_s, max(1, round(length_s * FAULTS_PER_SECOND)))
        self.folder = folder
        (folder / "plan.txt").write_text("".join(fault.describe() + "\n" for fault in self.plan))
        self.fleet = SoakFleet(folder, vms, self.facts, seed, program)
        self.operator = Operator(self.fleet.platform.address)
        self.revisions = RevisionWatch()
        self._end = threading.Event()

    def run(self) -> RunResult:
        """Injects the faults of the plan and checks what was observed."""
        with self.fleet:
            self.operator.change()
            for vm in self.fleet.vms:
                vm.start()
            self._wait_until_serving("the start", SERVING_PATIENCE_S)
            callers = Callers(lambda vm: self.fleet.vms[vm].sender(), len(self.fleet.vms), self.seed,
                              self.facts.attempts.append)
            watch = threading.Thread(target=self._watch_revisions, daemon=True)
            callers.start(CALLERS_PER_VM)
            watch.start()
            self._inject_plan()
            callers.stop()
            self._wait_until_serving("the faults", RECOVERY_PATIENCE_S)
            self._end.set()
            watch.join()
            self._record_exits()
        self.facts.reports = read_reports(self.folder)
        return RunResult(self.seed, len(self.facts.attempts), len(self.plan), judge(self.facts))

    def _inject_plan(self) -> None:
        begin = time.monotonic()
        injections = []
        for fault in self.plan:
            time.sleep(max(0.0, begin + fault.at - time.monotonic()))
            thread = threading.Thread(target=self._inject, args=(fault,), daemon=True)
            thread.start()
            injections.append(thread)
        for thread in injections:
            thread.join()
        time.sleep(max(0.0, begin + self.length_s - time.monotonic()))

    def _inject(self, fault: Fault) -> None:
        begin = time.monotonic()
        vm = self.fleet.vms[fault.vm]
        effects: dict[Kind, Callable[[], None]] = {
            Kind.KILL: lambda: self._kill([vm], fault.duration),
            Kind.HERD_KILL: lambda: self._kill(self.fleet.vms, fault.duration),
            Kind.PAUSE: lambda: self._pause(vm, fault.duration),
            Kind.STOP: lambda: self._stop(vm),
            Kind.RELOAD: lambda: self._signal(vm, signal.SIGHUP),
            Kind.LINK_DELAY: lambda: self._set(vm.link.state, fault.duration, delay_s=LINK_DELAY_S),
            Kind.LINK_RESET: vm.link.reset,
            Kind.LINK_SILENT: lambda: self._set(vm.link.state, fault.duration, silent_in=True, silent_out=True),
            Kind.LINK_ONE_WAY: lambda: self._set(vm.link.state, fault.duration, silent_in=True),
            Kind.STORE_LINK_SILENT: lambda: self._set(vm.store_link.state, fault.duration, silent_in=True, silent_out=True),
            Kind.STORE_LINK_RESET: vm.store_link.reset,
            Kind.STORE_DOWN: lambda: self._store(fault.duration, outage=True, silent=fault.vm % 2 == 0),
            Kind.STORE_SLOW: lambda: self._store(fault.duration, slow_ms=STORE_SLOW_MS),
            Kind.STORE_LOSES_ANSWERS: lambda: self._store(fault.duration, lose_answers=LOST_SHARE),
            Kind.SERVER_CRASH: lambda: self._crash_server(vm, fault.duration),
            Kind.SERVER_SLOW: lambda: self._set(vm.endpoint.misbehaviour, fault.duration, slow_x=SLOW_X),
            Kind.SERVER_LOSES_ANSWERS: lambda: self._set(vm.endpoint.misbehaviour, fault.duration, loses_answers=True),
            Kind.SERVER_CUTS_ANSWERS: lambda: self._set(vm.endpoint.misbehaviour, fault.duration, cuts_answers=True),
            Kind.SERVER_FORGETS: lambda: self._set(vm.endpoint.misbehaviour, fault.duration, forgets_connections=True),
            Kind.SERVER_REFUSES: lambda: self._set(vm.endpoint.misbehaviour, fault.duration, refuses=True),
            Kind.SERVER_DRAIN: lambda: self._drain_server(vm, fault.duration, abrupt=False),
            Kind.SERVER_FAREWELL: lambda: self._drain_server(vm, fault.duration, abrupt=True),
            Kind.CONFIGURATION: self.operator.change,
            Kind.LEAVING_AT_KILL: lambda: self._drain_server(vm, fault.duration, fault.vm % 2 == 0, lambda: self._kill([vm], 0.0)),
            Kind.LEAVING_AT_STOP: lambda: self._drain_server(vm, fault.duration, fault.vm % 2 == 0, lambda: self._stop(vm)),
        }
        effects[fault.kind]()
        if fault.kind not in PLANNED:
            self.facts.faults.append(Span(begin, time.monotonic()))

    def _kill(self, vms: list[Vm], down_s: float) -> None:
        for vm in vms:
            vm.lock.acquire()
        try:
            for vm in vms:
                vm.kill_daemon()
            time.sleep(down_s)
            for vm in vms:
                vm.start_daemon()
        finally:
            for vm in vms:
                vm.lock.release()

    def _pause(self, vm: Vm, duration: float) -> None:
        with vm.lock:
            process = vm.process
            assert process is not None
            process.signal(signal.SIGSTOP)
            time.sleep(duration)
            process.signal(signal.SIGCONT)

    def _stop(self, vm: Vm) -> None:
        with vm.lock:
            vm.stop_daemon()
            vm.start_daemon()

    def _signal(self, vm: Vm, number: signal.Signals) -> None:
        with vm.lock:
            assert vm.process is not None
            vm.process.addresses()  # NOTE: waits until it serves; a signal before main() begins would end any process.
            vm.process.signal(number)

    def _set(self, state: object, duration: float, **changes: object) -> None:
        before = {name: getattr(type(state)(), name) for name in changes}
        for name, value in changes.items():
            setattr(state, name, value)
        time.sleep(duration)
        for name, value in before.items():
            setattr(state, name, value)

    def _store(self, duration: float, **faults: object) -> None:
        calls.post_json(self.fleet.platform.address, "/faults", faults)
        time.sleep(duration)
        calls.post_json(self.fleet.platform.address, "/faults", {})

    def _crash_server(self, vm: Vm, down_s: float) -> None:
        with vm.server_lock:
            vm.endpoint.shut()
            time.sleep(down_s)
            vm.endpoint.open()

    def _drain_server(self, vm: Vm, down_s: float, abrupt: bool, then: Callable[[], None] = lambda: None) -> None:
        with vm.server_lock:
            instance, acknowledged = vm.endpoint.drain(abrupt, then)
            if acknowledged is not None:
                self.facts.drained[instance] = acknowledged
            time.sleep(down_s)
            vm.endpoint.open()

    def _watch_revisions(self) -> None:
        draw = random.Random(self.seed)
        while not self._end.wait(WATCH_PAUSE_S):
            vm = draw.choice(self.fleet.vms)
            accepted = list(self.operator.accepted)
            version = draw.choice(accepted[-2:])
            start = vm.starts
            wrong = self.revisions.check_version(vm.number, start, version,
                                                  lambda path, at=vm: self._request_status(at, marker(path)))
            if wrong and start == vm.starts:
                self.facts.reverted.append(wrong)

    def _wait_until_serving(self, what: str, patience_s: float) -> None:
        """Waits until every daemon has the newest version in force and serves every route; records those that are late."""
        end = time.monotonic() + patience_s
        for vm in self.fleet.vms:
            for target in (marker(marker_path(self.operator.accepted[-1])), STATUS, DISPATCH):
                while self._request_status(vm, target) != HTTP_OK:
                    if time.monotonic() > end:
                        self.facts.not_recovered.append(f"after {what}, vm-{vm.number} does not serve {target.path}")
                        break
                    time.sleep(WATCH_PAUSE_S)

    def _request_status(self, vm: Vm, target: Target) -> int | None:
        """Sends and records one request over a new connection; returns its status, None without a complete response."""
        sender = vm.sender()
        name = f"w{self.seed}-{vm.number}-{time.monotonic_ns()}"
        attempt = sender.send(name, target, b"" if target.idempotent else b"crew=7")
        sender.close()
        self.facts.attempts.append(attempt)
        return attempt.status

    def _record_exits(self) -> None:
        for vm in self.fleet.vms:
            assert vm.process is not None
            if not vm.process.running:
                self.facts.exits.append(f"vm-{vm.number} ended by itself with {vm.process.wait()}")


def marker(path: str) -> Target:
    """Returns the target of a marker route, which only one version of the configuration has."""
    return Target(STATUS.service, "GET", path, True)
