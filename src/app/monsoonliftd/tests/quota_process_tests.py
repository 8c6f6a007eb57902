"""Two real daemons share the limit of a client account; the owner of its quota is killed, or stops as planned.

Guards against a daemon that is wired so that a limit is not enforced, or that calls within it are refused.

Usage: quota_process_tests.py ROOT_OF_THE_REPOSITORY
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

VM_NUMBERS = itertools.count(0, 2)  # Even: VMs of the map service.
KEY = "k-school"
RATE, BURST = 5, 10
BEYOND_BURST = 10  # Tokens that a bucket holds beyond the burst.


class QuotaProcessTests(unittest.TestCase):
    """Two VMs of one service, and an account with a limit."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.platform = Platform(BINARIES, pathlib.Path(folder.name) / "platform.log", "--listen", "127.0.0.1:0")
        self.addCleanup(self.platform.process.kill)
        self.submit()
        proxy_loop = ProxyLoop()
        self.addCleanup(proxy_loop.close)
        self.vms = [Vm(next(VM_NUMBERS), pathlib.Path(folder.name), self.platform.address, proxy_loop, Facts(), 1)
                    for _ in range(2)]
        for vm in self.vms:
            self.addCleanup(vm.close)
            vm.start()
            assert vm.process is not None
            vm.process.addresses()
            self.addCleanup(print_log_of_failure, self, vm.process)
        # NOTE: the waits themselves make more calls than the limit allows, so each VM is waited for on its own.
        for vm in self.vms:
            wait_for(lambda vm=vm: self.status_of_a_call(vm) == 200, f"a call through vm-{vm.number} to be answered")

    def submit(self) -> None:
        spec = configuration(1)
        spec["Tenants"] = [{"Name": "school", "ApiKeys": [KEY], "RatePerS": RATE, "Burst": BURST}]
        body = json.dumps({"Metadata": {"Name": "main"}, "Spec": spec}).encode()
        answer = calls.call(self.platform.address, "POST", "/api/objects/config", body=body,
                            headers={"Content-Type": "application/json"})
        self.assertEqual(answer.status, 200)

    def call(self, vm: Vm) -> calls.Answer:
        headers = {"Host": HOST, "X-Request-Id": f"t-{time.monotonic_ns()}", "X-Deadline-Ms": "3000",
                   "Authorization": f"Token {KEY}"}
        return calls.call(vm.at("caller"), STATUS.method, STATUS.path, headers=headers)

    def status_of_a_call(self, vm: Vm) -> int | None:
        try:
            return self.call(vm).status
        except OSError:
            return None

    def owner(self) -> Vm | None:
        """Returns the VM whose daemon owns the shard of the account."""
        for vm in self.vms:
            if vm.process is not None and vm.process.running:
                if calls.get_json(vm.at("admin"), "/status")["quota"]["owned_shards"]:
                    return vm
        return None

    def test_the_limit_holds_over_both_entries(self) -> None:
        began = time.monotonic()
        answers = [self.call(vm) for _ in range(60) for vm in self.vms]
        took = time.monotonic() - began
        ran = sum(answer.status == 200 for answer in answers)
        refused = [answer for answer in answers if answer.status == 429]
        self.assertEqual(ran + len(refused), len(answers))
        self.assertLessEqual(ran, BURST + BEYOND_BURST + RATE * (took + 0.5))
        self.assertGreater(len(refused), 0)
        # A token comes every 0.2 s, and the owner adds at most 0.1 s.
        self.assertTrue(all(0 < float(answer.headers["retry-after"]) <= 0.5 for answer in refused))

    def test_calls_run_again_after_the_owner_was_killed(self) -> None:
        owner = self.owner()
        assert owner is not None
        other = next(vm for vm in self.vms if vm is not owner)
        owner.kill_daemon()
        wait_for(lambda: self.owner() is other, "the other daemon to own the shard", 30)
        wait_for(lambda: self.status_of_a_call(other) == 200, "a call to run")

    def test_a_planned_stop_hands_the_quota_over(self) -> None:
        owner = self.owner()
        assert owner is not None
        other = next(vm for vm in self.vms if vm is not owner)
        owner.stop_daemon()
        wait_for(lambda: self.owner() is other, "the other daemon to own the shard")
        wait_for(lambda: self.status_of_a_call(other) == 200, "a call to run")


if __name__ == "__main__":
    unittest.main()
