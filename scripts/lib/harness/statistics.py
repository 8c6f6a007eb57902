"""Median and spread over the rounds of a measurement."""
from __future__ import annotations

import statistics
from collections.abc import Sequence


def summary(rounds: Sequence[dict[str, float]], digits: int = 4) -> dict[str, object]:
    """Returns the median of each figure and, under "spread", its lowest and highest value over the rounds."""
    names = list(rounds[0])
    medians: dict[str, object] = {
        name: round(statistics.median(one[name] for one in rounds), digits) for name in names}
    medians["spread"] = {
        name: [round(min(one[name] for one in rounds), digits), round(max(one[name] for one in rounds), digits)]
        for name in names}
    return medians
