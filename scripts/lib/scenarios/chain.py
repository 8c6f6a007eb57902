"""Measures a chain of five services while the deepest one is slow for a while."""
from __future__ import annotations

import time
from datetime import timedelta

from harness.fleet import BackendOptions, Fleet
from harness.load import CallClass, Scenario, start_load, steps, timeline, total
from harness.statistics import summary
from monsoonlift import Call, Configuration, Service, to_yaml
from scenarios.progress import print_round

DEPTH = 5
ENDPOINTS = 2
DEEPEST_SLOTS = 8
UPPER_SLOTS = 200
SERVICE_MS = 20.0
UPPER_SERVICE_MS = 2.0
SLOW_FACTOR = 10
BEFORE_S = 4
SLOW_S = 15
AFTER_S = 5
SETTLE_S = 2
ROOT_RATE = 200.0
CALLER_WAIT_MS = 1000
CALLER_ATTEMPTS = 4
CALLER_INTERVAL_MS = 100
NAMES = [f"tier-{depth}" for depth in range(1, DEPTH + 1)]
CONFIGURATION = Configuration(("here", "there"), ("urgent", "normal"), (), tuple(
    Service(name, ENDPOINTS, DEEPEST_SLOTS if name == NAMES[-1] else UPPER_SLOTS, 1000, (
        Call("work", "GET", "/work", "normal", True, timedelta(milliseconds=CALLER_WAIT_MS)),
        Call("nested-work", "POST", "/work", "normal", True, timedelta(milliseconds=CALLER_WAIT_MS)),
    )) for name in NAMES))


def measure(rounds: int, seed: int) -> dict[str, object]:
    """Runs rounds with decisions on and off alternately; returns medians and spread; the figures of off get a prefix."""
    figures = []
    for number in range(1, rounds + 1):
        on = _round("on", number, seed + number)
        off = _round("off", number, seed + number)
        figures.append({**on, **{f"passthrough_{name}": value for name, value in off.items()}})
    return summary(figures)


def _servers(seed: int) -> list[tuple[str, BackendOptions]]:
    servers = []
    for depth, name in enumerate(NAMES):
        deepest = depth == DEPTH - 1
        for centre in CONFIGURATION.data_centres:
            servers.append((centre, BackendOptions(
                name, slots=DEEPEST_SLOTS if deepest else UPPER_SLOTS, connections=1000,
                service_ms=SERVICE_MS if deepest else UPPER_SERVICE_MS, distribution="exponential",
                seed=seed * 100 + len(servers), calls=() if deepest else (f"{NAMES[depth + 1]}:/work",))))
    return servers


def _round(decisions: str, number: int, seed: int) -> dict[str, float]:
    with Fleet(decisions=decisions) as fleet:
        fleet.start_servers(_servers(seed))
        fleet.submit(to_yaml(CONFIGURATION))
        fleet.wait_until_serving([(NAMES[-1], "GET", "/work"), (NAMES[0], "GET", "/work")])
        entries = tuple(daemon.caller for daemon in fleet.daemons[:ENDPOINTS])
        root = CallClass("root", NAMES[0], "/work", {"all": ROOT_RATE}, timeout_ms=CALLER_WAIT_MS,
                         patience_ms=CALLER_WAIT_MS * CALLER_ATTEMPTS, attempts=CALLER_ATTEMPTS,
                         retry_interval_ms=CALLER_INTERVAL_MS)
        arrived_before = fleet.total("arrived", NAMES[-1])
        run = start_load(Scenario((("all", BEFORE_S + SLOW_S + AFTER_S),), (root,), entries, seed))
        deepest = [backend for backend in fleet.backends if backend.options.service == NAMES[-1]]
        time.sleep(BEFORE_S)
        for backend in deepest:
            backend.set_faults(slow_factor=SLOW_FACTOR)
        time.sleep(SLOW_S)
        for backend in deepest:
            backend.set_faults(slow_factor=1)
        result = run.result(f"chain-{decisions}-{seed}")
        arrived = fleet.total("arrived", NAMES[-1]) - arrived_before
    slow = steps(result, BEFORE_S + SETTLE_S, BEFORE_S + SLOW_S)
    slow_capacity = ENDPOINTS * DEEPEST_SLOTS / (SERVICE_MS * SLOW_FACTOR / 1000)
    figures = {
        "attempts_per_root_at_deepest": arrived / total(result, "sent"),
        "whole_goodput_ratio": sum(timeline(result, "done_timeline")[slow]) / (slow_capacity * (SLOW_S - SETTLE_S)),
        "wrong_or_short_answers": result["wrong_or_short_answers"],
    }
    print_round(number, seed, f"decisions {decisions}", figures)
    return figures
