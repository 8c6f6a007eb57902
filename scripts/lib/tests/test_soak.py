"""Tests that the soak's plan depends only on its seed, and that its checker reports violations of each promise."""
import dataclasses
import pathlib
import tempfile
import unittest

from soak.checker import Attempt, Facts, Run, Span, judge
from soak.operator import RevisionWatch, marker_path
from soak.plan import Kind, make_plan
from soak.sanitizers import REPORT_PREFIX, environment, read_reports

SAFE = Attempt("one", 0, "mappa", "mappa", "GET", "/status/north", b"", True, 10.0, 10.1, 200, "mappa-0-1.1")
SAFE_RUN = Run("one", "mappa", "mappa-0-1", "mappa-0-1.1", "GET", "/status/north", b"", "mappa", 10.05)
ORDER = Attempt("two", 0, "mappa", "squadre", "POST", "/dispatch/crew", b"crew=7", False, 11.0, 11.1, 200, "squadre-1-1.1")
ORDER_RUN = Run("two", "squadre", "squadre-1-1", "squadre-1-1.1", "POST", "/dispatch/crew", b"crew=7", "mappa", 11.05)


def facts_of(attempts: list[Attempt], runs: list[Run], **more: object) -> Facts:
    return Facts(attempts=attempts, runs=runs, **more)


def names(facts: Facts) -> set[str]:
    """Returns the names of the promises that were found broken."""
    return {finding.split()[0] for finding in judge(facts)}


class CheckerTests(unittest.TestCase):
    """Each injected violation is reported under its promise, and no other finding is reported."""

    def test_a_run_without_violations_has_no_findings(self) -> None:
        self.assertEqual(judge(facts_of([SAFE, ORDER], [SAFE_RUN, ORDER_RUN])), [])

    def test_each_promise_has_a_violation_that_is_reported(self) -> None:
        changed = dataclasses.replace
        lost = changed(ORDER, status=None, stamp="")
        later = changed(ORDER_RUN, arrived=14.0)
        violations = {
            "TWICE": facts_of([ORDER], [ORDER_RUN, changed(ORDER_RUN, stamp="squadre-3-1.1", server="squadre-3-1")]),
            "REFUSED": facts_of([changed(ORDER, status=503, stamp="")], [ORDER_RUN]),
            "MIXED": facts_of([changed(SAFE, body_right=False)], [SAFE_RUN]),
            "BUDGET": facts_of([SAFE], [SAFE_RUN, changed(SAFE_RUN, server="b"), changed(SAFE_RUN, server="c")]),
            "UNASKED": facts_of([], [SAFE_RUN]),
            "ROUTE": facts_of([ORDER], [changed(ORDER_RUN, service="mappa")]),
            "DRAIN": facts_of([ORDER], [later], drained={"squadre-1-1": 11.5}),
            "LOST": facts_of([lost], [ORDER_RUN], stops={0: [Span(11.05, 12.0)]}),
            "EXIT": facts_of([], [], exits=["vm-0 ended by itself with -11"]),
            "REVERTED": facts_of([], [], reverted=["vm-0 went from version 6 to 3"]),
            "RECOVERY": facts_of([], [], not_recovered=["vm-0 does not serve status"]),
            "SANITIZER": facts_of([], [], reports=["sanitizer.7: ==7==ERROR: AddressSanitizer: heap-use-after-free"]),
        }
        for promise, facts in violations.items():
            with self.subTest(promise):
                self.assertEqual(names(facts), {promise})

    def test_other_violations_of_the_same_promises_are_reported(self) -> None:
        changed = dataclasses.replace
        variants = {
            "a stamp of no run": ("MIXED", facts_of([changed(SAFE, stamp="another")], [SAFE_RUN])),
            "another body": ("UNASKED", facts_of([ORDER], [changed(ORDER_RUN, body=b"crew=8")])),
            "another caller": ("UNASKED", facts_of([SAFE], [changed(SAFE_RUN, caller_service="squadre")])),
            "many repeats": ("BUDGET", facts_of([SAFE], [SAFE_RUN] * 60)),
        }
        for what, (promise, facts) in variants.items():
            with self.subTest(what):
                self.assertEqual(names(facts), {promise})

    def test_a_lost_response_explained_by_a_fault_or_without_a_run_or_a_stop_is_no_finding(self) -> None:
        lost = dataclasses.replace(ORDER, status=None, stamp="")
        stops = {0: [Span(11.05, 12.0)]}
        self.assertEqual(judge(facts_of([lost], [ORDER_RUN], stops=stops, faults=[Span(9.0, 9.5)])), [])
        self.assertEqual(judge(facts_of([lost], [ORDER_RUN], stops={1: stops[0]})), [])
        self.assertEqual(judge(facts_of([lost], [], stops=stops)), [])


