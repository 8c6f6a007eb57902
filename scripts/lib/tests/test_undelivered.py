"""Tests that answers lost between two daemons are found in their logs."""
import datetime
import json
import unittest

from logs.events import read_events
from logs.undelivered import find_undelivered

MARGIN = datetime.timedelta(milliseconds=100)


def line(second: float, event: int, attempt: str, **fields: str) -> str:
    stamp = f"2026-01-01T00:00:{second:09.6f}Z"
    return json.dumps({"time": stamp, "event": event, "process": "d1", "root": "r", "attempt": attempt, **fields},
                      separators=(",", ":"))


def failed(second: float, attempt: str, following: str = "none: the deadline has passed") -> str:
    return line(second, 2013, attempt, reason="deadline", next=following)


class UndeliveredTest(unittest.TestCase):
    def found(self, *lines: str) -> list[str]:
        return [one.attempt for one in find_undelivered(read_events(lines), MARGIN)]

    def test_answer_that_never_arrived_is_found(self) -> None:
        self.assertEqual(self.found(line(1.0, 3012, "1/1/0"), failed(2.0, "1/1/0")), ["1/1/0"])

    def test_order_of_the_logs_does_not_matter(self) -> None:
        self.assertEqual(self.found(failed(2.0, "1/1/0"), line(1.0, 3012, "1/1/0")), ["1/1/0"])

    def test_answer_just_before_the_end_is_not_counted(self) -> None:
        self.assertEqual(self.found(line(1.95, 3012, "1/1/0"), failed(2.0, "1/1/0")), [])

    def test_caller_that_left_is_not_counted(self) -> None:
        self.assertEqual(self.found(line(1.0, 3012, "1/1/0"), failed(2.0, "1/1/0", "none: the caller went away")), [])

    def test_attempt_that_did_not_run_is_not_counted(self) -> None:
        self.assertEqual(self.found(failed(2.0, "1/1/0")), [])

    def test_other_lines_and_prefixes_are_passed_over(self) -> None:
        self.assertEqual(self.found("noise", '{"time":', "  0.5 vm-1 " + line(1.0, 3012, "1/1/0"),
                                    "  2.0 vm-2 " + failed(2.0, "1/1/0")), ["1/1/0"])


if __name__ == "__main__":
    unittest.main()
