"""A real daemon that starts after the platform's store came back from a copy.

Guards against a key that was taken away and works again at a daemon that can't know what was accepted before the
restore, and against a daemon that is wired so that it never learns it.

Usage: restored_store_process_tests.py ROOT_OF_THE_REPOSITORY
"""
import itertools
import json
import pathlib
import sys
import tempfile
import time
import unittest

ROOT = pathlib.Path(sys.argv.pop(1)) if len(sys.argv) > 1 else pathlib.Path(".").resolve()
sys.path.insert(0, str(ROOT / "scripts" / "lib"))

from harness import http as calls  # noqa: E402
from harness.fleet import BINARIES, wait_for  # noqa: E402
from harness.platform import Platform  # noqa: E402
from harness.process import print_log_of_failure  # noqa: E402
from soak.callers import HOST, STATUS  # noqa: E402
from soak.checker import Facts  # noqa: E402
from soak.fleet import Vm  # noqa: E402
from soak.operator import configuration  # noqa: E402
from soak.proxy import ProxyLoop  # noqa: E402

VM_NUMBERS = itertools.count(200, 2)  # Even: VMs of the map service. Numbers, and so addresses, of this test alone.
KEPT_KEY, REMOVED_KEY = "k-kept", "k-removed"
REVOCATION_BOUND_S = 3.0
COPY_INTERVAL_S = 0.2  # Above the resolution of the stand-in's copies.
WATCHED_S = 2.0  # Below the bound, after which the store counts again though nobody remembers.


class RestoredStoreProcessTests(unittest.TestCase):
    """Three VMs of one service; a second configuration takes a key away, and is lost by a restore."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.platform = Platform(BINARIES, pathlib.Path(folder.name) / "platform.log", "--listen", "127.0.0.1:0")
        self.addCleanup(self.platform.process.kill)
        spec = self.spec_of(1, [KEPT_KEY, REMOVED_KEY])
        self.post("/api/objects/config", {"Metadata": {"Name": "main"}, "Spec": spec})
        proxy_loop = ProxyLoop()
        self.addCleanup(proxy_loop.close)
        self.vms = [Vm(next(VM_NUMBERS), pathlib.Path(folder.name), self.platform.address, proxy_loop, Facts(), 1,
                       revocation_bound=f"{REVOCATION_BOUND_S:.0f}s") for _ in range(3)]
        for vm in self.vms:
            self.addCleanup(vm.close)
            vm.start()
            assert vm.process is not None
            vm.process.addresses()
            self.addCleanup(print_log_of_failure, self, vm.process)
        self.wait_for_status(REMOVED_KEY, 200, self.vms)

    def spec_of(self, version: int, keys: list[str]) -> dict[str, object]:
        spec = configuration(version)
        spec["Tenants"] = [{"Name": "school", "ApiKeys": keys}]
        return spec

    def replace(self, spec: dict[str, object]) -> None:
        """Writes a configuration over the one that the store has."""
        known = calls.call(self.platform.address, "GET", "/api/objects/config/main").json()
        self.post("/api/objects/config/main", {"Metadata": known["Metadata"], "Spec": spec}, method="PUT")

    def post(self, path: str, body: dict[str, object], method: str = "POST") -> None:
        answer = calls.call(self.platform.address, method, path, body=json.dumps(body).encode(),
                            headers={"Content-Type": "application/json"})
        self.assertEqual(answer.status, 200)

    def status_of_a_call(self, vm: Vm, key: str) -> int | None:
        headers = {"Host": HOST, "X-Request-Id": f"t-{time.monotonic_ns()}", "X-Deadline-Ms": "3000",
                   "Authorization": f"Token {key}"}
        try:
            return calls.call(vm.at("caller"), STATUS.method, STATUS.path, headers=headers).status
        except OSError:
            return None

    def wait_for_status(self, key: str, status: int, vms: list[Vm]) -> None:
        for vm in vms:
            wait_for(lambda vm=vm: self.status_of_a_call(vm, key) == status, f"{status} for {key} at vm-{vm.number}")

    def test_a_key_that_was_taken_away_does_not_work_at_a_daemon_that_starts_after_a_restore(self) -> None:
        time.sleep(COPY_INTERVAL_S)
        copied = time.monotonic()
        time.sleep(COPY_INTERVAL_S)
        self.replace(self.spec_of(4, [KEPT_KEY]))
        removed = time.monotonic()
        self.wait_for_status(REMOVED_KEY, 401, self.vms)
        restarted = self.vms[0]
        restarted.stop_daemon()
        time.sleep(max(0.0, removed + REVOCATION_BOUND_S + COPY_INTERVAL_S - time.monotonic()))

        self.post("/restore", {"age_ms": int((time.monotonic() - copied) * 1000)})
        restarted.start_daemon()
        seen: set[int | None] = set()
        watched_until = time.monotonic() + WATCHED_S
        while time.monotonic() < watched_until:
            seen.add(self.status_of_a_call(restarted, REMOVED_KEY))
        self.assertNotIn(200, seen)
        self.assertIn(401, seen, "the daemon learned nothing from its peers")

        self.replace(self.spec_of(4, [KEPT_KEY]))
        self.wait_for_status(KEPT_KEY, 200, self.vms)


if __name__ == "__main__":
    unittest.main()
