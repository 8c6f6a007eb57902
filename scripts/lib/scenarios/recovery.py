"""Measures the time until goodput has recovered after the surge."""
from __future__ import annotations

from harness.statistics import summary
from scenarios import surge

FIGURES = ("recovery_seconds", "passthrough_recovery_seconds")


def measure(rounds: int, seed: int) -> dict[str, object]:
    """Returns medians and spread of the recovery times with decisions on and off."""
    rounds_figures = surge.run_rounds(rounds, seed)
    return summary([{name: figures[name] for name in FIGURES} for figures in rounds_figures], digits=3)
