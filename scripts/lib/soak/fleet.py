"""The VMs of one run of the soak, each with a daemon, a backend server and their network links."""
from __future__ import annotations

import contextlib
import json
import os
import pathlib
import signal
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from harness.fleet import BINARIES
from harness.platform import Platform
from harness.process import Process
from soak.callers import STATUS, Sender
from soak.checker import Attempt, Facts, Span
from soak.endpoint import Endpoint
from soak.proxy import Proxy, ProxyLoop

# NOTE: below the ephemeral ports that the system assigns to connections from the same IP address.
PORTS = {"caller": 7000, "heartbeat": 7001, "ready": 7002, "backend": 7003, "transport": 7004, "admin": 7005,
         "link": 7006, "store": 7007}
DATA_CENTRES = ("palermo", "catania")
SERVICES = ("mappa", "squadre")
STOP_BOUND_S = 6.0
FIRST_IP = 10


@dataclass(frozen=True)
class DaemonProgram:
    """The daemon's binary and its number of worker threads."""

    file: pathlib.Path = BINARIES / "monsoonliftd"
    workers: int = 2


def split(address: str) -> tuple[str, int]:
    host, port = address.rsplit(":", 1)
    return host, int(port)


@dataclass
class Vm:
    """One VM. `lock` keeps two faults from starting or ending its daemon at once, `server_lock` its backend server."""

    number: int
    folder: pathlib.Path
    store: str
    carrier: ProxyLoop
    facts: Facts
    seed: int
    program: DaemonProgram = DaemonProgram()
    starts: int = 0
    store_address: str = ""  # Where the daemon finds the store; its proxied link unless a test says otherwise.
    revocation_bound: str = ""  # As in the settings; empty if the deployment sets none.
    process: Process | None = None
    lock: threading.Lock = field(default_factory=threading.Lock)
    server_lock: threading.Lock = field(default_factory=threading.Lock)

    def __post_init__(self) -> None:
        owner = os.getpid()
        second, third = (FIRST_IP + self.number) % 250 + 1, owner // 256 % 256
        self.ip = f"127.{second}.{third}.{owner % 256}"
        self.service = SERVICES[self.number % len(SERVICES)]
        self.link = Proxy(self.carrier, (self.ip, PORTS["link"]), (self.ip, PORTS["transport"]))
        self.store_link = Proxy(self.carrier, (self.ip, PORTS["store"]), split(self.store))
        self.endpoint = Endpoint(f"{self.service}-{self.number}", self.service, (self.ip, PORTS["backend"]),
                                 self.at("heartbeat"), self.seed * 1000 + self.number, self.facts.runs.append, self.ask)

    def at(self, port: str) -> str:
        return f"{self.ip}:{PORTS[port]}"

    def sender(self) -> Sender:
        return Sender(self.number, self.service, self.at("caller"))

    def ask(self, name: str) -> Attempt:
        """Makes and records the backend server's nested call to the map service, through its local daemon."""
        sender = self.sender()
        attempt = sender.send(name, STATUS, b"")
        sender.close()
        self.facts.attempts.append(attempt)
        return attempt

    def start(self) -> None:
        self.link.start()
        self.store_link.start()
        self.endpoint.start()
        self.start_daemon()

    def start_daemon(self) -> None:
        self.starts += 1
        settings = self.write_settings()
        log = self.folder / f"vm-{self.number}.{self.starts}.log"
        self.process = Process(f"vm-{self.number}", [str(self.program.file), "--settings", str(settings)], log)

    def write_settings(self) -> pathlib.Path:
        """Places the settings file, as the platform does at every start and whenever the settings change."""
        settings = self.folder / f"vm-{self.number}.yaml"
        settings.write_text(self._settings())
        return settings

    def kill_daemon(self) -> None:
        if self.process is not None:
            self.process.kill()

    def stop_daemon(self) -> None:
        """Stops the daemon with SIGTERM and kills it after STOP_BOUND_S, as the platform does."""
        assert self.process is not None
        self.process.addresses()  # NOTE: waits until it serves; a signal before main() begins would end any process.
        began = time.monotonic()
        self.process.signal(signal.SIGTERM)
        while self.process.running and time.monotonic() < began + STOP_BOUND_S:
            time.sleep(0.02)
        self.facts.stops.setdefault(self.number, []).append(Span(began, time.monotonic()))
        if self.process.running:
            self.process.log.with_suffix(".threads").write_text(self.process.threads())
            self.process.kill()
            self.facts.exits.append(f"vm-{self.number} did not end within its time")
        elif self.process.wait() != 0:
            self.facts.exits.append(f"vm-{self.number} ended with {self.process.wait()} after SIGTERM")

    def close(self) -> None:
        close_all([self.store_link.close, self.link.close, self.endpoint.close, self.kill_daemon])

    def _settings(self) -> str:
        settings = {
            "fleet": "soak", "name": f"vm-{self.number}", "data_centre": DATA_CENTRES[self.number % len(DATA_CENTRES)],
            "caller_address": self.at("caller"), "admin_address": self.at("admin"),
            "transport_address": self.at("transport"), "advertised_transport_address": self.at("link"),
            "transport_source_ip": self.ip, "membership_address": self.at("transport"),
            "platform_address": self.store_address or self.at("store"), "retry_burst": 2, "log_lines_per_second": 1000,
            "workers": self.program.workers,
        }
        deployment = {
            "service": self.service, "backend_address": self.at("backend"),
            "heartbeat_address": self.at("heartbeat"), "ready_address": self.at("ready"),
            "configuration_bound": "2s", "drain_bound": "2s", "stop_bound": f"{STOP_BOUND_S:.0f}s",
        }
        if self.revocation_bound:
            deployment["revocation_bound"] = self.revocation_bound
        lines = [f"{key}: {json.dumps(value)}\n" for key, value in settings.items()]
        lines += ["deployment:\n", *[f"  {key}: {json.dumps(value)}\n" for key, value in deployment.items()]]
        return "".join(lines)


def close_all(steps: Sequence[Callable[[], object]]) -> None:
    """Runs all steps in reverse order, even if some of them fail; then raises the last failure."""
    with contextlib.ExitStack() as stack:
        for step in steps:
            stack.callback(step)


class SoakFleet:
    """The platform stand-in and all VMs of one run; a context manager that ends the processes it started."""

    def __init__(self, folder: pathlib.Path, vms: int, facts: Facts, seed: int, program: DaemonProgram) -> None:
        self.carrier = ProxyLoop()
        self.platform = Platform(BINARIES, folder / "platform.log", "--listen", "127.0.0.1:0")
        self.vms = [Vm(number, folder, self.platform.address, self.carrier, facts, seed, program)
                    for number in range(vms)]

    def __enter__(self) -> SoakFleet:
        return self

    def __exit__(self, *_: object) -> None:
        close_all([self.carrier.close, self.platform.process.kill, *[vm.close for vm in self.vms]])
