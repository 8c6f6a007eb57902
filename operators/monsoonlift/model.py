"""The configuration as values. Times are `datetime.timedelta`."""
from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta


@dataclass(frozen=True)
class Call:
    """One call of a service; the longest matching path prefix decides."""

    name: str
    method: str
    path: str
    call_class: str
    idempotent: bool
    patience: timedelta


@dataclass(frozen=True)
class Service:
    """One service: how many backend servers are planned, and what each can take."""

    name: str
    endpoints: int
    slots: int
    connections: int
    calls: tuple[Call, ...]
    drain_time: timedelta = timedelta(seconds=5)


@dataclass(frozen=True)
class Caller:
    """One kind of caller and how long it waits."""

    name: str
    patience: timedelta


@dataclass(frozen=True)
class Retries:
    """Bounds on retries for the whole fleet."""

    attempts_per_root: int = 2
    ratio: float = 0.1


@dataclass(frozen=True)
class Execution:
    """How long a caller may resend a key."""

    resend_window: timedelta = timedelta(minutes=10)


@dataclass(frozen=True)
class Configuration:
    """All that operators say. `classes` are in order: the first is shed last."""

    data_centres: tuple[str, ...]
    classes: tuple[str, ...]
    callers: tuple[Caller, ...]
    services: tuple[Service, ...]
    retries: Retries = field(default_factory=Retries)
    execution: Execution = field(default_factory=Execution)
