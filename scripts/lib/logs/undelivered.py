"""Finds answers that a gate had and that their entry never received."""
from __future__ import annotations

import dataclasses
import datetime
from collections.abc import Iterable

from logs.events import Event, time_of

ATTEMPT_FAILED = 2013
ATTEMPT_RAN = 3012
CALLER_GONE = "the caller went away"


@dataclasses.dataclass(frozen=True)
class Undelivered:
    """An attempt that was answered completely at its gate, and failed at its entry."""

    root: str
    attempt: str
    gate: str  # Name of the process.
    entry: str  # Name of the process.
    reason: str
    waited: datetime.timedelta  # From the answer at the gate to the failure at the entry.


def find_undelivered(events: Iterable[Event], margin: datetime.timedelta) -> list[Undelivered]:
    """Returns the attempts that ended at their entry without an answer more than `margin` after their gate had
    it. Callers that left are not counted. Lines that the daemons left out can't be found here."""
    ran: dict[str, Event] = {}
    failed: list[Event] = []
    for event in events:
        if event["event"] == ATTEMPT_RAN:
            ran[event["attempt"]] = event
        elif event["event"] == ATTEMPT_FAILED and CALLER_GONE not in event.get("next", ""):
            failed.append(event)
    found = []
    for event in failed:
        answered = ran.get(event["attempt"])
        if answered is None:
            continue
        waited = time_of(event) - time_of(answered)
        if waited > margin:
            found.append(Undelivered(event["root"], event["attempt"], answered["process"], event["process"],
                                     event["reason"], waited))
    return found
