"""Where root calls were lost: which call of the chain failed first, how, and what had been done for it by then."""
from __future__ import annotations

import collections
import dataclasses
import datetime
from collections.abc import Iterable

from logs.events import Event, time_of

CALL_ACCEPTED = 2010
CALL_ANSWERED = 2014
CALL_REFUSED = 2015
CALL_ABANDONED = 2016
LINES_LEFT_OUT = 1008
LOWEST_FAILURE_STATUS = 500


@dataclasses.dataclass(frozen=True)
class Loss:
    """Where a root call was lost."""

    service: str  # Of the root call.
    end: str  # How the root call ended.
    failed_service: str  # Of the call that failed first; empty if no nested call is known to have failed.
    failure: str  # How that call ended.


@dataclasses.dataclass
class LossCount:
    """Root calls lost in the same way."""

    roots: int = 0
    calls_done: int = 0  # Nested calls that had ended well when the first one failed.
    spent: datetime.timedelta = datetime.timedelta()  # From the acceptance of the roots to their ends.


@dataclasses.dataclass
class Summary:
    """What a log tells about root calls accepted in a span of time."""

    accepted: int = 0
    answered: int = 0
    unknown: int = 0  # No line tells of the end.
    lost: dict[Loss, LossCount] = dataclasses.field(default_factory=lambda: collections.defaultdict(LossCount))
    has_gaps: bool = False  # A process left lines out.


@dataclasses.dataclass
class _Root:
    accepted: Event | None = None
    ends: list[Event] = dataclasses.field(default_factory=list)


def summarize(events: Iterable[Event], first: datetime.datetime | None = None,
              last: datetime.datetime | None = None) -> Summary:
    """Sums up the root calls that were accepted from `first` to `last`."""
    summary = Summary()
    roots: dict[str, _Root] = collections.defaultdict(_Root)
    for event in events:
        kind = event["event"]
        summary.has_gaps |= kind == LINES_LEFT_OUT
        if kind == CALL_ACCEPTED and event["depth"] == "0":
            roots[event["root"]].accepted = event
        elif kind in (CALL_ANSWERED, CALL_REFUSED, CALL_ABANDONED):
            roots[event["root"]].ends.append(event)
    for root in roots.values():
        if root.accepted is not None and _is_within(time_of(root.accepted), first, last):
            _count(root, summary)
    return summary


def _is_within(time: datetime.datetime, first: datetime.datetime | None, last: datetime.datetime | None) -> bool:
    return (first is None or time >= first) and (last is None or time <= last)


def _count(root: _Root, summary: Summary) -> None:
    accepted = root.accepted
    assert accepted is not None
    summary.accepted += 1
    own = [end for end in root.ends if _is_same_call(accepted, end)]
    if not own:
        summary.unknown += 1
        return
    end = own[0]
    if not _has_failed(end):
        summary.answered += 1
        return
    nested = sorted((one for one in root.ends if not _is_same_call(accepted, one)), key=time_of)
    failed = next((one for one in nested if _has_failed(one)), None)
    done = [one for one in nested if not _has_failed(one) and (failed is None or time_of(one) < time_of(failed))]
    loss = Loss(accepted["service"], _describe(end), failed["service"] if failed else "",
                _describe(failed) if failed else "")
    count = summary.lost[loss]
    count.roots += 1
    count.calls_done += len(done)
    count.spent += time_of(end) - time_of(accepted)


def _is_same_call(accepted: Event, end: Event) -> bool:
    return (accepted["process"], accepted["call"]) == (end["process"], end["call"])


def _has_failed(end: Event) -> bool:
    return end["event"] != CALL_ANSWERED or int(end["status"]) >= LOWEST_FAILURE_STATUS


def _describe(end: Event) -> str:
    if end["event"] == CALL_ABANDONED:
        return "its caller left"
    if end["event"] == CALL_ANSWERED:
        return f"{end['status']} by a backend server"
    return f"{end['status']} {end['type']}, {end['verdict']}"
