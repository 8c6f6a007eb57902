"""Tests of the YAML document that is printed for a configuration."""
import hashlib
import unittest
from dataclasses import replace
from datetime import timedelta

from monsoonlift import Account, InvalidConfiguration, to_yaml
from monsoonlift.yaml_text import duration
from tests.test_checks import GOOD

DOCUMENT = """\
format: 1
data_centres: [palermo]
classes: [dispatch, bulk]
callers:
  - {name: crew, patience: 8s}
retries: {attempts_per_root: 2, ratio: 0.1}
execution: {resend_window: 10m}
services:
  - name: squadre
    endpoints: 3
    slots: 60
    connections: 450
    drain_time: 5s
    calls:
      - name: dispatch
        method: POST
        path: /dispatches
        class: dispatch
        idempotent: false
        patience: 5s
"""


class YamlTextTest(unittest.TestCase):
    def test_a_valid_configuration_is_printed_as_the_expected_document(self) -> None:
        self.assertEqual(to_yaml(GOOD), DOCUMENT)

    def test_accounts_are_printed_with_digests_and_never_with_keys(self) -> None:
        accounts = (Account("school", ("k1",), ("AB" * 32,), "bulk", 5.5, 8), Account("shop"))
        own = hashlib.sha256(b"k1").hexdigest()
        self.assertEqual(to_yaml(replace(GOOD, accounts=accounts)), DOCUMENT + f"""\
accounts:
  - name: school
    key_digests: ["{own}", "{'ab' * 32}"]
    class: bulk
    rate_per_second: 5.5
    burst: 8
  - name: shop
    key_digests: []
""")
        self.assertEqual(to_yaml(replace(GOOD, accounts=())), DOCUMENT + "accounts: []\n")

    def test_an_invalid_configuration_is_not_printed(self) -> None:
        with self.assertRaises(InvalidConfiguration):
            to_yaml(replace(GOOD, classes=()))

    def test_names_that_yaml_reads_as_something_else_are_quoted(self) -> None:
        self.assertIn('data_centres: ["on", "1a"]', to_yaml(replace(GOOD, data_centres=("on", "1a"))))

    def test_durations_are_printed_in_the_largest_exact_unit(self) -> None:
        cases = [(250, "250ms"), (5000, "5s"), (1500, "1500ms"), (60_000, "1m"), (90_000, "90s")]
        for milliseconds, text in cases:
            with self.subTest(text):
                self.assertEqual(duration(timedelta(milliseconds=milliseconds)), text)