class SanitizerReportTests(unittest.TestCase):
    """Each report that a sanitized daemon writes is found, and nothing else is taken for one."""

    def test_planted_reports_of_every_kind_are_found(self) -> None:
        reports = {
            "7": "=====\n==7==ERROR: AddressSanitizer: heap-use-after-free on address 0x1\n    #0 0x1 in main\n",
            "8": "WARNING: ThreadSanitizer: data race (pid=8)\n  Write of size 8\nSUMMARY: ThreadSanitizer: data race\n" * 2,
            "9": "a.cpp:3:5: runtime error: signed integer overflow: 2147483647 + 1\n",
            "10": "==10==ERROR: LeakSanitizer: detected memory leaks\n",
            "11": "ThreadSanitizer: Matched 3 suppressions (pid=11):\n",
        }
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            (folder / "vm-0.1.log").write_text(reports["7"])
            self.assertEqual(read_reports(folder), [])
            for process, text in reports.items():
                (folder / f"{REPORT_PREFIX}.{process}").write_text(text)
            found = read_reports(folder)
        self.assertEqual(sorted(text.split(":")[0] for text in found),
                         ["sanitizer.10", "sanitizer.7", "sanitizer.8", "sanitizer.8", "sanitizer.9"])

    def test_every_sanitizer_is_told_the_folder(self) -> None:
        for name, options in environment(pathlib.Path("/run")).items():
            with self.subTest(name):
                self.assertIn("log_path=/run/sanitizer:", options)


class RevisionWatchTests(unittest.TestCase):
    """A step back to an older version is reported within one process, but not for the process that replaces it."""

    def test_a_step_back_to_an_older_version_is_reported(self) -> None:
        watch = RevisionWatch()
        in_force = {marker_path(6): 200}
        self.assertIsNone(watch.check_version(0, 1, 6, lambda path: in_force.get(path, 404)))
        self.assertIsNone(watch.check_version(0, 1, 3, lambda path: in_force.get(path, 404)))
        self.assertIsNone(watch.check_version(0, 2, 3, lambda _: 200))
        self.assertIsNotNone(watch.check_version(0, 1, 3, lambda _: 200))

    def test_a_status_that_does_not_show_the_version_is_no_step_back(self) -> None:
        watch = RevisionWatch()
        self.assertIsNone(watch.check_version(0, 1, 6, lambda _: 200))
        for status in (None, 404, 503):
            self.assertIsNone(watch.check_version(0, 1, 3, lambda _, current=status: current))


class PlanTests(unittest.TestCase):
    """Plans depend only on the seed, are ordered by time and cover every kind of fault."""

    def test_a_seed_always_gives_the_same_plan(self) -> None:
        self.assertEqual(make_plan(7, 6, 12.0, 10), make_plan(7, 6, 12.0, 10))
        self.assertNotEqual(make_plan(7, 6, 12.0, 10), make_plan(8, 6, 12.0, 10))

    def test_plans_are_ordered_and_overlap_and_have_every_kind(self) -> None:
        plans = [make_plan(seed, 6, 12.0, 10) for seed in range(100)]
        self.assertEqual({fault.kind for plan in plans for fault in plan}, set(Kind))
        for plan in plans:
            self.assertEqual(plan, sorted(plan, key=lambda fault: fault.at))
        self.assertTrue(any(first.end > second.at for plan in plans for first, second in zip(plan, plan[1:])))


if __name__ == "__main__":
    unittest.main()
