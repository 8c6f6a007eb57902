"""What became of the attempts at each service, second by second, from the counts that daemons write."""
from __future__ import annotations

import collections
import dataclasses
import datetime
from collections.abc import Iterable

from logs.events import Event, time_of

LINES_LEFT_OUT = 1008
ATTEMPTS_COUNTED = 2007
GATE_COUNTED = 3008
ATTEMPT_NOT_ADMITTED = 3011
ATTEMPT_RAN = 3012
ATTEMPT_BROKEN = 3013
BACKEND_ANNOUNCED = 4008
LINES_OF_GATES = (ATTEMPT_NOT_ADMITTED, ATTEMPT_RAN, ATTEMPT_BROKEN, BACKEND_ANNOUNCED)
ADMITS_ALL = "255/256"
OUTCOMES = ("whole", "server_error", "server_refused", "gate_refused", "unavailable", "broken", "late", "not_sent",
            "retried", "withheld_call", "withheld_daemon")


@dataclasses.dataclass
class Second:
    """One service in one second."""

    outcomes: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    entries: int = 0  # Daemons that told of attempts at the service.
    gates: int = 0  # Gates of the service that told of refusals or of being late.
    limit: int = 0  # Summed over these gates, like the next two.
    running: int = 0
    waiting: int = 0
    largest_lag_ms: float = 0


@dataclasses.dataclass
class ServiceSeconds:
    """What the counts in a log tell."""

    seconds: dict[tuple[str, datetime.datetime], Second] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(Second))
    refusals: collections.Counter[tuple[str, str]] = dataclasses.field(
        default_factory=collections.Counter)  # Lines of attempts that gates did not admit, by service and rule.
    counts_left_out: int = 0  # Lines of counts that daemons did not write.


def count_seconds(events: Iterable[Event], first: datetime.datetime | None = None,
                  last: datetime.datetime | None = None) -> ServiceSeconds:
    """Adds up the counts that were written from `first` to `last`."""
    result = ServiceSeconds()
    service_of: dict[str, str] = {}
    early: list[Event] = []  # Lines of gates whose service was not known yet.
    for event in events:
        kind = event["event"]
        if kind in LINES_OF_GATES and "service" in event:
            service_of[event["process"]] = event["service"]
        if not _is_within(event, first, last):
            continue
        if kind == GATE_COUNTED and event["process"] not in service_of:
            early.append(event)
        elif kind == GATE_COUNTED:
            _add_gate(result, service_of[event["process"]], event)
        else:
            _add(result, event)
    for event in early:
        _add_gate(result, service_of.get(event["process"], "unknown"), event)
    return result


def _is_within(event: Event, first: datetime.datetime | None, last: datetime.datetime | None) -> bool:
    time = time_of(event)
    return (first is None or time >= first) and (last is None or time <= last)


def _second_of(event: Event) -> datetime.datetime:
    return time_of(event).replace(microsecond=0)


def _add(result: ServiceSeconds, event: Event) -> None:
    kind = event["event"]
    if kind == ATTEMPTS_COUNTED:
        second = result.seconds[event["service"], _second_of(event)]
        second.entries += 1
        second.outcomes.update({outcome: int(event[outcome]) for outcome in OUTCOMES})
    elif kind == ATTEMPT_NOT_ADMITTED:
        result.refusals[event["service"], _rule_of(event)] += 1
    elif kind == LINES_LEFT_OUT:
        result.counts_left_out += int(event.get("attempts_counted", 0)) + int(event.get("gate_counted", 0))


def _add_gate(result: ServiceSeconds, service: str, event: Event) -> None:
    second = result.seconds[service, _second_of(event)]
    second.gates += 1
    second.limit += int(event["limit"])
    second.running += int(event["running"])
    second.waiting += int(event["waiting"])
    second.largest_lag_ms = max(second.largest_lag_ms, float(event["lag_ms"]))


def _rule_of(event: Event) -> str:
    """Names what refused an attempt. Without a threshold, it waited too long, could not end in time any more or found
    the queue full."""
    if event["reason"] != "shed":
        return str(event["reason"])
    return "shed, no threshold in force" if event["level"] == ADMITS_ALL else "shed, a threshold in force"
