"""Measures goodput with a server that fails fast but reports itself idle and a slow one, relative to a fleet without both."""
from __future__ import annotations

from datetime import timedelta

from harness.fleet import BackendOptions, Fleet
from harness.load import CallClass, Scenario, start_load, steps, timeline
from harness.statistics import summary
from monsoonlift import Call, Configuration, Service, to_yaml
from scenarios.progress import print_round

GOOD_ENDPOINTS = 4
BAD_ENDPOINTS = 2
SLOTS = 8
SERVICE_MS = 40.0
LOAD_SHARE = 0.9
SLOW_FACTOR = 10
WARM_UP_S = 3
MEASURED_S = 12
CALLER_WAIT_MS = 1000
CAPACITY = GOOD_ENDPOINTS * SLOTS / (SERVICE_MS / 1000)


def measure(rounds: int, seed: int) -> dict[str, object]:
    """Each round measures the good servers alone, then all servers with decisions on, then all with decisions off."""
    figures = []
    for number in range(1, rounds + 1):
        reference = _goodput("on", 0, seed + number)
        on = _goodput("on", BAD_ENDPOINTS, seed + number)
        off = _goodput("off", BAD_ENDPOINTS, seed + number)
        figures.append({"goodput_ratio": on / reference, "passthrough_goodput_ratio": off / reference,
                        "reference_goodput_per_second": reference})
        print_round(number, seed + number, "mislead", figures[-1])
    return summary(figures)


def _configuration(endpoints: int) -> Configuration:
    lookup = Call("lookup", "GET", "/slots", "normal", True, timedelta(milliseconds=CALLER_WAIT_MS))
    return Configuration(("here", "there"), ("normal",), (),
                         (Service("fieldboard", endpoints, SLOTS, 500, (lookup,)),))


def _goodput(decisions: str, bad_endpoints: int, seed: int) -> float:
    endpoints = GOOD_ENDPOINTS + bad_endpoints
    with Fleet(decisions=decisions) as fleet:
        fleet.start_servers([
            (("here", "there")[index % 2],
             BackendOptions("fieldboard", slots=SLOTS, service_ms=SERVICE_MS, distribution="exponential",
                            seed=seed * 100 + index))
            for index in range(endpoints)])
        fleet.submit(to_yaml(_configuration(endpoints)))
        fleet.wait_until_serving([("fieldboard", "GET", "/slots")])
        if bad_endpoints > 0:
            fleet.backends[0].set_faults(fail_fast=1, lie=True)
            fleet.backends[1].set_faults(slow_factor=SLOW_FACTOR)
        lookup = CallClass("lookup", "fieldboard", "/slots", {"all": LOAD_SHARE * CAPACITY},
                           timeout_ms=CALLER_WAIT_MS)
        run = start_load(Scenario((("all", WARM_UP_S + MEASURED_S),), (lookup,), tuple(fleet.callers()), seed))
        result = run.result(f"mislead-{decisions}-{bad_endpoints}-{seed}")
    measured = steps(result, WARM_UP_S, WARM_UP_S + MEASURED_S)
    return sum(timeline(result, "whole_timeline")[measured]) / MEASURED_S
