"""Calls through real daemons while processes crash, freeze or stop.

Usage: call_process_tests.py ROOT_OF_THE_REPOSITORY
"""
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import threading
import time
import unittest
from collections.abc import Callable
from dataclasses import dataclass

ROOT = pathlib.Path(sys.argv.pop(1)) if len(sys.argv) > 1 else pathlib.Path(".").resolve()
sys.path.insert(0, str(ROOT / "scripts" / "lib"))

from harness import http as calls  # noqa: E402
from harness.fleet import BINARIES, CONVERGE_PATIENCE_S, BackendOptions, Daemon, Fleet, wait_for  # noqa: E402
from harness.process import ProcessFailed, print_log_of_failure  # noqa: E402

DOCUMENT = """format: 1
data_centres: [palermo, catania]
classes: [urgent, lookup]
services:
  - name: squadre
    endpoints: 2
    slots: 8
    connections: 200
    calls:
      - {name: dispatch, method: POST, path: /dispatches, class: urgent, idempotent: false, patience: 5s}
      - {name: crews, method: GET, path: /crews, class: lookup, idempotent: true, patience: 5s}
  - name: priorita
    endpoints: 1
    slots: 8
    connections: 200
    calls:
      - {name: flags, method: GET, path: /flags, class: urgent, idempotent: true, patience: 5s}
      - {name: flag-search, method: POST, path: /flags, class: urgent, idempotent: true, patience: 5s}
"""
SLOW_MS = 1500
PAUSE_S = 5.0
LEAVING_CALLERS = 20
LEAVING_SLOTS = 128  # NOTE: a cold start admits a quarter of the slots, which exceeds LEAVING_CALLERS.
LEAVING_ROUNDS = 20
LONG_ANSWER_BYTES = 64 * 1024 * 1024
STORY_ENDS = {"call_accepted": ("call_answered", "call_refused", "call_abandoned"),
              "attempt_sent": ("attempt_answered", "attempt_failed", "attempt_redirected")}
REFUSAL_EVENTS = ("call_accepted", "attempt_sent", "attempt_not_admitted", "attempt_failed", "call_refused")
UNREAD_LINES_PER_SECOND = 100_000
MOST_UNREAD_CALLS = 5_000
QUOTED_BYTES = 300
MOST_QUOTED = 5
BAD_REQUESTS = (
    # request, expected status, expected part of the answer
    (b"GET /crews HTTP/1.1\r\nHost: x\r\n\r\n", 400, b"Monsoonlift-Service"),
    (b"GET /crews HTTP/1.1\r\nHost: x\r\nMonsoonlift-Service: nobody\r\n\r\n", 404, b"nobody"),
    (b"GET /nothing HTTP/1.1\r\nHost: x\r\nMonsoonlift-Service: squadre\r\n\r\n", 404, b"/nothing"),
    (b"GET /crews HTTP/1.1\r\nHost: x\r\nMonsoonlift-Service: squadre\r\nMonsoonlift-Timeout-Ms: soon\r\n\r\n",
     400, b"Monsoonlift-Timeout-Ms"),
    (b"GET /crews HTTP/1.1\r\nHost: x\r\nMonsoonlift-Service: squadre\r\nMonsoonlift-Timeout-Ms: 0\r\n\r\n",
     400, b"Monsoonlift-Timeout-Ms"),
    (b"GET /crews HTTP/1.1\r\nHost: x\r\nMonsoonlift-Service: squadre\r\nMonsoonlift-Timeout-Ms: 600001\r\n\r\n",
     400, b"Monsoonlift-Timeout-Ms"),
    (b"POST /dispatches HTTP/1.1\r\nHost: x\r\nMonsoonlift-Service: squadre\r\nContent-Length: 0\r\n"
     b"Idempotency-Key: " + b"k" * 129 + b"\r\n\r\n", 400, b"Idempotency-Key"),
    (b"GET /crews HTTP/1.1\r\nHost: x\r\nMonsoonlift-Service: squadre\r\nMonsoonlift-Context: made-up\r\n\r\n",
     400, b"Monsoonlift-Context"),
    (b"POST /dispatches HTTP/1.1\r\nHost: x\r\nMonsoonlift-Service: squadre\r\n"
     b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400, b"body-incomplete"),
    (b"nonsense\r\n\r\n", 400, b"problem+json"),
    (b"GET /crews HTTP/1.1\r\nHost: x\r\nX: " + b"a" * 40000 + b"\r\n\r\n", 413, b"problem+json"),
)


