"""Log lines of daemons as events."""
from __future__ import annotations

import datetime
import json
from collections.abc import Iterable, Iterator
from typing import Any

Event = dict[str, Any]


def read_events(lines: Iterable[str]) -> Iterator[Event]:
    """Yields the events among the lines; whatever stands before an event on its line is skipped."""
    for line in lines:
        begin = line.find('{"time":')
        if begin < 0:
            continue
        try:
            event = json.loads(line[begin:])
        except json.JSONDecodeError:
            continue
        if isinstance(event, dict) and "event" in event:
            yield event


def time_of(event: Event) -> datetime.datetime:
    """Returns the wall-clock time at which the process wrote the event."""
    return datetime.datetime.fromisoformat(event["time"].replace("Z", "+00:00"))
