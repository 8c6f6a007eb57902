"""Tests of the figures that are computed from the results of loads."""
import unittest
from typing import Any

from harness.load import recovery_seconds, timeline, total
from harness.statistics import summary


def result(whole: list[int]) -> dict[str, Any]:
    return {"timeline_step_ms": 100,
            "classes": {"a": {"sent": 10 * len(whole), "sent_timeline": [10] * len(whole), "whole_timeline": whole},
                        "b": {"sent": 1, "sent_timeline": [1], "whole_timeline": [1]}}}


class RecoveryTest(unittest.TestCase):
    """A surge from 1 s to 2 s, measured until 4 s."""

    CASES = [
        ("never disturbed", [10] * 40, 0.0),
        ("back at once", [10] * 10 + [3] * 10 + [10] * 20, 0.0),
        ("back after half a second", [10] * 20 + [5] * 5 + [10] * 15, 0.9),
        ("a relapse counts", [10] * 30 + [5] * 1 + [10] * 9, 1.5),
        ("not back", [10] * 20 + [5] * 20, 2.0),
    ]

    def test_recovery_lasts_until_the_share_of_complete_calls_stays_at_its_level(self) -> None:
        for name, whole, seconds in self.CASES:
            with self.subTest(name):
                self.assertAlmostEqual(recovery_seconds(result(whole), (0.2, 1), 2, 4), seconds)


class CountsTest(unittest.TestCase):
    def test_timelines_of_classes_are_added(self) -> None:
        self.assertEqual(timeline(result([10, 9]), "whole_timeline"), [11, 9])
        self.assertEqual(timeline(result([10, 9]), "whole_timeline", ["a"]), [10, 9])
        self.assertEqual(total(result([10, 9]), "sent"), 21)

    def test_summary_has_medians_and_spread(self) -> None:
        self.assertEqual(summary([{"x": 1.0}, {"x": 3.0}, {"x": 2.0}]), {"x": 2.0, "spread": {"x": [1.0, 3.0]}})
