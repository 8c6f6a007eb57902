"""The demo's steps and their checks."""
from __future__ import annotations

import random
import subprocess
import sys
import time

from demo import bodies
from demo.reporting import Report, expect
from harness import http
from harness.fleet import ROOT, Backend, BackendOptions, Fleet
from harness.keys import time_ordered_key
from harness.load import CallClass, Scenario, start_load, total

PHOTO_BYTES = 8 * 1024 * 1024
VIDEO_BYTES = 200 * 1024 * 1024
MAX_RESIDENT_MB = 64
SERVERS = [
    ("palermo", BackendOptions("fieldboard", slots=8, connections=200, service_ms=20, seed=1)),
    ("catania", BackendOptions("fieldboard", slots=8, connections=200, service_ms=20, seed=2)),
    ("palermo", BackendOptions("squadre", slots=8, connections=200, service_ms=10, seed=3)),
    ("catania", BackendOptions("squadre", slots=8, connections=200, service_ms=10, seed=4)),
    ("palermo", BackendOptions("archivio", slots=8, connections=200, service_ms=5, seed=5)),
    ("catania", BackendOptions("flightvault", slots=8, connections=200, service_ms=5, seed=6)),
]
FIELDBOARD_CAPACITY = 2 * 8 / 0.020
MIN_COMPLETE_SHARE = 0.99
CALLER_TIMEOUT_MS = 1000


