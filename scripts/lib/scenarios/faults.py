"""Injects a seeded mix of faults under load and compares the responses that callers received with the recorded runs."""
from __future__ import annotations

import random
import signal
import subprocess
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from harness import http
from harness.fleet import BINARIES, Daemon, Fleet, wait_for
from harness.ledger_backend import POISON_MARKER, Ledger, LedgerBackend
from harness.process import ProcessFailed
from harness.resending_callers import Callers, Request, double_runs, false_not_run
from scenarios.progress import print_progress

SERVICE = "squadre"
DATA_CENTRES = ("palermo", "catania")
VMS = 4
SLOTS = 8
SERVICE_S = 0.01
CALLERS = 12
PAUSE_S = 0.02
FREEZE_S = 3.0
OUTAGE_S = 4.0
DEAD_S = 6.0
CONFIGURATION = """format: 1
data_centres: [palermo, catania]
classes: [urgent, lookup]
callers: []
retries: {{attempts_per_root: 2, ratio: 0.1}}
execution: {{resend_window: 10m}}
services:
  - name: squadre
    endpoints: 4
    slots: 8
    connections: 200
    drain_time: {drain_s}s
    calls:
      - {{name: dispatch, method: POST, path: /dispatches, class: urgent, idempotent: false, patience: 4s}}
      - {{name: crews, method: GET, path: /crews, class: lookup, idempotent: true, patience: 4s}}
"""


@dataclass
class Vm:
    """A daemon and its local backend server."""

    daemon: Daemon
    backend: LedgerBackend
    frozen: bool = False


