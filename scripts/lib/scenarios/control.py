"""Measures the cost of an idle daemon in fleets of different sizes."""
from __future__ import annotations

import time
from datetime import timedelta

from harness import http
from harness.fleet import BackendOptions, Fleet
from harness.statistics import summary
from monsoonlift import Call, Configuration, Service, to_yaml
from scenarios.progress import print_round

SIZES = (4, 16, 64)
SETTLE_S = 10
MEASURED_S = 20
BYTE_METRICS = ("monsoonlift_membership_sent_bytes_total", "monsoonlift_membership_received_bytes_total",
                "monsoonlift_control_sent_bytes_total", "monsoonlift_control_received_bytes_total")
CONFIGURATION = Configuration(("a", "b", "c", "d"), ("normal",), (), (
    Service("fieldboard", 64, 8, 100, (Call("lookup", "GET", "/slots", "normal", True, timedelta(seconds=1)),)),))


def measure(rounds: int, seed: int) -> dict[str, object]:
    """Measures every fleet size in each round; returns medians and spread by size."""
    by_size: dict[int, list[dict[str, float]]] = {size: [] for size in SIZES}
    for number in range(1, rounds + 1):
        for size in SIZES:
            figures = _size(size, seed + number)
            print_round(number, seed + number, f"{size} members", figures)
            by_size[size].append(figures)
    return {"sizes": [{"members": size, **summary(by_size[size], digits=5)} for size in SIZES]}


def _size(members: int, seed: int) -> dict[str, float]:
    with Fleet() as fleet:
        centres = CONFIGURATION.data_centres
        fleet.start_servers([(centres[index % len(centres)], BackendOptions("fieldboard", seed=seed + index))
                             for index in range(members)])
        fleet.submit(to_yaml(CONFIGURATION))
        fleet.wait_until_serving([("fieldboard", "GET", "/slots")])
        time.sleep(SETTLE_S)
        cpu, traffic, calls = _cpu(fleet), _traffic(fleet), _platform_calls(fleet)
        start = time.monotonic()
        time.sleep(MEASURED_S)
        taken = time.monotonic() - start
        return {
            "core_share": (_cpu(fleet) - cpu) / taken / members,
            "resident_mb": max(daemon.process.resident_mb() for daemon in fleet.daemons),
            "bytes_per_second": (_traffic(fleet) - traffic) / taken / members,
            "platform_calls_per_second": (_platform_calls(fleet) - calls) / taken,
        }


def _cpu(fleet: Fleet) -> float:
    return sum(daemon.process.cpu_seconds() for daemon in fleet.daemons)


def _traffic(fleet: Fleet) -> float:
    total = 0.0
    for daemon in fleet.daemons:
        for line in http.call(daemon.admin, "GET", "/metrics").body.decode().splitlines():
            name = line.split("{")[0].split(" ")[0]
            if name in BYTE_METRICS:
                total += float(line.rsplit(" ", 1)[1])
    return total


def _platform_calls(fleet: Fleet) -> int:
    return sum(http.get_json(fleet.platform_address, "/stats")["calls"].values())
