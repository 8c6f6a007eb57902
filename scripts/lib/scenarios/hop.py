"""Measures what the path through two daemons adds to a call, compared with direct calls in the same run."""
from __future__ import annotations

from datetime import timedelta

from harness.fleet import BackendOptions, Fleet
from harness.load import CallClass, Scenario, start_load, total
from harness.statistics import summary
from monsoonlift import Call, Configuration, Service, to_yaml
from scenarios.progress import print_round

SLOTS = 8
SERVICE_MS = 2.0
CAPACITY = SLOTS / (SERVICE_MS / 1000)
LOAD_SHARE = 0.3
WARM_UP_S = 1
MEASURED_S = 8
CONFIGURATION = Configuration(("here",), ("urgent",), (), (
    Service("fieldboard", 1, SLOTS, 500, (
        Call("slot-lookup", "GET", "/slots", "urgent", True, timedelta(seconds=2)),)),
    Service("airwaves", 1, SLOTS, 500, (
        Call("weather-notes", "GET", "/weather", "urgent", True, timedelta(seconds=2)),)),
))


def measure(rounds: int, seed: int) -> dict[str, object]:
    """Returns medians and spread over the rounds, all on one fleet."""
    with Fleet() as fleet:
        fleet.start_servers([
            ("here", BackendOptions("airwaves", slots=SLOTS, service_ms=SERVICE_MS)),
            ("here", BackendOptions("fieldboard", slots=SLOTS, service_ms=SERVICE_MS)),
        ])
        fleet.submit(to_yaml(CONFIGURATION))
        fleet.wait_until_serving([("fieldboard", "GET", "/slots")])
        _run(fleet, seed, WARM_UP_S)
        figures = [_round(fleet, number, seed + number) for number in range(1, rounds + 1)]
    return summary(figures, digits=1)


def _round(fleet: Fleet, number: int, seed: int) -> dict[str, float]:
    figures = _run(fleet, seed, MEASURED_S)
    print_round(number, seed, "hop", figures)
    return figures


def _run(fleet: Fleet, seed: int, seconds: float) -> dict[str, float]:
    rate = LOAD_SHARE * CAPACITY / 2
    entry, backend = fleet.daemons[0], fleet.backends[1]
    classes = tuple(CallClass(name, "fieldboard", "/slots", {"all": rate}, targets=(target,))
                    for name, target in (("direct", backend.address), ("through", entry.caller)))
    before = [daemon.process.cpu_seconds() for daemon in fleet.daemons]
    result = start_load(Scenario((("all", seconds),), classes, (entry.caller,), seed, threads=1)).result()
    spent = [daemon.process.cpu_seconds() - earlier for daemon, earlier in zip(fleet.daemons, before)]
    failed = total(result, "sent") - total(result, "whole")
    if failed > 0:
        raise RuntimeError(f"{failed} calls failed at {LOAD_SHARE:.0%} load: {result['classes']}")
    latency = {name: result["classes"][name]["latency_us"] for name in result["classes"]}
    return {
        "direct_p50_us": latency["direct"]["p50"], "through_p50_us": latency["through"]["p50"],
        "direct_p99_us": latency["direct"]["p99"], "through_p99_us": latency["through"]["p99"],
        "added_p99_us": latency["through"]["p99"] - latency["direct"]["p99"],
        "calls_per_second": total(result, "whole") / seconds,
        "entry_cpu_us_per_call": spent[0] * 1e6 / max(1, result["classes"]["through"]["whole"]),
        "gate_cpu_us_per_call": spent[1] * 1e6 / max(1, result["classes"]["through"]["whole"]),
    }
