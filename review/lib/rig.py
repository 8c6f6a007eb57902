"""Stand-ins and process control for the review's scripts.

One asyncio program plays the platform's store, the endpoints and the clients, as PROTOCOL.md describes them,
and starts each daemon as a separate process with the command and the settings template of the deploy file.
Everything listens on 127.0.0.1 at free ports.
"""
from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPLOY = (ROOT / "deploy/system.toml").read_text()
HOST_IP = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played, so it says nothing about the rule."""


class Record:
    """Writes what happened to record.txt, one JSON object a line, with seconds since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._began = time.monotonic()
        self._file = open(folder / "record.txt", "w", encoding="utf-8")

    def now(self) -> float:
        return time.monotonic() - self._began

    def write(self, what: str, **fields: object) -> None:
        line = {"t": round(self.now(), 3), "what": what, **fields}
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()

    def close(self) -> None:
        self._file.close()


# --- HTTP/1.1 ---------------------------------------------------------------------------------------------

async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Returns first line, headers by lower-case name and body; None if the connection ended."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    try:
        body = await read_body(reader, headers)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def answer_bytes(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    lines = [f"HTTP/1.1 {status} {'OK' if status < 300 else 'Status'}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


async def ask(port: int, method: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None,
              patience: float = 5.0) -> tuple[int, dict[str, str], bytes] | None:
    """One request on a new connection; None if there was no whole answer in time."""

    async def exchange() -> tuple[int, dict[str, str], bytes] | None:
        reader, writer = await asyncio.open_connection(HOST_IP, port)
        try:
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in {"Host": f"{HOST_IP}:{port}", **(headers or {})}.items()]
            lines += [f"Content-Length: {len(body)}"] if body or method != "GET" else []
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return None
            return int(message[0].split()[1]), message[1], message[2]
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), patience)
    except (OSError, asyncio.TimeoutError, ValueError, IndexError):
        return None


def free_ports(count: int) -> list[int]:
    """Ports that are free for both TCP and UDP, and that no outgoing connection of this machine is given."""
    held: list[socket.socket] = []
    ports: list[int] = []
    given = free_ports.given
    while len(ports) < count:
        stream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        datagram = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        held += [stream, datagram]
        port = random.randrange(12_000, 30_000)
        if port in given:
            continue
        given.add(port)
        try:
            stream.bind((HOST_IP, port))
            datagram.bind((HOST_IP, port))
        except OSError:
            continue
        ports.append(port)
    for each in held:
        each.close()
    return ports


free_ports.given = set()  #: Ports given out before, which their daemon may not have bound yet.


# --- the platform's store ---------------------------------------------------------------------------------