def send_raw(address: str, request: bytes) -> bytes:
    """Returns the bytes received until the connection closes, a JSON body ends or no data come for 3 s."""
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=3) as connection:
        connection.sendall(request)
        answer = b""
        try:
            while piece := connection.recv(65536):
                answer += piece
                if b"\r\n\r\n" in answer and answer.rstrip().endswith(b"}"):
                    break
        except TimeoutError:
            pass
        return answer


def order_of(key: str) -> bytes:
    """A body unique to the key: a body that was answered well shortly before isn't suspected of a crash."""
    return f"order={key}".encode()


def open_caller(address: str) -> http.client.HTTPConnection:
    """Opens a persistent connection of a caller."""
    host, port = address.rsplit(":", 1)
    caller = http.client.HTTPConnection(host, int(port), timeout=10)
    caller.connect()
    return caller


def read_status(caller: http.client.HTTPConnection) -> int:
    """Reads a complete answer and returns its status."""
    response = caller.getresponse()
    response.read()
    return response.status


def metric_at(admin: str, series: str) -> float:
    """Returns the value of one metric series from a daemon's admin port."""
    for line in calls.call(admin, "GET", "/metrics").body.decode().splitlines():
        if line.startswith(series + " "):
            return float(line.removeprefix(series))
    raise KeyError(series)


def metric(daemon: Daemon, series: str) -> float:
    """Returns the value of one metric series of a daemon."""
    return metric_at(daemon.admin, series)


def callers_gone(daemon: Daemon) -> float:
    """Returns how many lookups the daemon counts as ended because the caller disconnected."""
    return sum(metric(daemon, f'monsoonlift_calls_ended_total{{class="lookup",outcome="caller_gone",verdict="{verdict}"}}')
               for verdict in ("not_run", "ran", "may_have_run"))


def events(daemon: Daemon, name: str) -> list[dict[str, str]]:
    """Returns the events of that name in the daemon's log."""
    written = [json.loads(line) for line in daemon.process.log.read_text().splitlines() if line.startswith("{")]
    return [event for event in written if event["name"] == name]


@dataclass(frozen=True)
class Story:
    """The output of monsoonctl explain for one request."""

    lines: list[dict[str, str]]
    text: str

    @property
    def names(self) -> list[str]:
        return [line["name"] for line in self.lines]

    def event(self, name: str) -> dict[str, str]:
        """Returns the line of that event; fails unless there is exactly one."""
        matching = [line for line in self.lines if line["name"] == name]
        if len(matching) != 1:
            raise AssertionError(f"{len(matching)} lines of {name}:\n{self.text}")
        return matching[0]


def explain(fleet: Fleet, answer: calls.Answer) -> Story:
    """Runs monsoonctl explain on the logs of all daemons for an answered call, once its last line is written."""
    logs = [str(daemon.process.log) for daemon in fleet.daemons]
    request = answer.headers["monsoonlift-request-id"]

    def run(output: str) -> str:
        command = [str(BINARIES / "monsoonctl"), "explain", request, *logs, "--output", output]
        return subprocess.run(command, capture_output=True, text=True, check=False).stdout

    def is_complete() -> bool:
        names = [line["name"] for line in json.loads(run("json")).get("lines", [])]
        return all(sum(names.count(end) for end in ends) == names.count(begin) > 0 for begin, ends in STORY_ENDS.items())

    wait_for(is_complete, "the end of the call in the logs")
    return Story(json.loads(run("json"))["lines"], run("text"))


def wait_during_call(condition: Callable[[], bool], what: str, answers: list[calls.Answer],
                     patience_s: float = CONVERGE_PATIENCE_S) -> None:
    """Waits like wait_for() while a call runs in another thread; a failure quotes the last answers received."""
    try:
        wait_for(condition, what, patience_s)
    except ProcessFailed as late:
        quoted = [f"{one.status} {one.verdict} {one.body[:QUOTED_BYTES]!r}" for one in answers[-MOST_QUOTED:]]
        raise ProcessFailed(f"{late}; answers so far: {', '.join(quoted) or 'none'}") from late


