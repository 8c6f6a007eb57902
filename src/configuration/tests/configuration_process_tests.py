"""Checks with real processes that daemons follow the configuration: platform-standin, several monsoonliftd
and monsoonctl.

Usage: configuration_process_tests.py FOLDER_OF_BINARIES
"""
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[3] / "scripts" / "lib"))

from harness import http  # noqa: E402
from harness.platform import Platform, one_service  # noqa: E402
from harness.process import Process  # noqa: E402

BINARIES = pathlib.Path(sys.argv.pop(1)) if len(sys.argv) > 1 else pathlib.Path("build/bin")
LONGEST_WAIT_S = 60
DATA_CENTRES = ("palermo", "catania")
SETTINGS = """fleet: {fleet}
name: {name}
data_centre: {data_centre}
caller_address: 127.0.0.1:0
admin_address: 127.0.0.1:0
transport_address: 127.0.0.1:0
membership_address: 127.0.0.1:0
platform_address: {platform}
admin_token: secret
seed_peers: [{seeds}]
"""


class ConfigurationProcessTests(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.started = 0
        self.platform = self.start_platform()
        self.seen: dict[str, int] = {}

    def next_log(self) -> pathlib.Path:
        self.started += 1
        return self.folder / f"{self.started}.log"

    def start_platform(self, *options: str) -> Platform:
        platform = Platform(BINARIES, self.next_log(), *options)
        self.addCleanup(self.end, platform.process)
        return platform

    @staticmethod
    def end(process: Process) -> int:
        process.signal(signal.SIGCONT)
        return process.stop(LONGEST_WAIT_S)

    def daemon(self, index: int, *seeds: str) -> Process:
        path = self.folder / f"daemon-{self.started}.yaml"
        path.write_text(SETTINGS.format(
            fleet=self.folder.name.lower(), name=f"d{self.started}", data_centre=DATA_CENTRES[index % 2],
            platform=self.platform.address, seeds=", ".join(seeds)))
        command = [str(BINARIES / "monsoonliftd"), "--settings", str(path)]
        daemon = Process(f"d{self.started}", command, self.next_log())
        self.addCleanup(self.end, daemon)
        daemon.addresses()
        return daemon

    def fleet(self, count: int) -> list[Process]:
        first = self.daemon(0)
        return [first] + [self.daemon(at, first.addresses()["membership"]) for at in range(1, count)]

    def submit(self, slots: int) -> int:
        path = self.folder / "document.yaml"
        path.write_text(one_service(slots, *DATA_CENTRES))
        tool = subprocess.run(
            [BINARIES / "monsoonctl", "submit", path, "--as", "anna", "--output", "json", "--platform",
             self.platform.address], stdout=subprocess.PIPE, text=True, check=False)
        self.assertEqual(tool.returncode, 0, tool.stdout)
        return json.loads(tool.stdout)["revision"]

    def revision(self, daemon: Process) -> int:
        """Returns the revision in force; fails the test if it is lower than one this daemon reported before."""
        admin = daemon.addresses()["admin"]
        answer = http.call(admin, "GET", "/configuration")
        revision = answer.json()["revision"] if answer.status == 200 else 0
        self.assertGreaterEqual(revision, self.seen.get(admin, 0))
        self.seen[admin] = revision
        return revision

    def wait_for(self, daemons: list[Process], revision: int) -> None:
        ends = time.monotonic() + LONGEST_WAIT_S
        while any(self.revision(each) != revision for each in daemons):
            self.assertLess(time.monotonic(), ends, [self.revision(each) for each in daemons])

    def test_changes_reach_every_daemon(self) -> None:
        daemons = self.fleet(6)
        for slots in (10, 20, 30):
            self.wait_for(daemons, self.submit(slots))

    def test_a_restart_during_a_platform_outage_gets_the_configuration_from_peers(self) -> None:
        daemons = self.fleet(4)
        self.submit(10)
        self.wait_for(daemons, self.submit(20))
        self.platform.set_faults(outage=True, silent=True)
        daemons[3].kill()
        daemons[3] = self.daemon(3, daemons[0].addresses()["membership"])
        self.wait_for(daemons, 2)
        self.platform.set_faults()
        self.wait_for(daemons, self.submit(30))

    def test_a_resumed_daemon_does_not_return_the_fleet_to_an_old_revision(self) -> None:
        daemons = self.fleet(4)
        self.wait_for(daemons, self.submit(10))
        frozen = daemons.pop()
        frozen.signal(signal.SIGSTOP)
        self.wait_for(daemons, self.submit(20))
        self.wait_for(daemons, self.submit(30))
        frozen.signal(signal.SIGCONT)
        daemons.append(frozen)
        self.wait_for(daemons, 3)

    def test_a_platform_reset_to_a_lower_revision_is_not_followed(self) -> None:
        daemons = self.fleet(4)
        self.submit(10)
        self.wait_for(daemons, self.submit(20))
        address = self.platform.address
        self.assertEqual(self.end(self.platform.process), 0)
        self.platform = self.start_platform("--listen", address)
        self.assertEqual(self.submit(40), 1)
        fresh = self.daemon(5, daemons[0].addresses()["membership"])
        self.wait_for([*daemons, fresh], 2)


if __name__ == "__main__":
    unittest.main()
