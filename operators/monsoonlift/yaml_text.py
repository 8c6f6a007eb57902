"""Converts a configuration to the YAML document, format 1, that `monsoonctl submit` accepts."""
from __future__ import annotations

import json
import re
from collections.abc import Iterator
from datetime import timedelta

from monsoonlift.checks import InvalidConfiguration, check
from monsoonlift.model import Account, Configuration, Service

FORMAT = 1
PLAIN = re.compile(r"[A-Za-z/][A-Za-z0-9_/.-]*")
RESERVED = {"true", "false", "yes", "no", "on", "off", "null", "y", "n"}


def to_yaml(configuration: Configuration) -> str:
    """Returns the YAML document; raises InvalidConfiguration with all faults if the configuration is invalid."""
    faults = check(configuration)
    if faults:
        raise InvalidConfiguration(faults)
    return "\n".join(_lines(configuration)) + "\n"


def duration(time: timedelta) -> str:
    """Returns `time` in the largest unit that divides it: "250ms", "5s", "10m"."""
    milliseconds = time // timedelta(milliseconds=1)
    if milliseconds % 60_000 == 0:
        return f"{milliseconds // 60_000}m"
    if milliseconds % 1000 == 0:
        return f"{milliseconds // 1000}s"
    return f"{milliseconds}ms"


def _text(value: str) -> str:
    if PLAIN.fullmatch(value) and value.lower() not in RESERVED:
        return value
    return json.dumps(value)


def _lines(configuration: Configuration) -> Iterator[str]:
    yield f"format: {FORMAT}"
    yield "data_centres: [" + ", ".join(map(_text, configuration.data_centres)) + "]"
    yield "classes: [" + ", ".join(map(_text, configuration.classes)) + "]"
    if configuration.callers:
        yield "callers:"
    for caller in configuration.callers:
        yield f"  - {{name: {_text(caller.name)}, patience: {duration(caller.patience)}}}"
    retries = configuration.retries
    yield f"retries: {{attempts_per_root: {retries.attempts_per_root}, ratio: {retries.ratio}}}"
    yield f"execution: {{resend_window: {duration(configuration.execution.resend_window)}}}"
    yield "services:"
    for service in configuration.services:
        yield from _service_lines(service)
    if configuration.accounts is not None:
        yield "accounts:" if configuration.accounts else "accounts: []"
        for account in configuration.accounts:
            yield from _account_lines(account)


def _account_lines(account: Account) -> Iterator[str]:
    yield f"  - name: {_text(account.name)}"
    yield "    key_digests: [" + ", ".join(map(json.dumps, account.digests())) + "]"
    if account.account_class is not None:
        yield f"    class: {_text(account.account_class)}"
    if account.rate_per_second:
        yield f"    rate_per_second: {account.rate_per_second}"
    if account.burst:
        yield f"    burst: {account.burst}"


def _service_lines(service: Service) -> Iterator[str]:
    yield f"  - name: {_text(service.name)}"
    yield f"    endpoints: {service.endpoints}"
    yield f"    slots: {service.slots}"
    yield f"    connections: {service.connections}"
    yield f"    drain_time: {duration(service.drain_time)}"
    yield "    calls:"
    for call in service.calls:
        yield f"      - name: {_text(call.name)}"
        yield f"        method: {call.method}"
        yield f"        path: {_text(call.path)}"
        yield f"        class: {_text(call.call_class)}"
        yield f"        idempotent: {'true' if call.idempotent else 'false'}"
        yield f"        patience: {duration(call.patience)}"
