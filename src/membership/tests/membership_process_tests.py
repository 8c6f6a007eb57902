"""Kills and freezes real daemons and checks their objects in the platform stand-in.

Usage: membership_process_tests.py FOLDER_OF_BINARIES
"""
import json
import pathlib
import signal
import sys
import tempfile
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[3] / "scripts" / "lib"))

from harness import http  # noqa: E402
from harness.platform import Platform  # noqa: E402
from harness.process import Process, print_log_of_failure  # noqa: E402

BINARIES = pathlib.Path(sys.argv.pop(1)) if len(sys.argv) > 1 else pathlib.Path("build/bin")
LONGEST_WAIT_S = 180
CHECK_INTERVAL_S = 0.2
SETTINGS = """fleet: {fleet}
name: {name}
data_centre: palermo
caller_address: 127.0.0.1:0
admin_address: 127.0.0.1:0
transport_address: 127.0.0.1:0
membership_address: 127.0.0.1:0
platform_address: {platform}
admin_token: secret
gone_object_patience: {patience}
"""


class MembershipProcessTests(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.platform = Platform(BINARIES, self.folder / "platform.log")
        self.addCleanup(self.platform.process.kill)

    def daemon(self, name: str, patience: str) -> Process:
        path = self.folder / f"{name}.yaml"
        path.write_text(SETTINGS.format(fleet=self.folder.name.lower(), name=name, platform=self.platform.address, patience=patience))
        daemon = Process(name, [str(BINARIES / "monsoonliftd"), "--settings", str(path)], self.folder / f"{name}.log")
        self.addCleanup(daemon.kill)
        self.addCleanup(print_log_of_failure, self, daemon)
        daemon.addresses()
        return daemon

    def objects(self) -> dict[str, int]:
        """Returns the versions of the member objects by daemon name."""
        listed = http.get_json(self.platform.address, "/list?prefix=members%2F")["objects"]
        return {json.loads(each["value"])["name"]: each["version"] for each in listed}

    def wait_for_objects(self, names: set[str]) -> dict[str, int]:
        """Waits until exactly these daemons have objects; fails if an object of one of them disappears meanwhile."""
        ends = time.monotonic() + LONGEST_WAIT_S
        had: set[str] = set()
        while set(found := self.objects()) != names:
            had |= names & set(found)
            self.assertLessEqual(had, set(found), "the object of a living daemon is gone")
            self.assertLess(time.monotonic(), ends, sorted(found))
            time.sleep(CHECK_INTERVAL_S)
        return found

    def test_objects_of_killed_daemons_are_removed_and_those_of_running_daemons_stay(self) -> None:
        daemons = {name: self.daemon(name, "1s") for name in ("d0", "d1", "d2", "d3", "d4")}
        before = self.wait_for_objects(set(daemons))
        daemons["d1"].kill()
        daemons["d3"].kill()
        left = set(daemons) - {"d1", "d3"}
        after = self.wait_for_objects(left)
        self.assertEqual(after, {name: before[name] for name in left})
        for name in left:
            self.assertEqual(daemons[name].stop(), 0)
        self.assertEqual(self.objects(), {})

    def test_a_frozen_daemon_writes_its_object_again(self) -> None:
        daemons = {name: self.daemon(name, "1s") for name in ("d0", "d1", "d2")}
        self.wait_for_objects(set(daemons))
        daemons["d2"].signal(signal.SIGSTOP)
        self.addCleanup(daemons["d2"].signal, signal.SIGCONT)
        self.wait_for_objects({"d0", "d1"})
        daemons["d2"].signal(signal.SIGCONT)
        self.wait_for_objects(set(daemons))


if __name__ == "__main__":
    unittest.main()
