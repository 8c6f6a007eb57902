"""Judges one run by what callers were told and what backend servers ran; it asks no daemon anything.

A finding is a text that begins with the name of the promise that was broken.
"""
from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

PROMISES = frozenset({408, 421, 429, 503})  # Statuses which say that the request has not run and never will.
MOST_SERVERS = 2  # Of the routes in force here.
RETRY_RATIO = 0.2
RETRY_SLACK = 48
CALM_BEFORE_S = 3.0  # Without faults for this long before a request, its fate is the daemon's own doing.


@dataclass(frozen=True)
class Attempt:
    """One request as its caller saw it; no status if no whole answer came."""

    id: str
    vm: int
    caller_service: str  # Of the VM where the request began.
    service: str  # That the route leads to.
    method: str
    path: str
    body: bytes
    idempotent: bool
    sent: float
    ended: float
    status: int | None
    stamp: str = ""
    body_right: bool = True  # The whole body of this very request's answer.


@dataclass(frozen=True)
class Run:
    """One execution as the backend server saw it."""

    id: str
    service: str
    server: str  # Name of the instance.
    stamp: str
    method: str
    path: str
    body: bytes
    caller_service: str
    arrived: float


@dataclass(frozen=True)
class Span:
    """A time in which something was wrong or planned work was done."""

    begin: float
    end: float

    def touches(self, begin: float, end: float) -> bool:
        return self.begin <= end and begin <= self.end


@dataclass
class Facts:
    """All that was seen in one run."""

    attempts: list[Attempt] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    drained: dict[str, float] = field(default_factory=dict)  # Instance, when its leaving was acknowledged.
    drain_bound_s: float = 2.0
    faults: list[Span] = field(default_factory=list)  # Unplanned.
    stops: dict[int, list[Span]] = field(default_factory=dict)  # By VM: from the signal to the end.
    exits: list[str] = field(default_factory=list)  # Daemons that ended otherwise than they should.
    reverted: list[str] = field(default_factory=list)
    not_recovered: list[str] = field(default_factory=list)


def judge(facts: Facts) -> list[str]:
    """All findings of a run."""
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in facts.runs:
        runs[run.id].append(run)
    found: list[str] = []
    found += [text for attempt in facts.attempts for text in judge_attempt(attempt, runs.get(attempt.id, []))]
    found += judge_strangers(facts.attempts, runs)
    found += judge_retries(facts)
    found += judge_drains(facts)
    found += judge_stops(facts, runs)
    found += [f"EXIT {text}" for text in facts.exits]
    found += [f"REVERTED {text}" for text in facts.reverted]
    found += [f"RECOVERY {text}" for text in facts.not_recovered]
    return found


def judge_attempt(attempt: Attempt, runs: list[Run]) -> Iterable[str]:
    """What one request's caller was promised."""
    if not attempt.idempotent and len(runs) > 1:
        yield f"TWICE {attempt.id} ran {len(runs)} times"
    if not attempt.idempotent and attempt.status in PROMISES and runs:
        yield f"REFUSED {attempt.id} was told {attempt.status} and ran"
    if len({run.server for run in runs}) > MOST_SERVERS:
        yield f"BUDGET {attempt.id} ran on {len({run.server for run in runs})} servers"
    if attempt.status is not None and 200 <= attempt.status < 300:
        if not attempt.body_right:
            yield f"MIXED {attempt.id}: {attempt.status} with a body that is not its own or not whole"
        if attempt.stamp not in {run.stamp for run in runs}:
            yield f"MIXED {attempt.id}: {attempt.status} with the stamp of no run of it"
    for run in runs:
        if (run.method, run.path, run.body) != (attempt.method, attempt.path, attempt.body):
            yield f"UNASKED {attempt.id} ran as {run.method} {run.path}, {len(run.body)} bytes"
        if run.caller_service != attempt.caller_service:
            yield f"UNASKED {attempt.id} ran for {run.caller_service or 'nobody'}, not {attempt.caller_service}"
        if run.service != attempt.service:
            yield f"ROUTE {attempt.id} ran at {run.service}, not {attempt.service}"


def judge_strangers(attempts: list[Attempt], runs: dict[str, list[Run]]) -> Iterable[str]:
    """Runs of requests that nobody sent."""
    sent = {attempt.id for attempt in attempts}
    return [f"UNASKED {name} ran and nobody had sent it" for name in runs if name not in sent]


def judge_retries(facts: Facts) -> Iterable[str]:
    """Runs beyond the first of each request, by service."""
    sent: dict[str, int] = defaultdict(int)
    arrived: dict[str, int] = defaultdict(int)
    different: dict[str, set[str]] = defaultdict(set)
    for attempt in facts.attempts:
        sent[attempt.service] += 1
    for run in facts.runs:
        arrived[run.service] += 1
        different[run.service].add(run.id)
    for service, count in arrived.items():
        extra = count - len(different[service])
        if extra > RETRY_RATIO * sent[service] + RETRY_SLACK:
            yield f"BUDGET {service}: {extra} repeats of {sent[service]} requests"


def judge_drains(facts: Facts) -> Iterable[str]:
    """Requests that reached a backend server which had said long before that it leaves."""
    for run in facts.runs:
        acknowledged = facts.drained.get(run.server)
        if acknowledged is not None and run.arrived > acknowledged + facts.drain_bound_s:
            yield f"DRAIN {run.id} reached {run.server} {run.arrived - acknowledged:.2f} s after it left"


def judge_stops(facts: Facts, runs: dict[str, list[Run]]) -> Iterable[str]:
    """Requests that ran and lost their answer in a planned stop, with nothing else wrong."""
    for attempt in facts.attempts:
        if attempt.status is not None or attempt.id not in runs:
            continue
        in_stop = any(span.touches(attempt.sent, attempt.ended) for span in facts.stops.get(attempt.vm, []))
        calm = not any(span.touches(attempt.sent - CALM_BEFORE_S, attempt.ended) for span in facts.faults)
        if in_stop and calm:
            yield f"LOST {attempt.id} ran and its caller's connection ended in a planned stop"