class Store:
    """The metadata store: objects by kind and name, conditions, lists and watches."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.revision = 1
        self.kinds: dict[str, dict[str, dict]] = {}
        self.history: list[tuple[int, str, dict, bool]] = []
        self.changed = asyncio.Event()
        self.port = 0

        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST_IP, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def move(self) -> None:
        """Serves the same objects at another address, and nothing at the former one."""
        former, open_before = self._server, list(self._writers)
        await self.start()
        former.close()
        for writer in open_before:
            writer.close()
        self.record.write("store moved", port=self.port)

    def put(self, kind: str, name: str, spec: object) -> dict:
        objects = self.kinds.setdefault(kind, {})
        before = objects.get(name)
        self.revision += 1
        created = before["Metadata"]["CreatedRev"] if before else self.revision
        metadata = {"Name": name, "Rev": self.revision, "CreatedRev": created, "Finalizers": [], "Deleting": False}
        objects[name] = {"Metadata": metadata, "Spec": spec, "Status": None}
        self._note(kind, objects[name], False)
        return objects[name]

    def _note(self, kind: str, stored: dict, deleted: bool) -> None:
        self.history.append((self.revision, kind, stored, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError):
            while (message := await read_message(reader)) is not None:
                method, target, _ = message[0].split(" ", 2)
                status, value = await self._answer(method, target, message[2])
                writer.write(answer_bytes(status, json.dumps(value).encode(), {"Content-Type": "application/json"}))
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, method: str, target: str, body: bytes) -> tuple[int, object]:
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.split("/")]
        if parts[:3] != ["", "api", "objects"] or len(parts) < 4:
            return 404, {}
        kind, name = parts[3], parts[4] if len(parts) > 4 else None
        if method == "GET" and name is None:
            return await self._list(kind, query)
        return self._one(method, kind, name, query, json.loads(body) if body else {})

    async def _list(self, kind: str, query: dict[str, str]) -> tuple[int, object]:
        if "Watch" not in query:
            names = sorted(each for each in self.kinds.get(kind, {}) if each > query.get("after", ""))
            items = [self.kinds[kind][each] for each in names]
            return 200, {"items": items, "More": False, "StoreRevision": self.revision}
        until = time.monotonic() + int(query.get("WaitMs", "0")) / 1000
        while True:
            events = [{"Object": stored, "Deleted": deleted} for revision, of, stored, deleted in self.history
                      if revision > int(query["Watch"]) and of == kind]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "StoreRevision": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)

    def _one(self, method: str, kind: str, name: str | None, query: dict, sent: dict) -> tuple[int, object]:
        objects = self.kinds.setdefault(kind, {})
        metadata = sent.get("Metadata", {})
        name = name or metadata.get("Name", "")
        known = objects.get(name)
        expected = int(query.get("Rev", metadata.get("Rev", 0)) or 0)
        if method == "GET":
            return (200, known) if known else (404, {})
        if method == "POST":
            return (409, known) if known else (200, self.put(kind, name, sent.get("Spec")))
        if known is None:
            return 404, {}
        if expected and expected != known["Metadata"]["Rev"]:
            return 409, known
        if method == "PUT":
            return 200, known if known["Spec"] == sent.get("Spec") else self.put(kind, name, sent.get("Spec"))
        if method == "DELETE":
            self.revision += 1
            self._note(kind, objects.pop(name), True)
            return 200, known
        return 405, {}


# --- endpoints ----------------------------------------------------------------------------------------------

class Endpoint:
    """An application endpoint of one service, with its check-ins."""

    def __init__(self, record: Record, service: str, control: int, slots: int = 16, work_s: float = 0.02) -> None:
        self.record = record
        self.service = service
        self.control = control
        self.slots = slots
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.id = f"i-{os.urandom(4).hex()}"
        self.sequence = 0
        self.state = "ready"
        self.port = 0
        self.runs: list[tuple[float, str, str]] = []  #: Time, request id and path of each run.
        self._busy = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST_IP, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def end(self) -> None:
        """The endpoint's process ends: its connections close, and what runs there is lost."""
        self._server.close()
        for writer in self._writers:
            writer.close()
        self.record.write("endpoint ended", endpoint=self.id, at_work=self._busy)

    async def beat(self) -> int | None:
        """One check-in with the current state; returns the status of the answer."""
        self.sequence += 1
        sent = {"Service": self.service, "Address": f"{HOST_IP}:{self.port}", "Zone": "a", "Version": "v1",
                "Slots": self.slots, "State": self.state, "ColdRemainingMs": 0, "Sequence": self.sequence,
                "born": self.born}
        answer = await ask(self.control, "POST", f"/api/Instances.Heartbeat/{self.id}", json.dumps(sent).encode(),
                           {"Content-Type": "application/json"}, 1.0)
        return answer[0] if answer else None

    async def keep_beating(self, interval_s: float = 1.5) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(interval_s)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError):
            while (message := await read_message(reader)) is not None:
                writer.write(await self._answer(*message))
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, line: str, headers: dict[str, str], body: bytes) -> bytes:
        method, path, _ = line.split(" ", 2)
        request = headers.get("x-request-id", "")
        echoed = {"X-Request-Id": request}
        if headers.get("x-expect-instance", self.id) != self.id:
            return answer_bytes(421, b"", {**echoed, "X-Instance-Id": self.id})
        if self._busy >= self.slots:
            return answer_bytes(503, b"", {**echoed, "X-Not-Executed": "1"})
        self._busy += 1
        self.runs.append((self.record.now(), request, path))
        self.record.write("run", service=self.service, endpoint=self.id, request=request, path=path)
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self._busy -= 1
        return answer_bytes(200, f"{self.service} {request}".encode(),
                            {**echoed, "X-Server-Stamp": f"{self.id}.{request}"})


# --- machines -----------------------------------------------------------------------------------------------

class Machine:
    """A machine with one daemon process; the endpoint beside it belongs to the script."""

    def __init__(self, rig: "Rig", name: str, service: str) -> None:
        ports = free_ports(6)
        self.rig = rig
        self.name = name
        self.service = service
        self.transport, self.admin, self.outbound, self.ready, self.control, self.app = ports
        self.process: subprocess.Popen | None = None
        self.bounds = dict(rig.bounds)
        self._log = rig.folder / f"{name}.log"

    def settings(self) -> dict:
        return {"NodeName": self.name, "Zone": "a", "Ip": HOST_IP, "Service": self.service,
                "AppAddr": f"{HOST_IP}:{self.app}",
                "Listen": {"Outbound": f"{HOST_IP}:{self.outbound}", "Control": f"{HOST_IP}:{self.control}",
                           "Ready": f"{HOST_IP}:{self.ready}"},
                "PortRange": [self.transport, self.admin], "Bounds": self.bounds,
                "Platform": {"Address": f"{HOST_IP}:{self.rig.store.port}"}}

    def start(self) -> None:
        """Starts the daemon with the settings in effect now, as the deploy file says."""
        run = re.search(r'^run = "([^"]+)"', DEPLOY, re.M).group(1)
        path = self.write_settings()
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["MONSOONLIFT_SETTINGS"] = str(path)
        program = run.split()
        if not (ROOT / program[0]).exists():
            raise CannotRun(f"{program[0]} is not built")
        with open(self._log, "ab") as log:
            self.process = subprocess.Popen(program, cwd=ROOT, env=environment, stdout=log, stderr=log,
                                            stdin=subprocess.DEVNULL)
        self.rig.record.write("daemon started", machine=self.name, settings_bounds=self.bounds)

    def write_settings(self) -> pathlib.Path:
        """Places the settings file, as the platform does at every start and whenever the settings change."""
        template = re.search(r'^template = "([^"]+)"', DEPLOY, re.M).group(1)
        path = self.rig.folder / f"{self.name}.yaml"
        path.write_text(render((ROOT / template).read_text(), self.settings()))
        return path

    def change_settings(self) -> None:
        """Places the changed settings file and says so with SIGHUP."""
        self.write_settings()
        self.process.send_signal(signal.SIGHUP)
        self.rig.record.write("SIGHUP", machine=self.name)

    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def log(self) -> str:
        return self._log.read_text(errors="replace") if self._log.exists() else ""

    def kill(self) -> None:
        if self.is_running():
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
            self.rig.record.write("daemon killed", machine=self.name)

    async def is_ready(self) -> bool:
        answer = await ask(self.ready, "GET", "/api/ready", patience=1.0)
        return answer is not None and answer[0] == 200

    async def await_ready(self, patience_s: float) -> None:
        """Returns once the daemon is ready; the case can't run if it isn't in time."""
        until = time.monotonic() + patience_s
        while time.monotonic() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        self.rig.record.write("not ready", machine=self.name, running=self.is_running(),
                              output=self.log().replace(str(self.rig.folder), "")[-3000:])
        raise CannotRun(f"{self.name} did not get ready")


