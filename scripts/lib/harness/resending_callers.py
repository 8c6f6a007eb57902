"""Callers that resend requests that did not succeed, and checks of the responses that they received."""
from __future__ import annotations

import http.client
import json
import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from harness import http as calls
from harness.keys import time_ordered_key
from harness.ledger_backend import Ledger, Run

MAX_SENDS = 4
ANSWER_PATIENCE_S = 8.0


@dataclass(frozen=True)
class Outcome:
    """The outcome of sending a request once; `status` is None if no complete response arrived."""

    sent: float
    ended: float
    entry: str
    status: int | None
    verdict: str
    correct: bool


@dataclass
class Request:
    """One request of a caller and the outcomes of all its sends."""

    key: str
    path: str
    idempotent: bool
    outcomes: list[Outcome] = field(default_factory=list)

    @property
    def succeeded(self) -> bool:
        return any(outcome.status == 200 and outcome.correct for outcome in self.outcomes)


@dataclass
class Callers:
    """Threads that send a mix of lookups and dispatches with idempotency keys to the entries that are running."""

    service: str
    entries: Callable[[], list[str]]
    seed: int
    pause_s: float
    requests: list[Request] = field(default_factory=list)
    _lock: threading.Lock = field(default_factory=threading.Lock)
    _end: threading.Event = field(default_factory=threading.Event)
    _threads: list[threading.Thread] = field(default_factory=list)

    def start(self, count: int) -> None:
        for number in range(count):
            thread = threading.Thread(target=self._work, args=(number,), daemon=True)
            thread.start()
            self._threads.append(thread)

    def stop(self) -> list[Request]:
        """Stops sending new requests, waits for the last responses and returns all requests."""
        self._end.set()
        for thread in self._threads:
            thread.join()
        return self.requests

    def _work(self, number: int) -> None:
        draw = random.Random(self.seed * 1000 + number)
        serial = 0
        while not self._end.wait(draw.uniform(0, 2 * self.pause_s)):
            serial += 1
            token = f"{number}-{serial}"
            request = self._make(draw, token)
            with self._lock:
                self.requests.append(request)
            self._send_until_success(request, draw)

    def _make(self, draw: random.Random, token: str) -> Request:
        if draw.random() < 0.5:
            return Request("", f"/crews?token={token}", idempotent=True)
        return Request(self._key(draw), f"/dispatches?token={token}", idempotent=False)

    def _key(self, draw: random.Random) -> str:
        kind = draw.choice(("opaque", "time-ordered", "permit"))
        if kind == "opaque":
            return f"order-{draw.getrandbits(64):016x}"
        if kind == "time-ordered":
            return time_ordered_key(draw)
        try:
            permit = calls.call(draw.choice(self.entries()), "POST", "/.monsoonlift/permits",
                                headers={"Monsoonlift-Service": self.service}, patience_s=ANSWER_PATIENCE_S)
            return permit.json()["key"]
        except (OSError, http.client.HTTPException, ValueError, KeyError, IndexError):
            return time_ordered_key(draw)

    def _send_until_success(self, request: Request, draw: random.Random) -> None:
        for sending in range(MAX_SENDS):
            entries = self.entries()
            if not entries:
                return
            request.outcomes.append(self._send(request, draw.choice(entries)))
            if request.succeeded:
                return
            time.sleep(draw.uniform(0.02, 0.1) * (sending + 1))

    def _send(self, request: Request, entry: str) -> Outcome:
        headers = {"Monsoonlift-Service": self.service, "Monsoonlift-Timeout-Ms": "4000"}
        if request.key:
            headers["Idempotency-Key"] = request.key
        method = "GET" if request.idempotent else "POST"
        sent = time.monotonic()
        try:
            answer = calls.call(entry, method, request.path, headers=headers,
                                body=None if request.idempotent else b"crew=7", patience_s=ANSWER_PATIENCE_S)
        except (OSError, http.client.HTTPException):
            return Outcome(sent, time.monotonic(), entry, None, "", correct=True)
        return Outcome(sent, time.monotonic(), entry, answer.status, answer.verdict, is_correct(request, answer))


def is_correct(request: Request, answer: calls.Answer) -> bool:
    """Returns False if a response with status 200 is not the complete response to this request, else True."""
    if answer.status != 200:
        return True
    try:
        document = json.loads(answer.body)
    except ValueError:
        return False
    return document["path"] == request.path and document["length"] == (0 if request.idempotent else 6)


def double_runs(ledger: Ledger) -> list[str]:
    """Returns the keys whose requests ran more than once."""
    return [key for key, runs in ledger.by_key().items() if len(runs) > 1]


def false_not_run(requests: list[Request], ledger: Ledger) -> list[str]:
    """Returns the keys of non-idempotent requests that ran although a response had the verdict not_run."""
    runs = ledger.by_key()
    return [request.key for request in requests
            if request.key and any(is_false_not_run(outcome, request, runs.get(request.key, []))
                               for outcome in request.outcomes)]


def is_false_not_run(outcome: Outcome, request: Request, runs: list[Run]) -> bool:
    """Returns whether `not_run` was false: a run began before that response, or after it without a later send."""
    if outcome.verdict != "not_run":
        return False
    for run in runs:
        later_sends = [later for later in request.outcomes if later.sent > outcome.sent and later.sent <= run.started]
        if run.started <= outcome.ended or not later_sends:
            return True
    return False
