"""A load surge on the Sicilian deployment, scaled to one machine; shared by `overload`, `recovery` and `delay`."""
from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

import sicily
from harness.fleet import BackendOptions, Fleet
from harness.load import CallClass, Scenario, recovery_seconds, start_load, steps, timeline, total
from monsoonlift import Configuration, to_yaml
from scenarios.progress import print_round

SLOT_SCALE = 15
SERVICE_MS = 40.0
BEFORE_S = 6
SURGE_S = 20
AFTER_S = 8
SETTLE_S = 1
NORMAL_LOAD = 0.6
SURGE_LOAD = 3.0
LAST_SHED = 0.25
LAST_SHED_SURGE = 0.4
CALLER_WAIT_MS = 1000
CALLER_ATTEMPTS = 4
CALLER_INTERVAL_MS = 100


@dataclass(frozen=True)
class Route:
    """One call of a service that callers send. `share`: its part of the load of the service's calls with its `last_shed`."""

    service: str
    method: str
    path: str
    last_shed: bool
    keyed: bool = False
    share: float = 1.0


ROUTES = (
    Route("mappa", "GET", "/outages", last_shed=False, share=0.4),
    Route("mappa", "GET", "/map", last_shed=False, share=0.6),
    Route("squadre", "POST", "/dispatches", last_shed=True, keyed=True),
    Route("squadre", "GET", "/crews", last_shed=False),
    Route("archivio", "GET", "/photos", last_shed=False, share=0.4),
    Route("archivio", "GET", "/archive", last_shed=False, share=0.6),
    Route("priorita", "POST", "/flags", last_shed=True, keyed=True, share=0.5),
    Route("priorita", "POST", "/hospital-requests", last_shed=True, keyed=True, share=0.5),
    Route("priorita", "GET", "/flags", last_shed=False),
)

Preparation = Callable[[Fleet, int], None]  # NOTE: called with the fleet and the seed of the round.


def scaled_configuration() -> Configuration:
    """Returns the Sicilian configuration with the slots of each service divided by SLOT_SCALE, but at least 1."""
    configuration = sicily.CONFIGURATION
    services = tuple(replace(service, slots=max(1, service.slots // SLOT_SCALE))
                     for service in configuration.services)
    return replace(configuration, services=services)


def capacity_of(configuration: Configuration, service: str) -> float:
    """Returns the calls per second that the backend servers of a service can run."""
    planned = next(candidate for candidate in configuration.services if candidate.name == service)
    return planned.endpoints * planned.slots / (SERVICE_MS / 1000)


def total_capacity(configuration: Configuration) -> float:
    """Returns the calls per second that the backend servers of all services can run together."""
    return sum(capacity_of(configuration, service.name) for service in configuration.services)


def start_fleet(fleet: Fleet, configuration: Configuration, seed: int) -> None:
    """Starts a daemon and a backend server for each endpoint, spread over the data centres; waits until they serve the
    submitted configuration."""
    servers = []
    for service in configuration.services:
        for index in range(service.endpoints):
            centre = configuration.data_centres[len(servers) % len(configuration.data_centres)]
            options = BackendOptions(service.name, slots=service.slots, connections=service.connections,
                                     service_ms=SERVICE_MS, distribution="exponential",
                                     seed=seed * 100 + len(servers))
            servers.append((centre, options))
    fleet.start_servers(servers)
    fleet.submit(to_yaml(configuration))
    probes = {route.service: (route.service, "GET", route.path) for route in ROUTES if route.method == "GET"}
    fleet.wait_until_serving(list(probes.values()))
    fleet.wait_until_homes_are_known({route.service: route.path for route in ROUTES if route.keyed})


def classes_of(configuration: Configuration) -> tuple[CallClass, ...]:
    """Returns one class of calls for each route, whose callers resend aggressively."""
    classes = []
    for route in ROUTES:
        capacity = capacity_of(configuration, route.service)
        has_last_shed = any(other.last_shed for other in ROUTES if other.service == route.service)
        normal, surge = NORMAL_LOAD, SURGE_LOAD
        if route.last_shed:
            normal, surge = LAST_SHED, LAST_SHED_SURGE
        elif has_last_shed:
            normal, surge = NORMAL_LOAD - LAST_SHED, SURGE_LOAD - LAST_SHED_SURGE
        rates = {"before": normal, "surge": surge, "after": normal}
        classes.append(CallClass(
            f"{route.service} {route.method} {route.path}", route.service, route.path,
            {name: rate * capacity * route.share for name, rate in rates.items()}, method=route.method,
            timeout_ms=CALLER_WAIT_MS, patience_ms=CALLER_WAIT_MS * CALLER_ATTEMPTS, attempts=CALLER_ATTEMPTS,
            retry_interval_ms=CALLER_INTERVAL_MS, keyed=route.keyed))
    return tuple(classes)


def run_surge(decisions: str, number: int, seed: int, prepare: Preparation | None = None) -> dict[str, float]:
    """Runs one surge on a new fleet and returns its figures. `prepare` is called before any daemon starts."""
    configuration = scaled_configuration()
    with Fleet(decisions=decisions) as fleet:
        if prepare is not None:
            prepare(fleet, seed)
        start_fleet(fleet, configuration, seed)
        scenario = Scenario((("before", BEFORE_S), ("surge", SURGE_S), ("after", AFTER_S)),
                            classes_of(configuration), tuple(fleet.callers()), seed, threads=3)
        result = start_load(scenario).result(f"surge-{decisions}-{seed}")
        figures = _figures(result, total_capacity(configuration))
        figures["retry_amplification"] = fleet.amplification()
    print_round(number, seed, f"decisions {decisions}", figures)
    return figures


def _figures(result: dict, capacity: float) -> dict[str, float]:
    last_shed = [f"{route.service} {route.method} {route.path}" for route in ROUTES if route.last_shed]
    surge = steps(result, BEFORE_S + SETTLE_S, BEFORE_S + SURGE_S)
    done = sum(timeline(result, "done_timeline")[surge])
    sent_last = sum(timeline(result, "sent_timeline", last_shed)[surge])
    whole_last = sum(timeline(result, "whole_timeline", last_shed)[surge])
    return {
        "goodput_ratio": done / (capacity * (SURGE_S - SETTLE_S)),
        "last_shed_whole_ratio": whole_last / max(1, sent_last),
        "recovery_seconds": recovery_seconds(result, (1, BEFORE_S), BEFORE_S + SURGE_S,
                                             BEFORE_S + SURGE_S + AFTER_S),
        "caller_attempts_per_call": total(result, "attempts") / max(1, total(result, "sent")),
        "wrong_or_short_answers": result["wrong_or_short_answers"],
    }


def run_rounds(rounds: int, seed: int, prepare: Preparation | None = None) -> list[dict[str, float]]:
    """Runs rounds with decisions on and off alternately, with the same seeds; the figures of off get a prefix."""
    figures = []
    for number in range(1, rounds + 1):
        on = run_surge("on", number, seed + number, prepare)
        off = run_surge("off", number, seed + number, prepare)
        figures.append({**on, **{f"passthrough_{name}": value for name, value in off.items()}})
    return figures
