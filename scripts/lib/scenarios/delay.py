"""Measures the surge of `overload` with delay, jitter and stalls between the data centres."""
from __future__ import annotations

from harness.fleet import Fleet
from harness.link import LinkOptions, Links
from harness.statistics import summary
from scenarios import surge

DELAY_MS = 4.0
JITTER_MS = 1.0
STALL_SHARE = 0.01  # Simulates a packet loss of 1 %.
STALL_MS = 200.0


def delay_links(fleet: Fleet, seed: int) -> None:
    """Sets up delayed links between the data centres; to be called before the fleet starts any daemon."""
    fleet.links = Links(LinkOptions(DELAY_MS, JITTER_MS, STALL_SHARE, STALL_MS, seed))


def measure(rounds: int, seed: int) -> dict[str, object]:
    """Returns medians and spread of all figures of the surge."""
    return summary(surge.run_rounds(rounds, seed, delay_links))
