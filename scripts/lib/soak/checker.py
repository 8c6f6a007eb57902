"""Checks one run of the soak by the responses that callers received and the requests that backend servers ran.

The checks don't query any daemon. A finding is a text that begins with the name of the broken promise.
"""
from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})  # Statuses that promise that the request has not run and never will.
MAX_SERVERS = 2  # MaxAttempts of every route in the soak's configuration.
RETRY_RATIO = 0.2
RETRY_SLACK = 48
CALM_BEFORE_S = 3.0  # If no fault occurred for this long before a request, the daemon is responsible for its outcome.


@dataclass(frozen=True)
class Attempt:
    """One request as its caller observed it; `status` is None if no complete response arrived."""

    id: str
    vm: int
    caller_service: str  # The service whose VM sent the request.
    service: str  # The service that the route leads to.
    method: str
    path: str
    body: bytes
    idempotent: bool
    sent: float
    ended: float
    status: int | None
    stamp: str = ""
    body_right: bool = True  # False if a response with status 200 has a truncated body or that of another request.


@dataclass(frozen=True)
class Run:
    """One execution of a request as the backend server observed it."""

    id: str
    service: str
    server: str  # Name of the backend server's instance.
    stamp: str
    method: str
    path: str
    body: bytes
    caller_service: str
    arrived: float


@dataclass(frozen=True)
class Span:
    """The time span of a fault or of planned work."""

    begin: float
    end: float

    def touches(self, begin: float, end: float) -> bool:
        return self.begin <= end and begin <= self.end


@dataclass
class Facts:
    """Everything that was observed in one run of the soak."""

    attempts: list[Attempt] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    drained: dict[str, float] = field(default_factory=dict)  # By instance: when its leave message was acknowledged.
    drain_bound_s: float = 2.0
    faults: list[Span] = field(default_factory=list)  # Spans of unplanned faults.
    stops: dict[int, list[Span]] = field(default_factory=dict)  # Planned stops by VM: signal to daemon exit.
    exits: list[str] = field(default_factory=list)  # Daemons that crashed, failed or stopped too late.
    reverted: list[str] = field(default_factory=list)
    not_recovered: list[str] = field(default_factory=list)
    reports: list[str] = field(default_factory=list)  # What sanitizers reported of the daemons.


def judge(facts: Facts) -> list[str]:
    """Returns all findings of a run of the soak."""
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in facts.runs:
        runs[run.id].append(run)
    findings: list[str] = []
    findings += [text for attempt in facts.attempts for text in judge_attempt(attempt, runs.get(attempt.id, []))]
    findings += judge_unsent(facts.attempts, runs)
    findings += judge_retries(facts)
    findings += judge_drains(facts)
    findings += judge_stops(facts, runs)
    findings += [f"EXIT {text}" for text in facts.exits]
    findings += [f"REVERTED {text}" for text in facts.reverted]
    findings += [f"RECOVERY {text}" for text in facts.not_recovered]
    findings += [f"SANITIZER {text}" for text in facts.reports]
    return findings


def judge_attempt(attempt: Attempt, runs: list[Run]) -> Iterable[str]:
    """Checks the promises to the caller of one request against the request's runs."""
    if not attempt.idempotent and len(runs) > 1:
        yield f"TWICE {attempt.id} ran {len(runs)} times"
    if not attempt.idempotent and attempt.status in NOT_RUN_STATUSES and runs:
        yield f"REFUSED {attempt.id} was told {attempt.status} and ran"
    if len({run.server for run in runs}) > MAX_SERVERS:
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


def judge_unsent(attempts: list[Attempt], runs: dict[str, list[Run]]) -> Iterable[str]:
    """Finds runs of requests that no caller sent."""
    sent = {attempt.id for attempt in attempts}
    return [f"UNASKED {name} ran and nobody had sent it" for name in runs if name not in sent]


def judge_retries(facts: Facts) -> Iterable[str]:
    """Finds services where runs beyond the first of each request exceed the retry budget."""
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
    """Finds requests that reached a backend server later than the drain bound after its acknowledged leave message."""
    for run in facts.runs:
        acknowledged = facts.drained.get(run.server)
        if acknowledged is not None and run.arrived > acknowledged + facts.drain_bound_s:
            yield f"DRAIN {run.id} reached {run.server} {run.arrived - acknowledged:.2f} s after it left"


def judge_stops(facts: Facts, runs: dict[str, list[Run]]) -> Iterable[str]:
    """Finds requests that ran but lost their response during a planned stop, without a fault as the cause."""
    for attempt in facts.attempts:
        if attempt.status is not None or attempt.id not in runs:
            continue
        in_stop = any(span.touches(attempt.sent, attempt.ended) for span in facts.stops.get(attempt.vm, []))
        calm = not any(span.touches(attempt.sent - CALM_BEFORE_S, attempt.ended) for span in facts.faults)
        if in_stop and calm:
            yield f"LOST {attempt.id} ran and its caller's connection ended in a planned stop"
