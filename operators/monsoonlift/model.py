"""Data classes of the configuration. Times are `datetime.timedelta`."""
from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from datetime import timedelta


@dataclass(frozen=True)
class Call:
    """One call of a service. A request belongs to the call whose `path` is its longest matching path prefix."""

    name: str
    method: str
    path: str
    call_class: str
    idempotent: bool
    patience: timedelta


@dataclass(frozen=True)
class Service:
    """One service: the planned number of backend servers (`endpoints`), and the slots and connections of each."""

    name: str
    endpoints: int
    slots: int
    connections: int
    calls: tuple[Call, ...]
    drain_time: timedelta = timedelta(seconds=5)


@dataclass(frozen=True)
class Caller:
    """One kind of caller; `patience` is how long it waits for an answer."""

    name: str
    patience: timedelta


@dataclass(frozen=True)
class Account:
    """One client account. Whoever holds one of its keys calls in its name.

    Give the keys themselves or their SHA-256 digests; only digests are printed, and neither is part of the text
    form of an account. `account_class` takes precedence over the class of the called route or call; None for
    no precedence. `rate_per_second` 0 is no limit.
    """

    name: str
    keys: tuple[str, ...] = field(default=(), repr=False)
    key_digests: tuple[str, ...] = field(default=(), repr=False)
    account_class: str | None = None
    rate_per_second: float = 0
    burst: float = 0

    def digests(self) -> tuple[str, ...]:
        """Returns the digests of all keys as 64 lower-case hexadecimal digits."""
        own = tuple(hashlib.sha256(key.encode()).hexdigest() for key in self.keys)
        return own + tuple(digest.lower() for digest in self.key_digests)


@dataclass(frozen=True)
class Retries:
    """Bounds on retries for the whole fleet."""

    attempts_per_root: int = 2
    ratio: float = 0.1


@dataclass(frozen=True)
class Execution:
    """`resend_window` is how long a caller may resend a request with the same idempotency key."""

    resend_window: timedelta = timedelta(minutes=10)


@dataclass(frozen=True)
class Configuration:
    """The complete configuration. `classes` are ordered: the first is shed last.

    `accounts` is None if callers need no key; with an empty tuple no caller has a valid one.
    """

    data_centres: tuple[str, ...]
    classes: tuple[str, ...]
    callers: tuple[Caller, ...]
    services: tuple[Service, ...]
    retries: Retries = field(default_factory=Retries)
    execution: Execution = field(default_factory=Execution)
    accounts: tuple[Account, ...] | None = None
