"""Callers of one VM: each reuses a persistent connection until the connection fails or the daemon closes it."""
from __future__ import annotations

import http.client
import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from soak.checker import Attempt
from soak.endpoint import is_own_body

HOST = "soak.example"
TIME_LEFT_MS = 3000
PATIENCE_S = 6.0
UNSAFE_SHARE = 0.4
PAUSE_S = 0.05
BODY_BYTES = 40_000
LARGE_BODY_SHARE = 0.1


@dataclass(frozen=True)
class Target:
    """Service, method and path of a request, and whether its route is idempotent."""

    service: str
    method: str
    path: str
    idempotent: bool


STATUS = Target("mappa", "GET", "/status/north", True)
DISPATCH = Target("squadre", "POST", "/dispatch/crew", False)


@dataclass
class Sender:
    """Sends requests through one VM's daemon on a persistent connection."""

    vm: int
    caller_service: str
    address: str
    connection: http.client.HTTPConnection | None = None
    time_left_ms: int = TIME_LEFT_MS

    def send(self, name: str, target: Target, body: bytes) -> Attempt:
        """Sends a request once, without resending it, and returns what its caller observed."""
        sent = time.monotonic()
        status, stamp, right = None, "", True
        try:
            status, stamp, right = self._exchange(name, target, body)
        except (OSError, http.client.HTTPException):
            self.close()
        return Attempt(name, self.vm, self.caller_service, target.service, target.method, target.path, body,
                       target.idempotent, sent, time.monotonic(), status, stamp, right)

    def connect(self) -> None:
        """Opens the connection if it isn't open."""
        if self.connection is not None:
            return
        host, port = self.address.rsplit(":", 1)
        self.connection = http.client.HTTPConnection(host, int(port), timeout=PATIENCE_S)
        # NOTE: http.client must report a closed connection instead of opening a new one and sending the request on it.
        self.connection.auto_open = 0
        self.connection.connect()

    def close(self) -> None:
        if self.connection is not None:
            self.connection.close()
        self.connection = None

    def _exchange(self, name: str, target: Target, body: bytes) -> tuple[int, str, bool]:
        self.connect()
        headers = {"Host": HOST, "X-Request-Id": name, "X-Deadline-Ms": str(self.time_left_ms)}
        self.connection.request(target.method, target.path, body=body or None, headers=headers)
        response = self.connection.getresponse()
        text = response.read()
        stamp = response.getheader("X-Server-Stamp", "")
        if response.will_close:
            self.close()
        right = response.status != 200 or is_own_body(name, stamp, text)
        return response.status, stamp, right


@dataclass
class Callers:
    """Threads that send a seeded mix of requests through the daemons of all VMs and pass each attempt to `record`."""

    senders: Callable[[int], Sender]
    vms: int
    seed: int
    record: Callable[[Attempt], None]
    _end: threading.Event = field(default_factory=threading.Event)
    _threads: list[threading.Thread] = field(default_factory=list)

    def start(self, per_vm: int) -> None:
        for vm in range(self.vms):
            for number in range(per_vm):
                thread = threading.Thread(target=self._work, args=(vm, number), daemon=True)
                thread.start()
                self._threads.append(thread)

    def stop(self) -> None:
        """Stops sending requests and waits for the last responses."""
        self._end.set()
        for thread in self._threads:
            thread.join()

    def _work(self, vm: int, number: int) -> None:
        draw = random.Random(f"{self.seed}/{vm}/{number}")
        sender = self.senders(vm)
        serial = 0
        while not self._end.wait(draw.uniform(0, 2 * PAUSE_S)):
            serial += 1
            target = DISPATCH if draw.random() < UNSAFE_SHARE else STATUS
            length = 0 if target.idempotent else (BODY_BYTES if draw.random() < LARGE_BODY_SHARE else 7)
            self.record(sender.send(f"s{self.seed}-{vm}-{number}-{serial}", target, b"b" * length))
        sender.close()
