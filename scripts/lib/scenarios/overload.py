"""Demand of three times the capacity, callers resending hard."""
from __future__ import annotations

from harness.statistics import summary
from scenarios import surge


def measure(rounds: int, seed: int) -> dict[str, object]:
    """All figures of the surge; medians and spread."""
    return summary(surge.run_rounds(rounds, seed))
