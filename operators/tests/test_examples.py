"""Tests that the examples print valid documents with the expected size of each service."""
import pathlib
import subprocess
import sys
import unittest

EXAMPLES = pathlib.Path(__file__).resolve().parents[2] / "examples"
CASES = [
    ("sicily.py", {"mappa": (4, 45, 360), "squadre": (3, 60, 450), "archivio": (3, 60, 450),
                   "priorita": (3, 15, 180)}),
    ("kazakhstan_south.py", {"fieldboard": (5, 140, 930), "treasury": (4, 175, 1150),
                             "flightvault": (4, 175, 1150), "airwaves": (4, 30, 270)}),
]


class ExamplesTest(unittest.TestCase):
    def test_each_example_prints_its_services(self) -> None:
        for name, services in CASES:
            with self.subTest(name):
                run = subprocess.run([sys.executable, EXAMPLES / name], capture_output=True, text=True, check=True)
                for service, (endpoints, slots, connections) in services.items():
                    self.assertIn(f"  - name: {service}\n    endpoints: {endpoints}\n    slots: {slots}\n"
                                  f"    connections: {connections}\n", run.stdout)
