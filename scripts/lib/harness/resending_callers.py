"""Callers that resend what was not answered, and a judgement of all that they were told."""
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

MOST_SENDS = 4
ANSWER_PATIENCE_S = 8.0


@dataclass(frozen=True)
class Told:
    """What one sending of a request came to; no status if no whole answer came."""

    sent: float
    ended: float
    entry: str
    status: int | None
    verdict: str
    right: bool


@dataclass
class Request:
    """One request of a caller with all its sendings."""

    key: str
    path: str
    idempotent: bool
    told: list[Told] = field(default_factory=list)

    @property
    def succeeded(self) -> bool:
        return any(one.status == 200 and one.right for one in self.told)


@dataclass
class Callers:
    """Threads that send a mix of lookups and keyed dispatches to whatever entries are up."""

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
        """Waits for the last answers and gives all requests."""
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
            self._send_until_settled(request, draw)

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

    def _send_until_settled(self, request: Request, draw: random.Random) -> None:
        for sending in range(MOST_SENDS):
            entries = self.entries()
            if not entries:
                return
            request.told.append(self._send(request, draw.choice(entries)))
            if request.succeeded:
                return
            time.sleep(draw.uniform(0.02, 0.1) * (sending + 1))

    def _send(self, request: Request, entry: str) -> Told:
        headers = {"Monsoonlift-Service": self.service, "Monsoonlift-Timeout-Ms": "4000"}
        if request.key:
            headers["Idempotency-Key"] = request.key
        method = "GET" if request.idempotent else "POST"
        sent = time.monotonic()
        try:
            answer = calls.call(entry, method, request.path, headers=headers,
                                body=None if request.idempotent else b"crew=7", patience_s=ANSWER_PATIENCE_S)
        except (OSError, http.client.HTTPException):
            return Told(sent, time.monotonic(), entry, None, "", right=True)
        return Told(sent, time.monotonic(), entry, answer.status, answer.verdict, is_right(request, answer))


def is_right(request: Request, answer: calls.Answer) -> bool:
    """Whether an answer with status 200 is the whole answer to this very request."""
    if answer.status != 200:
        return True
    try:
        document = json.loads(answer.body)
    except ValueError:
        return False
    return document["path"] == request.path and document["length"] == (0 if request.idempotent else 6)


def double_runs(ledger: Ledger) -> list[str]:
    """Keys that ran more than once."""
    return [key for key, runs in ledger.by_key().items() if len(runs) > 1]


def false_not_run(requests: list[Request], ledger: Ledger) -> list[str]:
    """Keys of non-idempotent requests that ran although their caller had been told that they did not."""
    runs = ledger.by_key()
    return [request.key for request in requests
            if request.key and any(is_false(told, request, runs.get(request.key, [])) for told in request.told)]


def is_false(told: Told, request: Request, runs: list[Run]) -> bool:
    """Whether this `not_run` was wrong: an earlier run, or a later one that no later sending explains."""
    if told.verdict != "not_run":
        return False
    for run in runs:
        later_sendings = [one for one in request.told if one.sent > told.sent and one.sent <= run.started]
        if run.started <= told.ended or not later_sendings:
            return True
    return False
