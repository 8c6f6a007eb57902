"""Idle callers that would use up a daemon's descriptors, while the daemon needs new connections itself.

Usage: descriptor_process_tests.py ROOT_OF_THE_REPOSITORY
"""
import contextlib
import pathlib
import socket
import sys
import unittest
from collections.abc import Sequence

ROOT = pathlib.Path(sys.argv.pop(1)) if len(sys.argv) > 1 else pathlib.Path(".").resolve()
sys.path.insert(0, str(ROOT / "scripts" / "lib"))

from harness import http as calls  # noqa: E402
from harness.fleet import BINARIES, BackendOptions, Fleet, answers, wait_for  # noqa: E402
from harness.process import Process, print_log_of_failure  # noqa: E402

DESCRIPTORS = 128
IDLE_CALLERS = 2 * DESCRIPTORS
DOCUMENT = """format: 1
data_centres: [palermo, catania]
classes: [lookup]
services:
  - name: squadre
    endpoints: 2
    slots: 8
    connections: 20
    calls:
      - {name: crews, method: GET, path: /crews, class: lookup, idempotent: true, patience: 2s}
  - name: priorita
    endpoints: 1
    slots: 8
    connections: 20
    calls:
      - {name: flags, method: GET, path: /flags, class: lookup, idempotent: true, patience: 2s}
"""
NEW_CALL = ("  - name: mappa\n    endpoints: 1\n    slots: 8\n    connections: 20\n    calls:\n"
            "      - {name: status, method: GET, path: /status, class: lookup, idempotent: true, patience: 2s}\n")


class NarrowFleet(Fleet):
    """A fleet whose daemons may open DESCRIPTORS descriptors each."""

    def start(self, name: str, command: Sequence[str]) -> Process:
        """Starts a program from build/bin, a daemon with the limit."""
        limit = ["prlimit", f"--nofile={DESCRIPTORS}"] if command[0] == "monsoonliftd" else []
        return Process(name, [*limit, str(BINARIES / command[0]), *command[1:]], self.folder / f"{name}.log")


class DescriptorProcessTests(unittest.TestCase):
    """The first of two daemons is filled with idle callers."""

    def setUp(self) -> None:
        self.fleet = self.enterContext(NarrowFleet())
        self.addCleanup(self.print_logs_of_failure)
        self.fleet.start_servers([("palermo", BackendOptions("priorita")), ("catania", BackendOptions("squadre"))])
        self.fleet.submit(DOCUMENT)
        self.fleet.wait_until_serving([("priorita", "GET", "/flags"), ("squadre", "GET", "/crews")])
        self.filled = self.fleet.daemons[0]
        self.idle = self.enterContext(contextlib.ExitStack())

    def print_logs_of_failure(self) -> None:
        for daemon in self.fleet.daemons:
            print_log_of_failure(self, daemon.process)

    def fill(self) -> None:
        """Opens IDLE_CALLERS connections, on which nothing is sent."""
        host, port = self.filled.caller.rsplit(":", 1)
        for _ in range(IDLE_CALLERS):
            self.idle.enter_context(socket.create_connection((host, int(port)), timeout=5))

    def test_idle_callers_keep_no_peer_from_connecting(self) -> None:
        self.fill()
        self.fleet.daemons[1].process.kill()
        self.fleet.start_servers([("catania", BackendOptions("squadre"))])
        wait_for(lambda: answers(self.filled, "squadre", "GET", "/crews"), "a call to a peer that is new")

    def test_idle_callers_keep_the_daemon_from_neither_its_backend_server_nor_a_new_caller(self) -> None:
        self.fleet.backends[0].process.kill()
        self.fill()
        self.fleet.start_backend(self.filled, BackendOptions("priorita"))
        wait_for(lambda: answers(self.filled, "priorita", "GET", "/flags"), "a call to a backend server that is new")

    def test_idle_callers_keep_no_change_of_the_configuration_away(self) -> None:
        self.fill()
        self.fleet.submit(DOCUMENT + NEW_CALL)
        request = {"headers": {"Monsoonlift-Service": "mappa"}}
        wait_for(lambda: calls.call(self.filled.caller, "GET", "/status", **request).status == 503, "the new service")

    def test_the_daemon_serves_new_callers_once_the_idle_ones_have_gone(self) -> None:
        self.fill()
        self.idle.close()
        wait_for(lambda: answers(self.filled, "squadre", "GET", "/crews"), "a call of a new caller")


if __name__ == "__main__":
    unittest.main()
