"""Measures how a daemon's memory grows with the idempotency keys of calls and with the size of the configuration."""
from __future__ import annotations

import time
from dataclasses import replace
from datetime import timedelta

from harness.fleet import BackendOptions, Fleet
from harness.load import CallClass, Scenario, start_load, total
from harness.statistics import summary
from monsoonlift import Call, Configuration, Service, to_yaml
from scenarios.progress import print_round

SLOTS = 50
SERVICE_MS = 1.0
KEYS_PER_S = 500.0
KEYS_S = 20
WARM_UP_S = 2
SETTLE_S = 6
MANY_SERVICES = 74
BYTES_PER_MB = 1024 * 1024


def _service(name: str) -> Service:
    patience = timedelta(seconds=2)
    return Service(name, 12, SLOTS, 500, (
        Call("dispatch", "POST", "/dispatches", "urgent", False, patience),
        Call("crews", "GET", "/crews", "urgent", True, patience),
        Call("map", "GET", "/map", "normal", True, patience),
        Call("photo", "POST", "/photos", "normal", True, patience)))


CONFIGURATION = Configuration(("here",), ("urgent", "normal"), (), (_service("squadre"),))
LARGE_CONFIGURATION = replace(CONFIGURATION, services=tuple(
    _service("squadre" if index == 0 else f"service-{index}") for index in range(MANY_SERVICES)))


def measure(rounds: int, seed: int) -> dict[str, object]:
    """Returns medians and spread over the rounds, each on a new fleet."""
    return summary([_round(number, seed + number) for number in range(1, rounds + 1)], digits=1)


def _round(number: int, seed: int) -> dict[str, float]:
    with Fleet() as fleet:
        fleet.start_servers([("here", BackendOptions("squadre", slots=SLOTS, service_ms=SERVICE_MS))
                             for _ in range(2)])
        fleet.submit(to_yaml(CONFIGURATION))
        fleet.wait_until_serving([("squadre", "GET", "/crews")])
        _dispatch(fleet, seed, WARM_UP_S)
        small = _resident_bytes(fleet)
        fleet.submit(to_yaml(LARGE_CONFIGURATION))
        time.sleep(SETTLE_S)
        large = _resident_bytes(fleet)
        keys = _dispatch(fleet, seed + 1, KEYS_S)
        full = _resident_bytes(fleet)
        figures = {
            "configuration_bytes": float(len(to_yaml(LARGE_CONFIGURATION))),
            "resident_bytes_per_service": (large - small) / len(fleet.daemons) / (MANY_SERVICES - 1),
            "resident_bytes_per_key": (full - large) / keys,
            "keys": float(keys),
        }
    print_round(number, seed, "state", figures)
    return figures


def _dispatch(fleet: Fleet, seed: int, seconds: float) -> int:
    """Sends dispatches, each with its own key; returns the number of complete responses."""
    dispatches = CallClass("dispatch", "squadre", "/dispatches", {"all": KEYS_PER_S}, method="POST",
                           timeout_ms=2000, keyed=True)
    result = start_load(Scenario((("all", seconds),), (dispatches,), tuple(fleet.callers()), seed)).result()
    return total(result, "whole")


def _resident_bytes(fleet: Fleet) -> float:
    return sum(daemon.process.resident_mb() for daemon in fleet.daemons) * BYTES_PER_MB
