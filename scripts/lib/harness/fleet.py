"""A fleet on this machine: the platform stand-in, daemons and backend stand-ins."""
from __future__ import annotations

import json
import pathlib
import shutil
import subprocess
import tempfile
import time
import uuid
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from harness import http
from harness.link import Links
from harness.platform import Platform
from harness.process import Process, ProcessFailed
from harness.stand_in import StandIn

ROOT = pathlib.Path(__file__).resolve().parents[3]
BINARIES = ROOT / "build" / "bin"
ANY_ADDRESS = "127.0.0.1:0"
ADMIN_TOKEN = "harness-token"
CONVERGE_PATIENCE_S = 30.0


@dataclass
class Daemon:
    """One monsoonliftd."""

    name: str
    data_centre: str
    process: Process

    @property
    def caller(self) -> str:
        return self.process.addresses()["caller"]

    @property
    def admin(self) -> str:
        return self.process.addresses()["admin"]


@dataclass(frozen=True)
class BackendOptions:
    """Command line options of a backend stand-in."""

    service: str
    slots: int = 8
    connections: int = 500
    service_ms: float = 5.0
    distribution: str = "fixed"
    seed: int = 1
    cold_start_ms: int = 0
    threads: int = 1
    calls: tuple[str, ...] = ()


@dataclass
class Backend(StandIn):
    """One backend-standin and its local daemon."""

    options: BackendOptions
    daemon: Daemon
    process: Process

    def tokens(self) -> list[int]:
        """Returns one number for each distinct call that reached the backend server."""
        return http.get_json(self.address, "/tokens")

    def runs(self) -> dict[str, int]:
        """Returns the number of runs of each idempotency key."""
        return http.get_json(self.address, "/runs")


