"""The surge of `overload` with delay, jitter and stalls between the data centres."""
from __future__ import annotations

from harness.fleet import Fleet
from harness.link import LinkOptions, Links
from harness.statistics import summary
from scenarios import surge

DELAY_MS = 4.0
JITTER_MS = 1.0
LOSS = 0.01
STALL_MS = 200.0


def delay_links(fleet: Fleet, seed: int) -> None:
    """Delays what passes between the data centres of a fresh fleet."""
    fleet.links = Links(LinkOptions(DELAY_MS, JITTER_MS, LOSS, STALL_MS, seed))


def measure(rounds: int, seed: int) -> dict[str, object]:
    """All figures of the surge; medians and spread."""
    return summary(surge.run_rounds(rounds, seed, delay_links))