@dataclass
class RevisionWatch:
    """Polls the revision that each daemon has in force and records every change to a lower revision."""

    vms: Callable[[], list[Vm]]
    highest: dict[str, int] = field(default_factory=dict)
    reverted: list[str] = field(default_factory=list)
    _end: threading.Event = field(default_factory=threading.Event)
    _thread: threading.Thread | None = None

    def start(self) -> None:
        self._thread = threading.Thread(target=self._poll, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        self._end.set()
        if self._thread is not None:
            self._thread.join()

    def _poll(self) -> None:
        while not self._end.wait(0.1):
            for vm in self.vms():
                self._check_daemon(vm.daemon)

    def _check_daemon(self, daemon: Daemon) -> None:
        try:
            revision = int(http.call(daemon.admin, "GET", "/configuration", patience_s=1.0).json()["revision"])
        except (OSError, ValueError, KeyError, ProcessFailed):
            return
        if revision < self.highest.get(daemon.name, 0):
            self.reverted.append(f"{daemon.name}: {self.highest[daemon.name]} -> {revision}")
        self.highest[daemon.name] = max(revision, self.highest.get(daemon.name, 0))


class FaultRun:
    """One round: starts a fleet and its callers, then injects each fault alone and some of them in pairs."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.draw = random.Random(seed)
        self.seed = seed
        self.ledger = Ledger()
        self.vms: list[Vm] = []
        self.injected: list[str] = []
        self.failed_stops: list[str] = []
        self.stops: list[tuple[str, float]] = []
        self.dead_span: tuple[float, float] | None = None
        self.next_number = 0

    def run(self) -> dict[str, object]:
        """Runs the round and returns its figures."""
        for index in range(VMS):
            self.add_vm(DATA_CENTRES[index % len(DATA_CENTRES)])
        self.fleet.submit(CONFIGURATION.format(drain_s=3))
        self.fleet.wait_until_serving([(SERVICE, "GET", "/crews")])
        watch = RevisionWatch(lambda: list(self.vms))
        watch.start()
        callers = Callers(SERVICE, self.entries, self.seed, PAUSE_S)
        callers.start(CALLERS)
        time.sleep(1.0)
        self.inject_all()
        time.sleep(1.0)
        requests = callers.stop()
        watch.stop()
        for vm in self.vms:
            vm.backend.close()
        return self.judge(requests, watch)

    def entries(self) -> list[str]:
        return [vm.daemon.caller for vm in self.vms if vm.daemon.process.running]

    def add_vm(self, data_centre: str) -> Vm:
        name = f"vm-{self.next_number}"
        self.next_number += 1
        daemon = self.fleet.start_daemon(name, data_centre)
        vm = Vm(daemon, LedgerBackend(name, SERVICE, daemon.admin, self.ledger, SERVICE_S, SLOTS))
        self.vms.append(vm)
        return vm

    def inject_all(self) -> None:
        single = [self.kill_and_replace, self.freeze, self.platform_outage, self.lost_platform_answers,
                  self.lost_answers, self.planned_stop, self.operator_race, self.poison]
        self.draw.shuffle(single)
        for fault in single:
            self.record_fault(fault.__name__)
            fault()
        pairs = [(self.kill_and_replace, self.platform_outage), (self.freeze, self.lost_answers),
                 (self.planned_stop, self.platform_outage)]
        self.draw.shuffle(pairs)
        for first, second in pairs:
            self.record_fault(f"{first.__name__} with {second.__name__}")
            other = threading.Thread(target=second)
            other.start()
            first()
            other.join()

    def record_fault(self, name: str) -> None:
        self.injected.append(name)
        print_progress(f"fault: {name}")

    def choose(self) -> Vm:
        return self.draw.choice([vm for vm in self.vms if not vm.frozen])

    def kill_and_replace(self) -> None:
        victim = self.choose()
        self.vms.remove(victim)
        victim.daemon.process.signal(signal.SIGKILL)
        victim.backend.close()
        start = time.monotonic()
        time.sleep(DEAD_S)
        if self.dead_span is None:
            self.dead_span = (start, time.monotonic())
        self.fence(victim)
        self.add_vm(victim.daemon.data_centre)
        time.sleep(2.0)

    def fence(self, destroyed: Vm) -> None:
        """Declares a VM destroyed with monsoonctl fence, as operators do."""
        subprocess.run([str(BINARIES / "monsoonctl"), "fence", destroyed.daemon.process.addresses()["transport"],
                        "--service", SERVICE, "--as", "harness", "--platform", self.fleet.platform_address],
                       capture_output=True, check=False)

    def freeze(self) -> None:
        victim = self.choose()
        victim.frozen = True
        victim.daemon.process.signal(signal.SIGSTOP)
        time.sleep(FREEZE_S)
        victim.daemon.process.signal(signal.SIGCONT)
        time.sleep(2.0)
        victim.frozen = False

    def platform_outage(self) -> None:
        self.set_platform(outage=True)
        time.sleep(OUTAGE_S)
        self.set_platform(outage=False)
        time.sleep(1.0)

    def lost_platform_answers(self) -> None:
        self.set_platform(lose_answers=0.5)
        self.submit_as("operator-lost", drain_s=4)
        self.set_platform(lose_answers=0.0)

    def lost_answers(self) -> None:
        victim = self.choose()
        victim.backend.lose_answers = True
        time.sleep(1.5)
        victim.backend.lose_answers = False

    def planned_stop(self) -> None:
        victim = self.choose()
        replacement = self.add_vm(victim.daemon.data_centre)
        wait_for(lambda: is_ready(replacement.daemon), f"{replacement.daemon.name} to be ready")
        self.vms.remove(victim)
        stop_sent = time.monotonic()
        code = victim.daemon.process.stop()
        victim.backend.close()
        if code != 0:
            self.failed_stops.append(f"{victim.daemon.name} exit {code}")
        self.stops.append((victim.daemon.caller, stop_sent))

    def operator_race(self) -> None:
        racers = [threading.Thread(target=self.submit_as, args=(f"operator-{number}", 3 + number))
                  for number in range(3)]
        for racer in racers:
            racer.start()
        for racer in racers:
            racer.join()

    def submit_as(self, author: str, drain_s: int) -> int:
        file = self.fleet.folder / f"{author}.yaml"
        file.write_text(CONFIGURATION.format(drain_s=drain_s))
        run = subprocess.run([str(BINARIES / "monsoonctl"), "submit", str(file), "--platform",
                              self.fleet.platform_address, "--as", author], capture_output=True, text=True, check=False)
        return run.returncode

    def poison(self) -> None:
        before = self.ledger.crashes
        headers = {"Monsoonlift-Service": SERVICE, "Monsoonlift-Caller": "unlucky"}
        for sending in range(8):
            try:
                http.call(self.draw.choice(self.entries()), "GET", "/crews?token=poison", headers=headers,
                          body=POISON_MARKER, patience_s=5.0)
            except (OSError, ValueError):
                pass
            time.sleep(0.5)
        print_progress(f"poison request sent 8 times, {self.ledger.crashes - before} crashes")
        time.sleep(1.5)

    def set_platform(self, **faults: object) -> None:
        http.post_json(self.fleet.platform_address, "/faults", faults)

    def judge(self, requests: list[Request], watch: RevisionWatch) -> dict[str, object]:
        doubles = double_runs(self.ledger)
        false = false_not_run(requests, self.ledger)
        wrong = [request for request in requests if any(not outcome.correct for outcome in request.outcomes)]
        for name, violations in (("double runs", doubles), ("false not_run", false), ("reverted", watch.reverted),
                                 ("failed planned stops", self.failed_stops)):
            if violations:
                print_progress(f"{name}: {violations[:5]}")
        return {
            "double_runs": len(doubles), "false_not_run": len(false), "wrong_or_short_answers": len(wrong),
            "reverted_configurations": len(watch.reverted),
            "cut_in_planned_stop": len(self.failed_stops) + self.aborted_answers(requests),
            "poison_crashes": self.ledger.crashes, "calls": len(requests), "faults_injected": len(self.injected),
            "availability": self.availability(requests),
        }

    def aborted_answers(self, requests: list[Request]) -> int:
        """Counts requests sent to an entry before its planned stop that ended after it without a complete response."""
        return sum(1 for entry, stop_sent in self.stops for request in requests for outcome in request.outcomes
                   if outcome.entry == entry and outcome.sent < stop_sent <= outcome.ended and outcome.status is None)

    def availability(self, requests: list[Request]) -> float:
        """Returns the share of non-idempotent requests, first sent while one VM was down, that succeeded."""
        assert self.dead_span is not None
        start, end = self.dead_span
        during = [request for request in requests
                  if not request.idempotent and request.outcomes
                  and start + 1.0 <= request.outcomes[0].sent <= end - 1.0]
        return round(sum(request.succeeded for request in during) / max(1, len(during)), 4)


def is_ready(daemon: Daemon) -> bool:
    try:
        return http.call(daemon.admin, "GET", "/ready", patience_s=1.0).status == 200
    except OSError:
        return False


def measure(rounds: int, seed: int) -> dict[str, object]:
    """Returns the sums of the counts over all rounds and the lowest availability of a round."""
    totals: dict[str, object] = {}
    availabilities = []
    for number in range(rounds):
        with Fleet() as fleet:
            result = FaultRun(fleet, seed + number).run()
        print_progress(f"round {number + 1} of {rounds}: {result}")
        availabilities.append(result.pop("availability"))
        for name, value in result.items():
            totals[name] = totals.get(name, 0) + value  # type: ignore[operator]
    return {**totals, "availability": min(availabilities), "availabilities": availabilities,
            "servers_left_share": (VMS - 1) / VMS}
