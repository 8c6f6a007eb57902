"""Measures a demand of three times the capacity, with callers that resend aggressively."""
from __future__ import annotations

from harness.statistics import summary
from scenarios import surge


def measure(rounds: int, seed: int) -> dict[str, object]:
    """Returns medians and spread of all figures of the surge."""
    return summary(surge.run_rounds(rounds, seed))