class Demo:
    """Runs the demo's steps on one fleet."""

    def __init__(self, fleet: Fleet, report: Report) -> None:
        self._fleet = fleet
        self._report = report

    def run(self) -> None:
        """Runs all steps; skips the later ones if the fleet does not start or its configuration is not put in force."""
        if not self._report.step("fleet", self._start) or not self._report.step("configuration", self._submit):
            return
        self._report.step("field-slot lookup", self._lookup)
        self._report.step("dispatch sent twice", self._dispatch_twice)
        self._report.step("photo of 8 MB", self._photo)
        self._report.step("flight video of 200 MB, up", self._video_up)
        self._report.step("flight video of 200 MB, down", self._video_down)
        self._report.step("resident memory", self._memory)
        self._report.step("short overload", self._overload)
        self._report.step("planned stop under load", self._planned_stop)

    def print_commands(self) -> None:
        """Prints commands to try on the fleet that is left running."""
        entry = self._fleet.daemons[2]
        print(f"curl -i -H 'Monsoonlift-Service: fieldboard' http://{entry.caller}/slots/7")
        key = time_ordered_key(random.Random())
        print(f"curl -i -X POST -H 'Monsoonlift-Service: squadre' -H 'Idempotency-Key: {key}' "
              f"-d crew=7 http://{entry.caller}/dispatches")
        print(f"curl -s http://{entry.admin}/status")
        print(f"curl -s http://{entry.admin}/metrics")
        backends = [backend.process.pid for backend in self._fleet.backends]
        daemons = [daemon.process.pid for daemon in self._fleet.daemons]
        platform = [self._fleet.platform.process.pid] if self._fleet.platform else []
        print("kill", *backends, *daemons, *platform)

    def _start(self) -> str:
        self._fleet.start_servers(SERVERS)
        centres = {daemon.data_centre for daemon in self._fleet.daemons}
        return f"{len(self._fleet.daemons)} daemons in {len(centres)} data centres, a backend server beside each"

    def _submit(self) -> str:
        document = subprocess.run([sys.executable, ROOT / "examples" / "demo.py"], capture_output=True, text=True,
                                  check=True).stdout
        start = time.monotonic()
        self._fleet.submit(document)
        self._fleet.wait_until_serving([("fieldboard", "GET", "/slots"), ("squadre", "GET", "/crews"),
                                        ("archivio", "GET", "/photos"), ("flightvault", "GET", "/videos")])
        return f"printed by examples/demo.py, in force on every daemon after {time.monotonic() - start:.1f} s"

    def _lookup(self) -> str:
        answer = http.call(self._fleet.daemons[2].caller, "GET", "/slots/7?token=lookup",
                           headers={"Monsoonlift-Service": "fieldboard", "Monsoonlift-Caller": "pilot"})
        expect(answer.status == 200 and answer.json()["token"] == "lookup", f"{answer.status} {answer.body!r}")
        return f"status {answer.status}, verdict {answer.verdict}"

    def _dispatch_twice(self) -> str:
        key = time_ordered_key(random.Random())
        headers = {"Monsoonlift-Service": "squadre", "Monsoonlift-Caller": "crew", "Idempotency-Key": key}
        answers = [http.call(daemon.caller, "POST", "/dispatches?token=d1", headers=headers, body=b"crew=7")
                   for daemon in (self._fleet.daemons[0], self._fleet.daemons[5])]
        runs = sum(backend.runs().get(key, 0) for backend in self._fleet.backends)
        seen = ", ".join(f"{answer.status} {answer.verdict}" for answer in answers)
        expect(answers[0].status == 200 and runs == 1, f"answers {seen}, {runs} runs")
        return f"through {self._fleet.daemons[0].name} and {self._fleet.daemons[5].name}: {seen}; 1 run"

    def _photo(self) -> str:
        seen = self._upload("archivio", "/photos/pylon", PHOTO_BYTES, 8)
        return f"{seen['request_length']} bytes arrived, SHA-256 {seen['sha256'][:16]}... the same"

    def _video_up(self) -> str:
        start = time.monotonic()
        seen = self._upload("flightvault", "/videos/flight", VIDEO_BYTES, 200)
        taken = time.monotonic() - start
        return f"{seen['request_length']} bytes arrived in {taken:.1f} s, SHA-256 {seen['sha256'][:16]}... the same"

    def _upload(self, service: str, path: str, length: int, seed: int) -> dict[str, object]:
        headers = {"Monsoonlift-Service": service, "Content-Length": str(length)}
        answer = http.call(self._fleet.daemons[0].caller, "PUT", path, headers=headers,
                           body=bodies.chunks(length, seed), patience_s=bodies.PATIENCE_S)
        expect(answer.status == 200, f"{answer.status} {answer.body!r}")
        seen = answer.json()
        expect(seen["request_length"] == length, f"{seen['request_length']} of {length} bytes")
        expect(seen["sha256"] == bodies.sha256_of(length, seed), "another SHA-256")
        return seen

    def _video_down(self) -> str:
        path = f"/videos/flight?token=v1&bytes={VIDEO_BYTES}"
        through = bodies.download(self._fleet.daemons[0].caller, path, "flightvault")
        direct = bodies.download(self._backend("flightvault").address, path, "flightvault")
        expect(through.status == 200 and through.length == VIDEO_BYTES, f"{through}")
        expect(through.sha256 == direct.sha256, "another SHA-256")
        return f"{through.length} bytes, SHA-256 {through.sha256[:16]}... as at the backend server"

    def _memory(self) -> str:
        peaks = [daemon.process.resident_mb(peak=True) for daemon in self._fleet.daemons]
        expect(max(peaks) < MAX_RESIDENT_MB, f"{max(peaks):.1f} MB")
        return f"at most {max(peaks):.1f} MB in each daemon so far, photo and videos included"

    def _overload(self) -> str:
        urgent = CallClass("slot-lookup", "fieldboard", "/slots", {"surge": 0.3 * FIELDBOARD_CAPACITY},
                           timeout_ms=CALLER_TIMEOUT_MS)
        bulk = CallClass("board-refresh", "fieldboard", "/board", {"surge": 2.7 * FIELDBOARD_CAPACITY},
                         timeout_ms=CALLER_TIMEOUT_MS, attempts=3, retry_interval_ms=100)
        run = start_load(Scenario((("surge", 5),), (urgent, bulk), tuple(self._fleet.callers()), seed=11))
        result = run.result()
        shares = {name: total(result, "whole", [name]) / total(result, "sent", [name])
                  for name in result["classes"]}
        goodput = total(result, "whole") / 5 / FIELDBOARD_CAPACITY
        expect(result["wrong_or_short_answers"] == 0, "wrong or short answers")
        expect(shares["slot-lookup"] >= MIN_COMPLETE_SHARE, f"whole {shares}")
        return (f"3 times the capacity for 5 s: slot lookups {shares['slot-lookup']:.1%} whole, "
                f"board refreshes {shares['board-refresh']:.1%} whole; {goodput:.0%} of the capacity was goodput")

    def _planned_stop(self) -> str:
        leaving = self._fleet.daemons[1]
        others = tuple(daemon.caller for daemon in self._fleet.daemons if daemon is not leaving)
        lookup = CallClass("slot-lookup", "fieldboard", "/slots", {"all": 0.3 * FIELDBOARD_CAPACITY},
                           timeout_ms=CALLER_TIMEOUT_MS)
        backend = self._fleet.backends[1]
        cancelled_before = backend.stats()["cancelled"]
        run = start_load(Scenario((("all", 8),), (lookup,), others, seed=12))
        time.sleep(2)
        daemon_exit = leaving.process.stop()
        cancelled = backend.stats()["cancelled"] - cancelled_before
        backend_exit = backend.process.stop()
        result = run.result()
        sent, whole = total(result, "sent"), total(result, "whole")
        cut = sum(result["classes"]["slot-lookup"]["ends"].get(end, 0) for end in ("broken", "timeout", "wrong"))
        expect(daemon_exit == 0 and backend_exit == 0, f"exit codes {daemon_exit} and {backend_exit}")
        expect(cut == 0 and cancelled == 0, f"{cut} cut, {cancelled} cancelled: {result['classes']}")
        expect(whole >= MIN_COMPLETE_SHARE * sent, f"{whole} of {sent} whole")
        return f"{leaving.name} and its backend server ended with 0; {whole} of {sent} calls whole, none cut"

    def _backend(self, service: str) -> Backend:
        return next(backend for backend in self._fleet.backends if backend.options.service == service)