def render(template: str, settings: dict) -> str:
    """Fills in {{a.b}} and {{a|json}}, all that this project's template uses."""

    def value(found: re.Match) -> str:
        at: object = settings
        for step in found.group(1).split("."):
            at = at[int(step)] if isinstance(at, list) else at[step]
        return json.dumps(at) if found.group(2) else str(at)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, template)


class Rig:
    """The folder, the record, the store and the machines of one run."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(self.record)
        self.machines: list[Machine] = []
        self.tasks: list[asyncio.Task] = []
        self.bounds = {"ConfigMs": 2000, "DrainMs": 2000, "GraceS": 6}
        self.requests = 0

    def machine(self, name: str, service: str) -> Machine:
        self.machines.append(Machine(self, name, service))
        return self.machines[-1]

    def background(self, work) -> asyncio.Task:
        self.tasks.append(asyncio.ensure_future(work))
        return self.tasks[-1]

    async def request(self, machine: Machine, path: str, method: str = "GET", deadline_ms: int = 2000,
                      host: str = "app.example") -> tuple[str, int | None, str]:
        """One client attempt on a new connection; returns its id, the status and the service that ran it."""
        self.requests += 1
        name = f"{self.requests:016x}"
        self.record.write("sent", request=name, machine=machine.name, path=path)
        answer = await ask(machine.outbound, method, path, b"",
                           {"Host": host, "X-Request-Id": name, "X-Deadline-Ms": str(deadline_ms)},
                           deadline_ms / 1000 + 1)
        status = answer[0] if answer else None
        ran = answer[2].decode().split(" ")[0] if answer and answer[0] == 200 else ""
        self.record.write("answered", request=name, status=status, by=ran)
        return name, status, ran

    async def end(self) -> None:
        for task in self.tasks:
            task.cancel()
        for machine in self.machines:
            machine.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version: int, routes: list[tuple[str, str, str, str]], services: list[str]) -> dict:
    """`config/main` with routes (name, path prefix, kind, service) of one host."""
    rules = [{"Name": name, "Kind": kind, "TargetLatencyMs": 1500, "Priority": 2, "Match": {"PathPrefix": prefix},
              "Action": {"Service": service, "TimeoutMs": 1000, "MaxAttempts": 2}}
             for name, prefix, kind, service in routes]
    return {"Version": f"{version:08x}",
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000},
            "Listeners": [{"Host": "app.example", "Rules": rules}],
            "Clusters": [{"Name": name, "HealthPath": "/healthz", "MaxConnections": 406, "Protocol": "h1",
                          "Tls": False} for name in services]}


def play(folder: pathlib.Path, case) -> None:
    """Runs the coroutine function `case(rig)`, which returns what broke or an empty text; ends the program."""

    async def run() -> int:
        rig = Rig(folder)
        try:
            await rig.store.start()
            broken = await asyncio.wait_for(case(rig), 110)
            rig.record.write("verdict", broken=broken or "nothing", trouble=TROUBLE)
            print(f"{'BROKEN: ' + broken if broken else 'the rule held'} (TROUBLE={int(TROUBLE)})")
            return BROKEN if broken else HELD
        except (CannotRun, asyncio.TimeoutError) as failure:
            rig.record.write("could not run", why=str(failure) or "out of time")
            print(f"could not run: {failure or 'out of time'}", file=sys.stderr)
            return COULD_NOT_RUN
        finally:
            await rig.end()
            rig.record.close()

    code = asyncio.run(run())
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)  # Connections of a client that gave up may still be open; their clean-up would only make noise.
