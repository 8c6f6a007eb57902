"""Tests that the checks report every fault of a configuration."""
import unittest
from dataclasses import replace
from datetime import timedelta

from monsoonlift import Call, Caller, Configuration, Retries, Service, check

GOOD_CALL = Call("dispatch", "POST", "/dispatches", "dispatch", False, timedelta(seconds=5))
GOOD_SERVICE = Service("squadre", 3, 60, 450, (GOOD_CALL,))
GOOD = Configuration(("palermo",), ("dispatch", "bulk"), (Caller("crew", timedelta(seconds=8)),), (GOOD_SERVICE,))


def with_call(**changes: object) -> Configuration:
    return replace(GOOD, services=(replace(GOOD_SERVICE, calls=(replace(GOOD_CALL, **changes),)),))


def with_service(**changes: object) -> Configuration:
    return replace(GOOD, services=(replace(GOOD_SERVICE, **changes),))


CASES = [
    ("no data centre", replace(GOOD, data_centres=()), ["data_centres"]),
    ("name with a space", replace(GOOD, data_centres=("Palermo est",)), ["data_centres[0]"]),
    ("class twice", replace(GOOD, classes=("dispatch", "dispatch")), ["classes[1]"]),
    ("unknown class", with_call(call_class="bulky"), ["services[0].calls[0].class"]),
    ("unknown method", with_call(method="post"), ["services[0].calls[0].method"]),
    ("relative path", with_call(path="dispatches"), ["services[0].calls[0].path"]),
    ("no patience", with_call(patience=timedelta(0)), ["services[0].calls[0].patience"]),
    ("part of a millisecond", with_call(patience=timedelta(microseconds=1500)), ["services[0].calls[0].patience"]),
    ("path with a query", with_call(path="/a?b"), ["services[0].calls[0].path"]),
    ("fewer connections than slots", with_service(connections=59), ["services[0].connections"]),
    ("drain time under a second", with_service(drain_time=timedelta(milliseconds=999)), ["services[0].drain_time"]),
    ("too many attempts", replace(GOOD, retries=Retries(attempts_per_root=17)), ["retries.attempts_per_root"]),
    ("no slots", with_service(slots=0), ["services[0].slots"]),
    ("service twice", replace(GOOD, services=(GOOD_SERVICE, GOOD_SERVICE)), ["services[1]"]),
    ("same route twice", with_service(calls=(GOOD_CALL, replace(GOOD_CALL, name="other"))), ["services[0].calls"]),
    ("ratio above 1", replace(GOOD, retries=Retries(ratio=1.5)), ["retries.ratio"]),
    ("two faults", replace(with_service(slots=-1), data_centres=()), ["data_centres", "services[0].slots"]),
]


class ChecksTest(unittest.TestCase):
    def test_a_valid_configuration_has_no_fault(self) -> None:
        self.assertEqual(check(GOOD), [])

    def test_each_fault_is_reported_with_its_path(self) -> None:
        for name, configuration, paths in CASES:
            with self.subTest(name):
                self.assertEqual([fault.path for fault in check(configuration)], paths)
