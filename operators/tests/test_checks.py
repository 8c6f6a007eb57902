"""Tests that the checks report every fault of a configuration."""
import hashlib
import unittest
from dataclasses import replace
from datetime import timedelta

from monsoonlift import Account, Call, Caller, Configuration, Retries, Service, check

GOOD_CALL = Call("dispatch", "POST", "/dispatches", "dispatch", False, timedelta(seconds=5))
GOOD_SERVICE = Service("squadre", 3, 60, 450, (GOOD_CALL,))
GOOD = Configuration(("palermo",), ("dispatch", "bulk"), (Caller("crew", timedelta(seconds=8)),), (GOOD_SERVICE,))


def with_call(**changes: object) -> Configuration:
    return replace(GOOD, services=(replace(GOOD_SERVICE, calls=(replace(GOOD_CALL, **changes),)),))


def with_service(**changes: object) -> Configuration:
    return replace(GOOD, services=(replace(GOOD_SERVICE, **changes),))


def with_accounts(*accounts: Account) -> Configuration:
    return replace(GOOD, accounts=accounts)


DIGEST = "ab" * 32

CASES = [
    ("account without a name", with_accounts(Account("")), ["accounts[0]"]),
    ("account twice", with_accounts(Account("school"), Account("school")), ["accounts[1]"]),
    ("key of two accounts", with_accounts(Account("school", ("k",)), Account("shop", ("k",))), ["accounts[1].keys"]),
    ("digest twice", with_accounts(Account("school", (), (DIGEST, DIGEST.upper()))), ["accounts[0].keys"]),
    ("no digest", with_accounts(Account("school", (), ("k",))), ["accounts[0].key_digests[0]"]),
    ("empty key", with_accounts(Account("school", ("",))), ["accounts[0].keys[0]"]),
    ("key with a space", with_accounts(Account("school", ("a b",))), ["accounts[0].keys[0]"]),
    ("digest of an empty key", with_accounts(Account("school", (), (hashlib.sha256(b"").hexdigest(),))),
     ["accounts[0].key_digests[0]"]),
    ("unknown class of an account", with_accounts(Account("school", account_class="bulky")), ["accounts[0].class"]),
    ("rate below 0", with_accounts(Account("school", rate_per_second=-1)), ["accounts[0].rate_per_second"]),
    ("burst that is no number", with_accounts(Account("school", burst=float("nan"))), ["accounts[0].burst"]),
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

    def test_a_configuration_may_list_accounts_and_even_none(self) -> None:
        account = Account("school", ("k1",), (DIGEST,), "bulk", 5.5, 8)
        self.assertEqual(check(with_accounts(account)), [])
        self.assertEqual(check(with_accounts()), [])

    def test_neither_keys_nor_digests_are_quoted(self) -> None:
        faulty = with_accounts(Account("school", ("secret key", "s3cret"), (DIGEST[1:],)), Account("shop", ("s3cret",)))
        text = "\n".join(map(str, check(faulty))) + repr(faulty)
        self.assertIn("accounts[0].keys[0]", text)
        for hidden in ("secret", "s3cret", DIGEST[1:], hashlib.sha256(b"s3cret").hexdigest()):
            self.assertNotIn(hidden, text)

    def test_each_fault_is_reported_with_its_path(self) -> None:
        for name, configuration, paths in CASES:
            with self.subTest(name):
                self.assertEqual([fault.path for fault in check(configuration)], paths)
