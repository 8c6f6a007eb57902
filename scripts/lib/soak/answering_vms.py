"""Tests with real daemons in which a test decides what each backend server answers."""
from __future__ import annotations

import http.server
import itertools
import pathlib
import tempfile
import unittest
from collections.abc import Callable, Iterator

from harness.fleet import BINARIES, wait_for
from harness.platform import Platform
from harness.process import print_log_of_failure
from harness.raw_caller import RawCaller, RawRequest, Seen
from soak.callers import DISPATCH, HOST, STATUS, Target
from soak.checker import Facts
from soak.fleet import Vm
from soak.operator import Operator
from soak.proxy import ProxyLoop

TIME_LEFT_MS = 5000

Handler = http.server.BaseHTTPRequestHandler


class AnsweringVmsCase(unittest.TestCase):
    """A test with two VMs and the two services of the soak, in which it decides what the backend servers answer."""

    vm_numbers: Iterator[int]  # Numbers, and so addresses, of each test's own VMs; each is the first of two.
    route_timeout_ms = TIME_LEFT_MS

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.platform = Platform(BINARIES, self.folder / "platform.log", "--listen", "127.0.0.1:0")
        self.addCleanup(self.platform.process.kill)
        self.proxy_loop = ProxyLoop()
        self.addCleanup(self.proxy_loop.close)
        Operator(self.platform.address, timeout_ms=self.route_timeout_ms).change()
        first = next(self.vm_numbers)
        self.vms = [self.start_vm(first), self.start_vm(first + 1)]
        self.names = itertools.count(1)
        for vm, target in itertools.product(self.vms, (STATUS, DISPATCH)):
            wait_for(lambda: self.is_served(vm, target), "the services to be served")

    def start_vm(self, number: int) -> Vm:
        vm = Vm(number, self.folder, self.platform.address, self.proxy_loop, Facts(), 1)
        self.addCleanup(vm.close)
        vm.start()
        vm.endpoint.misbehaviour.asks = False
        assert vm.process is not None
        self.addCleanup(print_log_of_failure, self, vm.process)
        return vm

    def is_served(self, vm: Vm, target: Target) -> bool:
        sender = vm.sender()
        try:
            return sender.send(self.name(), target, b"").status == 200
        finally:
            sender.close()

    def name(self) -> str:
        """Returns the id of the next request; sixteen digits, which the logs show with as many zeros behind."""
        self.last_name = f"{next(self.names):016x}"
        return self.last_name

    def answer_with(self, answer: Callable[[Handler], None] | None) -> None:
        for vm in self.vms:
            vm.endpoint.misbehaviour.answers_instead = answer

    def call(self, vm: Vm, target: Target, body: bytes = b"", in_chunks: bool = False) -> Seen:
        caller = RawCaller(vm.at("caller"))
        try:
            caller.send(platform_request(self.name(), target, body, in_chunks))
            return caller.receive(target.method)
        finally:
            caller.close()

    def for_each_path(self):
        """Yields each daemon as entry with each route: the gate is the entry's own and another's, for both kinds."""
        yield from itertools.product(self.vms, (STATUS, DISPATCH))


def platform_request(name: str, target: Target, body: bytes = b"", in_chunks: bool = False,
                     time_left_ms: int = TIME_LEFT_MS) -> RawRequest:
    """Returns a request in the platform's protocol."""
    fields = {"Host": HOST, "X-Request-Id": name, "X-Deadline-Ms": str(time_left_ms)}
    return RawRequest(target.method, target.path, fields, body, in_chunks)
