"""Time until goodput is back after the surge."""
from __future__ import annotations

from harness.statistics import summary
from scenarios import surge

FIGURES = ("recovery_seconds", "passthrough_recovery_seconds")


def measure(rounds: int, seed: int) -> dict[str, object]:
    """Recovery of both; medians and spread."""
    figures = surge.run_rounds(rounds, seed)
    return summary([{name: one[name] for name in FIGURES} for one in figures], digits=3)
