"""Tests that the summary of lost root calls names the call that failed first."""
import datetime
import unittest

from logs.events import Event
from logs.lost_roots import Loss, Summary, summarize

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)


def event(second: float, kind: int, call: str, **fields: str) -> Event:
    time = (START + datetime.timedelta(seconds=second)).isoformat(timespec="microseconds")
    return {"time": time, "event": kind, "process": "d1", "root": "r", "call": call, "service": "squadre", **fields}


def accepted(second: float, call: str = "1", depth: str = "0") -> Event:
    return event(second, 2010, call, depth=depth)


def answered(second: float, call: str, status: int = 200, service: str = "squadre") -> Event:
    return event(second, 2014, call, status=str(status), service=service)


def refused(second: float, call: str, service: str = "squadre") -> Event:
    return event(second, 2015, call, status="429", type="shed", verdict="not_run", service=service)


class LostRootsTest(unittest.TestCase):
    def only_loss(self, summary: Summary) -> Loss:
        self.assertEqual(len(summary.lost), 1)
        return next(iter(summary.lost))

    def test_answered_root_is_not_lost_though_a_call_of_it_failed(self) -> None:
        summary = summarize([accepted(0), refused(0.1, "2", "mappa"), answered(0.2, "1")])
        self.assertEqual((summary.accepted, summary.answered, len(summary.lost)), (1, 1, 0))

    def test_first_failed_call_is_the_cause_and_calls_before_it_were_done(self) -> None:
        summary = summarize([accepted(0), answered(0.1, "2", service="mappa"), answered(0.2, "3", service="mappa"),
                             refused(0.3, "4", "priorita"), refused(0.4, "5", "mappa"), answered(0.5, "1", 500)])
        loss = self.only_loss(summary)
        self.assertEqual(loss, Loss("squadre", "500 by a backend server", "priorita", "429 shed, not_run"))
        count = summary.lost[loss]
        self.assertEqual((count.roots, count.calls_done), (1, 2))
        self.assertEqual(count.spent, datetime.timedelta(seconds=0.5))

    def test_refused_root_without_calls(self) -> None:
        loss = self.only_loss(summarize([accepted(0), refused(0.1, "1")]))
        self.assertEqual(loss, Loss("squadre", "429 shed, not_run", "", ""))

    def test_caller_that_left(self) -> None:
        loss = self.only_loss(summarize([accepted(0), event(0.1, 2016, "1")]))
        self.assertEqual(loss.end, "its caller left")

    def test_nested_calls_are_no_root_calls(self) -> None:
        self.assertEqual(summarize([accepted(0, "2", depth="1"), answered(0.1, "2")]).accepted, 0)

    def test_span_bounds_the_acceptance(self) -> None:
        events = [accepted(0), answered(0.1, "1")]
        later = START + datetime.timedelta(seconds=1)
        self.assertEqual(summarize(events, first=later).accepted, 0)
        self.assertEqual(summarize(events, last=later).accepted, 1)

    def test_missing_lines_are_told(self) -> None:
        summary = summarize([accepted(0), {**event(0.1, 1008, "")}])
        self.assertEqual((summary.unknown, summary.has_gaps), (1, True))


if __name__ == "__main__":
    unittest.main()