@dataclass
class Fleet:
    """All processes of one fleet. A context manager: ends them by their ids on exit, unless `keep` is set."""

    decisions: str = "on"
    keep: bool = False
    workers: int = 2
    links: Links | None = None
    relays: list[Process] = field(default_factory=list)
    daemons: list[Daemon] = field(default_factory=list)
    backends: list[Backend] = field(default_factory=list)
    folder: pathlib.Path = field(default_factory=lambda: pathlib.Path(tempfile.mkdtemp(prefix="monsoonlift-")))
    platform: Platform | None = None
    name: str = field(default_factory=lambda: f"harness-{uuid.uuid4().hex[:16]}")

    def __enter__(self) -> Fleet:
        self.platform = Platform(BINARIES, self.folder / "platform.log", "--listen", ANY_ADDRESS)
        return self

    def __exit__(self, *_: object) -> None:
        if not self.keep:
            self.end()

    def end(self) -> None:
        """Ends every process and removes the fleet's folder."""
        processes = [backend.process for backend in self.backends]
        processes += [daemon.process for daemon in self.daemons]
        processes += self.relays
        if self.platform is not None:
            processes.append(self.platform.process)
        for process in processes:
            process.kill()
        shutil.rmtree(self.folder, ignore_errors=True)

    @property
    def platform_address(self) -> str:
        assert self.platform is not None
        return self.platform.address

    def start(self, name: str, command: Sequence[str]) -> Process:
        """Starts a program from build/bin."""
        program = BINARIES / command[0]
        return Process(name, [str(program), *command[1:]], self.folder / f"{name}.log")

    def start_daemon(self, name: str, data_centre: str) -> Daemon:
        """Starts a daemon without waiting until it serves; its `addresses()` wait for that."""
        settings = {
            "fleet": self.name, "name": name, "data_centre": data_centre,
            "caller_address": ANY_ADDRESS, "admin_address": ANY_ADDRESS,
            **self._transport_settings(name, data_centre), "membership_address": ANY_ADDRESS,
            "platform_address": self.platform_address, "admin_token": ADMIN_TOKEN,
            "decisions": self.decisions, "workers": self.workers,
        }
        file = self.folder / f"{name}.yaml"
        file.write_text("".join(f"{key}: {json.dumps(value)}\n" for key, value in settings.items()))
        daemon = Daemon(name, data_centre, self.start(name, ["monsoonliftd", "--settings", str(file)]))
        self.daemons.append(daemon)
        return daemon

    def _transport_settings(self, name: str, data_centre: str) -> dict[str, str]:
        """Returns the settings of a daemon's transport; with links, also starts the relay in front of the daemon."""
        if self.links is None:
            return {"transport_address": ANY_ADDRESS}
        listen = self.links.new_address(data_centre)
        relay = self.start(f"relay-{name}", self.links.relay_command(data_centre, listen))
        self.relays.append(relay)
        return {"transport_address": listen, "advertised_transport_address": relay.addresses()["address"],
                "transport_source_ip": self.links.ip_of(data_centre)}

    def start_backend(self, daemon: Daemon, options: BackendOptions) -> Backend:
        """Starts a backend stand-in whose local daemon is `daemon`."""
        command = [
            "backend-standin", f"--service={options.service}", f"--daemon={daemon.admin}",
            f"--daemon-http={daemon.caller}", f"--slots={options.slots}", f"--connections={options.connections}",
            f"--service-ms={options.service_ms}", f"--distribution={options.distribution}",
            f"--seed={options.seed}", f"--cold-start-ms={options.cold_start_ms}", f"--threads={options.threads}",
            *[f"--calls={target}" for target in options.calls],
        ]
        backend = Backend(options, daemon, self.start(f"backend-{daemon.name}-{options.service}", command))
        self.backends.append(backend)
        return backend

    def start_servers(self, servers: Sequence[tuple[str, BackendOptions]]) -> None:
        """Starts a daemon and a backend stand-in per (data centre, options), all at once; waits for the stand-ins."""
        first = len(self.daemons)
        started = [self.start_daemon(f"vm-{first + index}", data_centre)
                   for index, (data_centre, _) in enumerate(servers)]
        for daemon, (_, options) in zip(started, servers):
            self.start_backend(daemon, options)
        for backend in self.backends:
            backend.process.addresses()

    def submit(self, document: str, author: str = "harness") -> None:
        """Submits a configuration with monsoonctl."""
        file = self.folder / "configuration.yaml"
        file.write_text(document)
        command = [str(BINARIES / "monsoonctl"), "submit", str(file), "--platform", self.platform_address,
                   "--as", author]
        run = subprocess.run(command, capture_output=True, text=True, check=False)
        if run.returncode != 0:
            raise ProcessFailed(f"monsoonctl submit: exit {run.returncode}\n{run.stdout}{run.stderr}")

    def wait_until_serving(self, services: Sequence[tuple[str, str, str]]) -> None:
        """Waits until each daemon answers a request for each (service, method, path) with 200."""
        for daemon in self.daemons:
            for service, method, path in services:
                wait_for(lambda d=daemon, s=service, m=method, p=path: answers(d, s, m, p),
                         f"{daemon.name} to serve {service}")

    def wait_until_homes_are_known(self, services: dict[str, str]) -> None:
        """Waits until each daemon answers a POST with an idempotency key, for each service and its path, with 200."""
        for daemon in self.daemons:
            for service, path in services.items():
                wait_for(lambda d=daemon, s=service, p=path: answers(d, s, "POST", p, key=str(uuid.uuid4())),
                         f"{daemon.name} to answer keyed calls of {service}")

    def callers(self, data_centre: str | None = None) -> list[str]:
        """Returns the caller addresses of the daemons in one data centre, or in all."""
        return [daemon.caller for daemon in self.daemons if data_centre in (None, daemon.data_centre)]

    def total(self, counter: str, service: str | None = None) -> int:
        """Returns the sum of a counter over the running backend stand-ins, of one service or of all."""
        return sum(backend.stats()[counter] for backend in self.backends
                   if backend.process.running and service in (None, backend.options.service))

    def amplification(self) -> float:
        """Returns the number of requests that reached backend servers per distinct call that reached them."""
        different = {(backend.options.service, token) for backend in self.backends for token in backend.tokens()}
        return self.total("arrived") / max(1, len(different))


def answers(daemon: Daemon, service: str, method: str, path: str, key: str = "") -> bool:
    """Returns whether a call through `daemon` is answered with 200."""
    headers = {"Monsoonlift-Service": service}
    if key:
        headers["Idempotency-Key"] = key
    try:
        return http.call(daemon.caller, method, path, headers=headers).status == 200
    except OSError:
        return False


def wait_for(condition: Callable[[], bool], what: str, patience_s: float = CONVERGE_PATIENCE_S) -> None:
    """Waits until `condition` holds; raises ProcessFailed after `patience_s`."""
    end = time.monotonic() + patience_s
    while not condition():
        if time.monotonic() > end:
            raise ProcessFailed(f"waited {patience_s} s for {what}")
        time.sleep(0.05)
