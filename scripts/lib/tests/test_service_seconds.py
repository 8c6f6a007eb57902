"""Tests that the counts of daemons are added up by service and second."""
import datetime
import unittest

from logs.events import Event
from logs.service_seconds import OUTCOMES, count_seconds

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)


def event(second: float, kind: int, process: str = "d1", **fields: str) -> Event:
    time = (START + datetime.timedelta(seconds=second)).isoformat(timespec="microseconds")
    return {"time": time, "event": kind, "process": process, **fields}


def attempts(second: float, process: str, **counted: int) -> Event:
    counts = {outcome: str(counted.get(outcome, 0)) for outcome in OUTCOMES}
    return event(second, 2007, process, service="mappa", **counts)


def gate(second: float, process: str, lag_ms: str = "1.000", waiting: str = "3") -> Event:
    return event(second, 3008, process, limit="10", running="9", waiting=waiting, lag_ms=lag_ms)


class ServiceSecondsTest(unittest.TestCase):
    def test_outcomes_of_all_entries_in_a_second_are_added_up(self) -> None:
        counted = count_seconds([attempts(0.1, "d1", whole=2, server_refused=1), attempts(0.9, "d2", whole=3),
                                 attempts(1.1, "d1", whole=7)])
        first = counted.seconds["mappa", START]
        self.assertEqual((first.entries, first.outcomes["whole"], first.outcomes["server_refused"]), (2, 5, 1))
        self.assertEqual(counted.seconds["mappa", START + datetime.timedelta(seconds=1)].outcomes["whole"], 7)

    def test_gate_counts_belong_to_the_service_that_its_server_announced(self) -> None:
        counted = count_seconds([event(0, 4008, "d1", service="mappa"), gate(0.5, "d1", lag_ms="20.500"),
                                 event(0, 4008, "d2", service="mappa"), gate(0.6, "d2", lag_ms="4.000")])
        second = counted.seconds["mappa", START]
        self.assertEqual((second.gates, second.limit, second.waiting, second.largest_lag_ms), (2, 20, 6, 20.5))

    def test_gate_whose_service_is_told_only_later(self) -> None:
        counted = count_seconds([gate(0.5, "d1"), event(1, 3012, "d1"), event(1, 3013, "d1", service="mappa")])
        self.assertEqual(counted.seconds["mappa", START].gates, 1)

    def test_service_of_a_server_that_replaced_another(self) -> None:
        counted = count_seconds([event(0, 4008, "d1", service="mappa"), gate(0.5, "d1"),
                                 event(1, 4008, "d1", service="squadre"), gate(1.5, "d1")])
        self.assertEqual(counted.seconds["mappa", START].gates, 1)
        self.assertEqual(counted.seconds["squadre", START + datetime.timedelta(seconds=1)].gates, 1)

    def test_refusals_are_told_apart_by_their_rule(self) -> None:
        shed = {"service": "mappa", "reason": "shed"}
        counted = count_seconds([
            event(0, 3011, level="2/120", running="4", limit="10", waited_ms="0.100", **shed),
            event(0, 3011, level="255/256", running="10", limit="10", waited_ms="4.000", **shed),
            event(0, 3011, service="mappa", reason="no_backend")])
        self.assertEqual(dict(counted.refusals), {("mappa", "shed, a threshold in force"): 1,
                                                  ("mappa", "shed, no threshold in force"): 1,
                                                  ("mappa", "no_backend"): 1})

    def test_counts_left_out_are_told(self) -> None:
        counted = count_seconds([event(0, 1008, attempts_counted="4", gate_counted="1", attempt_sent="90")])
        self.assertEqual(counted.counts_left_out, 5)

    def test_span_bounds_the_counts(self) -> None:
        later = START + datetime.timedelta(seconds=1)
        self.assertEqual(len(count_seconds([attempts(0.1, "d1", whole=2)], first=later).seconds), 0)


if __name__ == "__main__":
    unittest.main()