class WaitBesideCallTests(unittest.TestCase):
    """Tests the message of a wait that fails while a call runs."""

    def test_the_failure_names_the_answers_so_far(self) -> None:
        problem = calls.Answer(503, {"monsoonlift-verdict": "not_run"}, b"no backend server of squadre")
        cases = (
            # answers, expected end of the message
            ([], "answers so far: none"),
            ([problem], "answers so far: 503 not_run b'no backend server of squadre'"),
            ([problem, calls.Answer(200, {"monsoonlift-verdict": "ran"}, b"x" * 400)], "200 ran b'" + "x" * 300 + "'"),
        )
        for answers, expected in cases:
            with self.subTest(answers=len(answers)), self.assertRaises(ProcessFailed) as failed:
                wait_during_call(lambda: False, "the dispatch to run", answers, patience_s=0.0)
            self.assertIn("waited 0.0 s for the dispatch to run; ", str(failed.exception))
            self.assertTrue(str(failed.exception).endswith(expected), str(failed.exception))


class CallProcessTests(unittest.TestCase):
    """Each test starts a small fleet of its own."""

    def enter_fleet(self, fleet: Fleet) -> Fleet:
        """Stops the fleet at the end of the test; if the test failed, the logs are printed first."""
        self.enterContext(fleet)
        self.addCleanup(self.print_logs_of_failure, fleet)
        return fleet

    def print_logs_of_failure(self, fleet: Fleet) -> None:
        """Prints the last lines of every daemon if this test has failed."""
        for daemon in fleet.daemons:
            print_log_of_failure(self, daemon.process)

    def start(self, *options: BackendOptions) -> Fleet:
        fleet = self.enter_fleet(Fleet())
        fleet.start_servers([(("palermo", "catania")[index % 2], one) for index, one in enumerate(options)])
        fleet.submit(DOCUMENT)
        paths = {"squadre": "/crews", "priorita": "/flags"}
        fleet.wait_until_serving([(one, "GET", paths[one]) for one in sorted({each.service for each in options})])
        return fleet

    def dispatch(self, entry: str, key: str, patience_s: float = 8.0) -> calls.Answer:
        return calls.call(entry, "POST", "/dispatches?token=t", body=order_of(key), patience_s=patience_s,
                          headers={"Monsoonlift-Service": "squadre", "Idempotency-Key": key})

    def settle(self, fleet: Fleet, entry: str, key: str) -> calls.Answer:
        """Repeats the dispatch until it ran, which takes until the home of its key is known."""
        answers = [self.dispatch(entry, key)]
        wait_during_call(
            lambda: answers[-1].verdict == "ran" or answers.append(self.dispatch(entry, key)) is not None,
            "the dispatch to run", answers)
        return answers[-1]

    @staticmethod
    def runs(fleet: Fleet, key: str) -> int:
        return sum(backend.runs().get(key, 0) for backend in fleet.backends if backend.process.running)

    def test_malformed_requests_get_a_specific_error_and_leave_the_daemon_serving(self) -> None:
        fleet = self.start(BackendOptions("squadre"))
        entry = fleet.daemons[0].caller
        for request, status, part in BAD_REQUESTS:
            with self.subTest(request=request[:90]):
                answer = send_raw(entry, request)
                self.assertEqual(answer.split(b" ")[1:2], [str(status).encode()], answer[:300])
                self.assertIn(part, answer)
                self.assertIn(b"not_run", answer)
        good = calls.call(entry, "GET", "/crews", headers={"Monsoonlift-Service": "squadre"})
        self.assertEqual((good.status, good.verdict), (200, "ran"))

    def test_a_key_runs_once_when_it_is_resent_through_another_entry_after_a_crash(self) -> None:
        fleet = self.start(BackendOptions("squadre"), BackendOptions("squadre"), BackendOptions("priorita"))
        self.settle(fleet, fleet.daemons[0].caller, "warm-up")
        key = "dispatch-1"
        entry = fleet.daemons[2]
        first = self.settle(fleet, entry.caller, key)
        entry.process.signal(signal.SIGKILL)
        second = self.dispatch(fleet.daemons[0].caller, key)
        self.assertEqual((second.status, second.verdict, second.body), (200, "ran", first.body))
        self.assertEqual(self.runs(fleet, key), 1)

    def test_a_dispatch_in_flight_at_a_gate_that_crashes_is_answered_may_have_run(self) -> None:
        fleet = self.start(BackendOptions("squadre", service_ms=SLOW_MS), BackendOptions("priorita"))
        entry = fleet.daemons[1].caller
        self.settle(fleet, entry, "warm-up")
        answers: list[calls.Answer] = []
        caller = threading.Thread(target=lambda: answers.append(self.dispatch(entry, "dispatch-2")))
        caller.start()
        wait_during_call(lambda: self.runs(fleet, "dispatch-2") == 1, "the dispatch to reach its backend server",
                         answers)
        fleet.daemons[0].process.signal(signal.SIGKILL)
        caller.join()
        self.assertEqual(answers[0].verdict, "may_have_run")
        again = self.dispatch(entry, "dispatch-2")
        self.assertEqual(again.verdict, "may_have_run")
        self.assertEqual(self.runs(fleet, "dispatch-2"), 1)

    def test_an_aborted_lookup_without_another_backend_server_is_answered_may_have_run(self) -> None:
        fleet = self.start(BackendOptions("squadre", service_ms=SLOW_MS), BackendOptions("priorita"))
        answers: list[calls.Answer] = []
        caller = threading.Thread(target=lambda: answers.append(
            calls.call(fleet.daemons[1].caller, "GET", "/crews", headers={"Monsoonlift-Service": "squadre"})))
        caller.start()
        wait_during_call(lambda: fleet.backends[0].stats()["running"] > 0, "the call to run", answers)
        fleet.backends[0].process.signal(signal.SIGKILL)
        caller.join()
        self.assertEqual(answers[0].verdict, "may_have_run")

    def test_a_truncated_answer_never_looks_complete(self) -> None:
        fleet = self.start(BackendOptions("squadre"), BackendOptions("priorita"))
        host, port = fleet.daemons[1].caller.rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=10)
        self.addCleanup(connection.close)
        connection.request("GET", f"/crews?bytes={LONG_ANSWER_BYTES}", headers={"Monsoonlift-Service": "squadre"})
        response = connection.getresponse()
        self.assertEqual(response.status, 200)
        response.read(1024 * 1024)
        fleet.backends[0].process.signal(signal.SIGKILL)
        with self.assertRaises((http.client.IncompleteRead, ConnectionError)):
            received = 1024 * 1024
            while piece := response.read(1024 * 1024):
                received += len(piece)
            if received < LONG_ANSWER_BYTES:
                raise http.client.IncompleteRead(b"", LONG_ANSWER_BYTES - received)

    def test_a_caller_that_disconnects_cancels_its_call(self) -> None:
        fleet = self.start(BackendOptions("squadre", service_ms=SLOW_MS), BackendOptions("priorita"))
        before = fleet.backends[0].stats()["cancelled"]
        host, port = fleet.daemons[1].caller.rsplit(":", 1)
        connection = socket.create_connection((host, int(port)))
        connection.sendall(b"GET /crews HTTP/1.1\r\nHost: x\r\nMonsoonlift-Service: squadre\r\n\r\n")
        wait_for(lambda: fleet.backends[0].stats()["running"] > 0, "the call to run")
        connection.close()
        wait_for(lambda: fleet.backends[0].stats()["cancelled"] > before, "the call to be cancelled")

    def test_callers_that_disconnect_during_a_later_request_of_a_connection_are_counted(self) -> None:
        fleet = self.enter_fleet(Fleet(workers=4))
        fleet.start_servers([("palermo", BackendOptions("squadre", slots=LEAVING_SLOTS)),
                             ("catania", BackendOptions("priorita"))])
        fleet.submit(DOCUMENT)
        fleet.wait_until_serving([("squadre", "GET", "/crews")])
        entry, backend = fleet.daemons[1], fleet.backends[0]
        for number in range(LEAVING_ROUNDS):
            with self.subTest(round=number):
                before = callers_gone(entry)
                callers = [open_caller(entry.caller) for _ in range(LEAVING_CALLERS)]
                for caller in callers:
                    caller.request("GET", "/crews", headers={"Monsoonlift-Service": "squadre"})
                self.assertEqual([read_status(caller) for caller in callers], [200] * LEAVING_CALLERS)
                backend.set_faults(hang=True)
                try:
                    for caller in callers:
                        caller.request("GET", "/crews", headers={"Monsoonlift-Service": "squadre"})
                    wait_for(lambda: backend.stats()["running"] == LEAVING_CALLERS, "the calls to run")
                    for caller in callers:
                        caller.close()
                    wait_for(lambda: metric(entry, "monsoonlift_calls_in_flight") == 0, "the calls to end")
                finally:
                    backend.set_faults(hang=False)
                self.assertEqual(callers_gone(entry) - before, LEAVING_CALLERS)

    def test_a_planned_stop_completes_running_calls(self) -> None:
        fleet = self.start(BackendOptions("squadre", service_ms=SLOW_MS), BackendOptions("priorita"))
        answers: list[calls.Answer] = []
        target = fleet.daemons[1].caller
        caller = threading.Thread(target=lambda: answers.append(
            calls.call(target, "GET", "/crews", headers={"Monsoonlift-Service": "squadre"})))
        caller.start()
        wait_during_call(lambda: fleet.backends[0].stats()["running"] > 0, "the call to run", answers)
        code = fleet.daemons[0].process.stop()
        caller.join()
        self.assertEqual((code, answers[0].status, answers[0].verdict), (0, 200, "ran"))

    def test_nested_calls_go_through_the_local_daemon(self) -> None:
        fleet = self.start(BackendOptions("priorita"), BackendOptions("squadre", calls=("priorita:/flags",)))
        answer = calls.call(fleet.daemons[0].caller, "GET", "/crews", headers={"Monsoonlift-Service": "squadre"})
        self.assertEqual((answer.status, answer.verdict), (200, "ran"))
        self.assertGreater(fleet.backends[0].stats()["completed"], 0)

    def test_metrics_and_events_report_the_outcomes_of_calls(self) -> None:
        fleet = self.start(BackendOptions("squadre", service_ms=SLOW_MS), BackendOptions("priorita"))
        gate, entry = fleet.daemons
        answered = 'monsoonlift_calls_ended_total{class="lookup",outcome="answered",verdict="ran"}'
        refused = 'monsoonlift_calls_ended_total{class="unknown",outcome="problem",verdict="not_run"}'
        unclear = 'monsoonlift_calls_ended_total{class="urgent",outcome="problem",verdict="may_have_run"}'
        unknown_service = 'monsoonlift_call_problems_total{class="unknown",reason="unknown-service"}'
        ran = 'monsoonlift_gate_ended_total{class="lookup",reason="answered"}'
        broken = 'monsoonlift_gate_ended_total{class="urgent",reason="backend_failed"}'
        at_entry = {series: metric(entry, series) for series in (answered, refused, unclear, unknown_service)}
        wait_for(lambda: metric(gate, "monsoonlift_gate_in_flight") == 0, "the gate to be idle")
        at_gate = {series: metric(gate, series) for series in (ran, broken)}

        calls.call(entry.caller, "GET", "/crews", headers={"Monsoonlift-Service": "squadre"})
        calls.call(entry.caller, "GET", "/crews", headers={"Monsoonlift-Service": "nobody"})
        answers: list[calls.Answer] = []
        caller = threading.Thread(target=lambda: answers.append(
            calls.call(entry.caller, "POST", "/dispatches?token=t", body=b"crew=7",
                       headers={"Monsoonlift-Service": "squadre"})))
        caller.start()
        wait_during_call(lambda: fleet.backends[0].stats()["running"] > 0, "the dispatch to run", answers)
        fleet.backends[0].process.signal(signal.SIGKILL)
        caller.join()
        self.assertEqual(answers[0].verdict, "may_have_run")

        for daemon, known in ((entry, at_entry), (gate, at_gate)):
            for series, before in known.items():
                wait_for(lambda d=daemon, s=series, b=before: metric(d, s) - b == 1, f"one more {series}")
        self.assertGreater(metric(gate, 'monsoonlift_gate_admitted_total{class="urgent"}'), 0)
        for daemon, name in ((entry, "call_may_have_run"), (gate, "backend_broke_off")):
            wait_for(lambda d=daemon, n=name: events(d, n), f"{name} in the log of {daemon.name}")
        reported = events(entry, "call_may_have_run")
        self.assertEqual([(one["event"], one["class"], one["service"], one["left_out"]) for one in reported],
                         [(2004, "urgent", "squadre", "0")])
        self.assertEqual([(one["event"], one["class"]) for one in events(gate, "backend_broke_off")],
                         [(3007, "urgent")])

    def test_a_call_refused_under_overload_is_explained(self) -> None:
        fleet = self.start(BackendOptions("squadre", slots=1, service_ms=SLOW_MS), BackendOptions("priorita"))
        answers: list[calls.Answer] = []
        headers = {"Monsoonlift-Service": "squadre", "Monsoonlift-Timeout-Ms": "3000"}
        callers = [threading.Thread(target=lambda: answers.append(
            calls.call(fleet.daemons[1].caller, "GET", "/crews", headers=headers))) for _ in range(6)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        refused = [one for one in answers if one.status == 429]
        self.assertTrue(refused, [one.status for one in answers])
        story = explain(fleet, refused[0])
        self.assertEqual([name for name in story.names if name in REFUSAL_EVENTS],
                         list(REFUSAL_EVENTS), story.text)
        refusal = story.event("call_refused")
        self.assertEqual((refusal["status"], refusal["verdict"], refusal["class"]), ("429", "not_run", "lookup"))
        self.assertEqual(story.event("attempt_not_admitted")["reason"], "shed")

    def test_a_call_that_may_have_run_after_a_crash_is_explained(self) -> None:
        fleet = self.start(BackendOptions("squadre", service_ms=SLOW_MS), BackendOptions("priorita"))
        entry = fleet.daemons[1].caller
        self.settle(fleet, entry, "warm-up")
        answers: list[calls.Answer] = []
        caller = threading.Thread(target=lambda: answers.append(self.dispatch(entry, "crashing")))
        caller.start()
        wait_during_call(lambda: self.runs(fleet, "crashing") == 1, "the dispatch to run", answers)
        fleet.backends[0].process.signal(signal.SIGKILL)
        caller.join()
        self.assertEqual(answers[0].verdict, "may_have_run")
        story = explain(fleet, answers[0])
        broken = story.event("attempt_broken")
        self.assertEqual((broken["sent"], broken["verdict"], broken["reason"]), ("yes", "may_have_run", "backend_failed"))
        self.assertEqual(story.event("attempt_failed")["next"], "none: it ran or may have run")
        self.assertEqual(story.event("call_refused")["verdict"], "may_have_run")

    def test_a_nested_call_that_exceeds_its_deadline_is_explained(self) -> None:
        fleet = self.start(BackendOptions("priorita"), BackendOptions("squadre", calls=("priorita:/flags",)))
        fleet.backends[0].set_faults(hang=True)
        answer = calls.call(fleet.daemons[0].caller, "GET", "/crews",
                            headers={"Monsoonlift-Service": "squadre", "Monsoonlift-Timeout-Ms": "800"})
        self.assertEqual((answer.status, answer.verdict), (504, "may_have_run"))
        story = explain(fleet, answer)
        depths = [event["depth"] for event in story.lines if event["name"] == "call_accepted"]
        self.assertEqual(depths, ["0", "1"], story.text)
        deepest = [event for event in story.lines if event["name"] == "attempt_started"][-1]
        self.assertEqual(deepest["service"], "priorita")
        out_of_time = [event for event in story.lines
                       if event["name"] == "attempt_broken" and event["service"] == "priorita"]
        self.assertEqual([event["sent"] for event in out_of_time], ["yes"], story.text)

    def test_a_log_reader_that_stalls_or_closes_the_pipe_delays_no_call(self) -> None:
        fleet = self.start(BackendOptions("squadre"))
        settings = fleet.folder / "unread.yaml"
        text = (fleet.folder / f"{fleet.daemons[0].name}.yaml").read_text()
        settings.write_text(text.replace(f'name: "{fleet.daemons[0].name}"', 'name: "unread"') +
                            f"log_lines_per_second: {UNREAD_LINES_PER_SECOND}\n")
        daemon = subprocess.Popen([str(BINARIES / "monsoonliftd"), "--settings", str(settings)],
                                  stdout=subprocess.PIPE, text=True)
        self.addCleanup(daemon.wait)
        self.addCleanup(daemon.kill)
        self.addCleanup(daemon.stdout.close)
        started = next(event for event in map(json.loads, daemon.stdout) if event["name"] == "process_started")
        wait_for(lambda: calls.call(started["caller"], "GET", "/crews",
                                    headers={"Monsoonlift-Service": "squadre"}).status == 200, "the daemon to serve")
        self.assertEqual(self.lookups_until_lines_are_left_out(started), {200})
        daemon.stdout.close()
        answers = [calls.call(started["caller"], "GET", "/crews", headers={"Monsoonlift-Service": "squadre"})
                   for _ in range(10)]
        self.assertEqual({answer.status for answer in answers}, {200})
        daemon.send_signal(signal.SIGTERM)
        self.assertEqual(daemon.wait(), 0)

    def lookups_until_lines_are_left_out(self, started: dict[str, str]) -> set[int]:
        """Sends lookups until the daemon, whose log isn't read, leaves lines out; returns the statuses received."""
        statuses = set()
        left_out = "monsoonlift_log_lines_left_out_total"
        for _ in range(MOST_UNREAD_CALLS):
            answer = calls.call(started["caller"], "GET", "/crews", headers={"Monsoonlift-Service": "squadre"})
            statuses.add(answer.status)
            if metric_at(started["admin"], left_out) > 0:
                return statuses
        raise AssertionError(f"no line left out after {MOST_UNREAD_CALLS} calls")

    def test_every_answer_names_its_request(self) -> None:
        fleet = self.start(BackendOptions("squadre"))
        entry = fleet.daemons[0].caller
        for headers, status in (({"Monsoonlift-Service": "squadre"}, 200), ({"Monsoonlift-Service": "nobody"}, 404),
                                ({}, 400)):
            with self.subTest(status=status):
                answer = calls.call(entry, "GET", "/crews", headers=headers)
                self.assertEqual(answer.status, status)
                self.assertRegex(answer.headers["monsoonlift-request-id"], "^[0-9a-f]{32}$")

    def test_calls_with_and_without_keys_are_served_during_an_outage_of_the_platform(self) -> None:
        fleet = self.start(BackendOptions("squadre"), BackendOptions("squadre"))
        for number in range(16):
            self.settle(fleet, fleet.daemons[0].caller, f"before-{number}")
        calls.post_json(fleet.platform_address, "/faults", {"outage": True})
        for number in range(16):
            answer = self.settle(fleet, fleet.daemons[number % 2].caller, f"during-{number}")
            self.assertEqual(answer.verdict, "ran")
            self.assertEqual(self.runs(fleet, f"during-{number}"), 1)
        lookup = calls.call(fleet.daemons[1].caller, "GET", "/crews", headers={"Monsoonlift-Service": "squadre"})
        self.assertEqual(lookup.status, 200)

    def test_a_frozen_gate_runs_a_key_at_most_once_and_reports_no_false_verdict(self) -> None:
        fleet = self.start(BackendOptions("squadre"), BackendOptions("priorita"))
        entry = fleet.daemons[1].caller
        self.settle(fleet, entry, "warm-up")
        fleet.daemons[0].process.signal(signal.SIGSTOP)
        answer = calls.call(entry, "POST", "/dispatches?token=t", body=order_of("late"),
                            headers={"Monsoonlift-Service": "squadre", "Idempotency-Key": "late",
                                     "Monsoonlift-Timeout-Ms": "500"})
        fleet.daemons[0].process.signal(signal.SIGCONT)
        lookup = {"Monsoonlift-Service": "squadre"}
        wait_for(lambda: calls.call(entry, "GET", "/crews", headers=lookup).status == 200, "the gate to serve again")
        again = [self.dispatch(entry, "late") for _ in range(3)]
        runs = self.runs(fleet, "late")
        self.assertLessEqual(runs, 1)
        if runs == 1 and "ran" not in [one.verdict for one in again]:
            self.assertEqual({answer.verdict, *(one.verdict for one in again)}, {"may_have_run"})

    def test_a_paused_vm_serves_at_once_after_it_resumes_and_runs_keys_once(self) -> None:
        fleet = self.start(BackendOptions("squadre"), BackendOptions("priorita"))
        entry = fleet.daemons[1].caller
        self.settle(fleet, entry, "warm-up")
        paused = (fleet.daemons[0].process, fleet.backends[0].process)
        for process in paused:
            process.signal(signal.SIGSTOP)
        time.sleep(PAUSE_S)
        for process in paused:
            process.signal(signal.SIGCONT)
        lookup = calls.call(entry, "GET", "/crews", headers={"Monsoonlift-Service": "squadre"})
        self.assertEqual((lookup.status, lookup.verdict), (200, "ran"), lookup.body)
        dispatch = self.dispatch(entry, "after-the-pause")
        self.assertEqual((dispatch.status, dispatch.verdict), (200, "ran"), dispatch.body)
        self.assertEqual(self.runs(fleet, "after-the-pause"), 1)

    def test_a_restart_without_a_refused_connection_counts_as_a_crash(self) -> None:
        fleet = self.start(BackendOptions("squadre", service_ms=SLOW_MS), BackendOptions("priorita"))
        entry = fleet.daemons[1].caller
        self.settle(fleet, entry, "warm-up")
        daemon, backend = fleet.daemons[0], fleet.backends[0]
        address = backend.address
        answers: list[calls.Answer] = []
        caller = threading.Thread(target=lambda: answers.append(self.dispatch(entry, "crashing")))
        caller.start()
        wait_during_call(lambda: self.runs(fleet, "crashing") == 1, "the dispatch to reach its backend server",
                         answers)
        daemon.process.signal(signal.SIGSTOP)
        backend.process.kill()
        restarted = fleet.start("restarted", ["backend-standin", "--service=squadre", f"--listen={address}",
                                              f"--daemon={daemon.admin}"])
        self.addCleanup(restarted.kill)
        self.assertEqual(restarted.addresses()["address"], address)
        daemon.process.signal(signal.SIGCONT)
        wait_during_call(lambda: [one["crashes"] for one in calls.get_json(daemon.admin, "/quarantine")] == [1],
                         "the dispatch to be suspected of the crash", answers)
        caller.join()
        self.assertEqual(answers[0].verdict, "may_have_run")

    def test_daemons_that_start_simultaneously_find_each_other(self) -> None:
        fleet = self.start(*[BackendOptions("squadre", threads=1)] * 8)
        for daemon in fleet.daemons:
            wait_for(lambda d=daemon: len(calls.get_json(d.admin, "/status")["members"]) == len(fleet.daemons),
                     f"{daemon.name} to list every member")

    def test_a_hangup_reads_the_settings_again(self) -> None:
        fleet = self.start(BackendOptions("squadre"))
        daemon = fleet.daemons[0]
        file = fleet.folder / f"{daemon.name}.yaml"
        sound = file.read_text()
        for text, expected in ((sound, '"changed":"no"'), (sound + "retry_burst: 3\n", '"changed":"yes"'),
                           (sound + "retry_burst: many\n", "settings_refused")):
            file.write_text(text)
            os.kill(daemon.process.pid, signal.SIGHUP)
            wait_for(lambda t=expected: t in daemon.process.log.read_text(), f"the log to say {expected}")
        self.assertEqual(calls.call(daemon.caller, "GET", "/crews",
                                    headers={"Monsoonlift-Service": "squadre"}).status, 200)

    def test_an_address_in_use_is_reported(self) -> None:
        fleet = self.start(BackendOptions("squadre"))
        taken = fleet.daemons[0].process.addresses()
        settings = (fleet.folder / f"{fleet.daemons[0].name}.yaml").read_text()
        settings = settings.replace('caller_address: "127.0.0.1:0"', f'caller_address: "{taken["caller"]}"')
        file = fleet.folder / "second.yaml"
        file.write_text(settings)
        run = subprocess.run([str(BINARIES / "monsoonliftd"), "--settings", str(file)], capture_output=True,
                             text=True, check=False, timeout=20)
        self.assertNotEqual(run.returncode, 0)
        self.assertIn("in use", run.stderr)

    def test_bad_settings_are_all_reported(self) -> None:
        run = subprocess.run([str(BINARIES / "monsoonliftd"), "--settings", "/dev/stdin"], capture_output=True,
                             input="nam: x\nworkers: 0\n", text=True, check=False, timeout=20)
        self.assertEqual(run.returncode, 2)
        self.assertIn("nam", run.stderr)
        self.assertIn("workers", run.stderr)


if __name__ == "__main__":
    unittest.main(verbosity=2)
