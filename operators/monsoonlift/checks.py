"""Validation of a configuration: reports every fault, not only the first."""
from __future__ import annotations

import hashlib
import re
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from datetime import timedelta

from monsoonlift.model import Account, Call, Configuration, Service

NAME = re.compile(r"[A-Za-z0-9_-]{1,64}")
PATH = re.compile(r"/[!-\"$->@-~]*")
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
MILLISECOND = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)
LONGEST_PATIENCE = timedelta(minutes=10)
LONGEST_DRAIN = timedelta(hours=1)
LONGEST_RESEND_WINDOW = timedelta(hours=24)
MOST_ENDPOINTS = 100_000
MOST_SLOTS = 100_000
MOST_CONNECTIONS = 1_000_000
MOST_CLASSES = 16
MOST_DATA_CENTRES = 64
MOST_CALLERS = 10_000
MOST_SERVICES = 2_000
MOST_CALLS = 500
MOST_ATTEMPTS = 16
HIGHEST_ACCOUNT_RATE = 1e9
DIGEST = re.compile(r"[0-9a-fA-F]{64}")


@dataclass(frozen=True)
class Fault:
    """One invalid value: its path in the configuration, the value found and the values allowed."""

    path: str
    found: object
    allowed: str

    def __str__(self) -> str:
        return f"{self.path}: found {self.found!r}, allowed: {self.allowed}"


class InvalidConfiguration(ValueError):
    """Raised for an invalid configuration; `faults` lists all of its faults."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = faults


def check(configuration: Configuration) -> list[Fault]:
    """Returns all faults of `configuration`; an empty list if it is valid."""
    faults = list(_check_names("data_centres", configuration.data_centres, 1, MOST_DATA_CENTRES))
    faults += _check_names("classes", configuration.classes, 1, MOST_CLASSES)
    faults += _check_names("callers", [caller.name for caller in configuration.callers], 0, MOST_CALLERS)
    for index, caller in enumerate(configuration.callers):
        faults += _check_time(f"callers[{index}].patience", caller.patience, MILLISECOND, LONGEST_PATIENCE)
    faults += _check_names("services", [service.name for service in configuration.services], 1, MOST_SERVICES)
    for index, service in enumerate(configuration.services):
        faults += _check_service(f"services[{index}]", service, configuration.classes)
    retries = configuration.retries
    faults += _check_number("retries.attempts_per_root", retries.attempts_per_root, 0, MOST_ATTEMPTS)
    if not 0 <= retries.ratio <= 1:
        faults.append(Fault("retries.ratio", retries.ratio, "a number from 0 to 1"))
    faults += _check_time("execution.resend_window", configuration.execution.resend_window, SECOND,
                          LONGEST_RESEND_WINDOW)
    if configuration.accounts is not None:
        faults += _check_accounts(configuration.accounts, configuration.classes)
    return faults


def _check_accounts(accounts: tuple[Account, ...], classes: tuple[str, ...]) -> Iterator[Fault]:
    yield from _check_names("accounts", [account.name for account in accounts], 0, len(accounts))
    holders: dict[str, str] = {}
    for index, account in enumerate(accounts):
        path = f"accounts[{index}]"
        yield from _check_keys(path, account)
        if account.account_class is not None and account.account_class not in classes:
            yield Fault(f"{path}.class", account.account_class, "one of " + ", ".join(classes))
        yield from _check_limit(f"{path}.rate_per_second", account.rate_per_second)
        yield from _check_limit(f"{path}.burst", account.burst)
        for digest in account.digests():
            if digest in holders:
                yield Fault(f"{path}.keys", f"a key that {holders[digest]!r} holds already", "each key once")
            holders.setdefault(digest, account.name)


def _check_keys(path: str, account: Account) -> Iterator[Fault]:
    """Checks keys and digests. No fault quotes one: faults are printed and kept in logs of builds."""
    for index, key in enumerate(account.keys):
        if not key or not all("!" <= letter <= "~" for letter in key):
            yield Fault(f"{path}.keys[{index}]", f"{len(key)} characters", "visible ASCII characters, at least one")
    for index, digest in enumerate(account.key_digests):
        if not DIGEST.fullmatch(digest):
            yield Fault(f"{path}.key_digests[{index}]", f"{len(digest)} characters",
                        "SHA-256 digests of API keys as 64 hexadecimal digits")
        elif digest.lower() == hashlib.sha256(b"").hexdigest():
            yield Fault(f"{path}.key_digests[{index}]", "the digest of an empty key", "digests of API keys")


def _check_limit(path: str, value: float) -> Iterator[Fault]:
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    if not is_number or not 0 <= value <= HIGHEST_ACCOUNT_RATE:
        yield Fault(path, value, f"a number from 0 to {HIGHEST_ACCOUNT_RATE:.0f}")


def _check_service(path: str, service: Service, classes: tuple[str, ...]) -> Iterator[Fault]:
    yield from _check_number(f"{path}.endpoints", service.endpoints, 1, MOST_ENDPOINTS)
    yield from _check_number(f"{path}.slots", service.slots, 1, MOST_SLOTS)
    yield from _check_number(f"{path}.connections", service.connections, 1, MOST_CONNECTIONS)
    if service.connections < service.slots:
        yield Fault(f"{path}.connections", service.connections, f"at least the {service.slots} slots")
    yield from _check_time(f"{path}.drain_time", service.drain_time, SECOND, LONGEST_DRAIN)
    yield from _check_names(f"{path}.calls", [call.name for call in service.calls], 1, MOST_CALLS)
    for index, call in enumerate(service.calls):
        yield from _check_call(f"{path}.calls[{index}]", call, classes)
    routes = [(call.method, call.path) for call in service.calls]
    for route in sorted({route for route in routes if routes.count(route) > 1}):
        yield Fault(f"{path}.calls", f"{route[0]} {route[1]} twice", "each method and path once")


def _check_call(path: str, call: Call, classes: tuple[str, ...]) -> Iterator[Fault]:
    if call.method not in METHODS:
        yield Fault(f"{path}.method", call.method, "one of " + ", ".join(METHODS))
    if not PATH.fullmatch(call.path):
        yield Fault(f"{path}.path", call.path, "a path prefix that begins with /, without query or spaces")
    if call.call_class not in classes:
        yield Fault(f"{path}.class", call.call_class, "one of " + ", ".join(classes))
    yield from _check_time(f"{path}.patience", call.patience, MILLISECOND, LONGEST_PATIENCE)


def _check_names(path: str, names: Sequence[str], fewest: int, most: int) -> Iterator[Fault]:
    seen: set[str] = set()
    for index, name in enumerate(names):
        if not NAME.fullmatch(name):
            yield Fault(f"{path}[{index}]", name, "1 to 64 letters, digits, - or _")
        if name in seen:
            yield Fault(f"{path}[{index}]", name, "each name once")
        seen.add(name)
    if not fewest <= len(names) <= most:
        yield Fault(path, f"{len(names)} names", f"{fewest} to {most}")


def _check_number(path: str, number: int, lowest: int, highest: int) -> Iterator[Fault]:
    if isinstance(number, bool) or not isinstance(number, int) or not lowest <= number <= highest:
        yield Fault(path, number, f"a whole number from {lowest} to {highest}")


def _check_time(path: str, time: timedelta, shortest: timedelta, longest: timedelta) -> Iterator[Fault]:
    whole = time % MILLISECOND == timedelta(0)
    if not shortest <= time <= longest or not whole:
        yield Fault(path, str(time), f"whole milliseconds from {shortest} to {longest}")
