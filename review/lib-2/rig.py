"""Small stand-ins for the scripts of the second review: the platform's store, endpoints and clients, all in one
asyncio process, and the daemons as separate processes started by the command of the deploy file. Everything
listens on loopback addresses only."""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
START = time.monotonic()
BOUNDS = {
    "SeedLagS": 3, "ReuseAfterS": 2, "StableWindowMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2000,
    "GraceS": 6, "LostSlackMs": 200, "ConfigMs": 2000, "RollbackSlackMs": 250, "MaxStretchMs": 5000,
    "BudgetRatio": 0.2, "BudgetWindowS": 10, "BudgetSlack": 48, "RecoverS": 15,
}


def now():
    return time.monotonic() - START


class Record:
    """Lines of what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, *words):
        self.file.write(f"{now():9.3f} " + " ".join(str(word) for word in words) + "\n")
        self.file.flush()


def free_ports(ip, count):
    held, ports = [], []
    while len(ports) < count:
        probe = socket.socket()
        probe.bind((ip, 0))
        held.append(probe)
        ports.append(probe.getsockname()[1])
    for probe in held:
        probe.close()
    return ports


async def read_head(reader):
    """Reads a message head; returns (first line, list of header pairs)."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields.append((name.strip().lower(), value.strip()))
    return lines[0], fields


def field(fields, name, default=None):
    for key, value in fields:
        if key == name:
            return value
    return default


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += (await reader.readexactly(size + 2))[:size]
        if size == 0:
            return body


async def read_body(reader, fields):
    if "chunked" in (field(fields, "transfer-encoding") or ""):
        return await read_chunks(reader)
    length = int(field(fields, "content-length") or 0)
    return await reader.readexactly(length) if length else b""


class Store:
    """The platform's metadata store: objects, lists with pages, watches, conditional writes."""

    def __init__(self, record, ip="127.0.0.1"):
        self.record = record
        self.ip = ip
        self.rev = 100
        self.objects = {}
        self.events = []
        self.oldest = 0
        self.changed = asyncio.Event()
        self.mode = "up"  # or "busy": every call is turned away with 503
        self.era = 1
        self.copies = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0, limit=1 << 22)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def put(self, kind, name, spec, note=True):
        """A write of the operator or an endpoint."""
        self.rev += 1
        known = self.objects.setdefault(kind, {}).get(name)
        created = known["Metadata"]["CreatedRev"] if known else self.rev
        made = {"Metadata": {"Name": name, "Rev": self.rev, "CreatedRev": created, "Finalizers": [],
                             "Deleting": False}, "Spec": spec, "Status": None}
        self.objects[kind][name] = made
        self.note(kind, made, False)
        if note:
            self.record("store", kind, name, "rev", self.rev)
        return made

    def copy(self):
        """Takes a copy of the store as it is now."""
        self.copies.append(json.dumps([self.rev, self.objects, self.events]))

    def restore(self):
        """Comes back from the latest copy: what was written since is gone, and the era rises."""
        self.rev, self.objects, self.events = json.loads(self.copies.pop())
        self.era += 1
        self.record("store restored, rev", self.rev, "era", self.era)
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def note(self, kind, made, deleted):
        self.events.append((self.rev, kind, {"Object": made, "Deleted": deleted}))
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    async def serve(self, reader, writer):
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                method, target, _ = line.split(" ")
                if self.mode == "busy":
                    status, answer = 503, {}
                else:
                    status, answer = await self.answer(method, target, body)
                text = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nStore-Era: %d\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, self.era, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        asked = dict(part.partition("=")[::2] for part in query.split("&") if part)
        parts = path.split("/")[3:]
        kind = parts[0]
        name = parts[1].replace("%3A", ":").replace("%3a", ":") if len(parts) > 1 else None
        held = self.objects.setdefault(kind, {})
        if method == "GET" and "Watch" in asked:
            return await self.watch(kind, int(asked["Watch"]), int(asked.get("WaitMs", 0)))
        if method == "GET" and name is None:
            names = sorted(each for each in held if each > asked.get("after", ""))
            return 200, {"items": [held[each] for each in names[:500]], "More": len(names) > 500,
                         "StoreRevision": self.rev}
        if method == "GET":
            return (200, held[name]) if name in held else (404, {})
        sent = json.loads(body) if body else {}
        if method == "POST":
            name = sent["Metadata"]["Name"]
            if name in held:
                return 409, held[name]
            return 200, self.put(kind, name, sent.get("Spec"), False)
        if name not in held:
            return 404, {}
        rev = asked.get("Rev") or sent.get("Metadata", {}).get("Rev")
        if rev is not None and int(rev) != held[name]["Metadata"]["Rev"]:
            return 409, held[name]
        if method == "DELETE":
            gone = held.pop(name)
            self.rev += 1
            self.note(kind, gone, True)
            return 200, gone
        if held[name]["Spec"] == sent.get("Spec"):
            return 200, held[name]
        return 200, self.put(kind, name, sent.get("Spec"), False)

    async def watch(self, kind, since, wait_ms):
        if since > self.rev or since < self.oldest:
            return 410, {}
        until = time.monotonic() + wait_ms / 1000
        while True:
            found = [event for rev, of, event in self.events if rev > since and of == kind]
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "StoreRevision": self.rev}
            try:
                await asyncio.wait_for(asyncio.shield(self.changed.wait()), left)
            except asyncio.TimeoutError:
                pass


def render(template, values):
    """Fills in the few forms of placeholder that deploy/node.yaml uses."""

    def look(path):
        at = values
        for step in path.split("."):
            at = at[int(step)] if isinstance(at, list) else at.get(step) if isinstance(at, dict) else None
        return at

    def section(found):
        return found.group(2) if look(found.group(1)) else ""

    text = re.sub(r"{{#([\w.]+)}}\n(.*?){{/\1}}\n", section, template, flags=re.S)

    def place(found):
        value = look(found.group(1))
        if found.group(2):
            return json.dumps(value)
        return "" if value is None else str(value)

    return re.sub(r"{{([\w.]+)(\|json)?}}", place, text)


class Daemon:
    """One machine: the daemon's process, its settings file and its addresses."""

    def __init__(self, rig, name, service, zone="palermo", bounds=None):
        self.rig = rig
        self.name, self.service, self.zone = name, service, zone
        self.ip = rig.next_ip()
        ports = free_ports(self.ip, 6)
        self.inbound, self.app, self.ready, self.outbound, self.control, _ = (
            f"{self.ip}:{port}" for port in ports)
        self.ports = rig.ports
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.process = None

    def settings(self):
        return {"NodeName": self.name, "Ip": self.ip, "Zone": self.zone, "Region": "sicilia",
                "Listen": {"Inbound": self.inbound, "Outbound": self.outbound, "Ready": self.ready,
                           "Control": self.control},
                "PortRange": self.ports, "Bounds": self.bounds, "AppAddr": self.app, "Service": self.service,
                "Platform": {"Address": self.rig.platform_address(self)}}

    async def start(self):
        role = self.rig.role
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = render(file.read(), self.settings())
        path = os.path.join(self.rig.folder, self.name + ".yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        self.log = open(os.path.join(self.rig.folder, self.name + ".log"), "ab")
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        self.process = await asyncio.create_subprocess_exec(
            *role["run"].split(" "), cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=self.log,
            stderr=self.log, env=dict(kept, MONSOONLIFT_SETTINGS=path))
        self.rig.processes.append(self.process)
        self.rig.record("start", self.name, "pid", self.process.pid)

    def signal(self, number):
        self.rig.record("signal", signal.Signals(number).name, "to", self.name)
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(request(self.ready, "GET", "/api/ready", {}), 1)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer.status == 200

    async def wait_ready(self, seconds=25):
        until = now() + seconds
        while not await self.is_ready():
            if now() > until or self.process.returncode is not None:
                raise RuntimeError(f"{self.name} didn't become ready")
            await asyncio.sleep(0.1)

    def peak_mb(self):
        with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
            for line in file:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) / 1024
        return 0


class Answer:
    def __init__(self, status, fields, body, closed):
        self.status, self.fields, self.body, self.closed = status, fields, body, closed

    def __getitem__(self, name):
        return field(self.fields, name.lower())


async def read_answer(reader, method="GET"):
    line, fields = await read_head(reader)
    status = int(line.split(" ")[1])
    if status == 100:
        return await read_answer(reader, method)
    if method == "HEAD" or status in (204, 304):
        body = b""
    elif "chunked" in (field(fields, "transfer-encoding") or "") or field(fields, "content-length"):
        body = await read_body(reader, fields)
    else:
        body = await reader.read()
    return Answer(status, fields, body, "close" in (field(fields, "connection") or ""))


def head_bytes(method, target, fields):
    lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


async def connect(address):
    ip, _, port = address.rpartition(":")
    return await asyncio.open_connection(ip, int(port), limit=1 << 22)


async def request(address, method, target, fields, body=b""):
    reader, writer = await connect(address)
    try:
        fields = dict({"Host": address}, **fields)
        if body:
            fields["Content-Length"] = len(body)
        writer.write(head_bytes(method, target, fields) + body)
        return await read_answer(reader, method)
    finally:
        writer.close()


class Endpoint:
    """An endpoint beside a daemon: checks in, runs requests, records each run."""

    def __init__(self, rig, daemon, slots=50, work=None):
        self.rig, self.daemon, self.slots = rig, daemon, slots
        self.work = work  # async work(endpoint, call) -> (status, body), after the run was recorded
        self.runs = []
        self.state = "ready"
        self.beating = True
        self.server = None
        self.born()

    def born(self):
        self.id = "i-%08x" % random.getrandbits(32)
        self.started = int(time.time() * 1000)
        self.sequence = 0

    async def start(self):
        ip, _, port = self.daemon.app.rpartition(":")
        self.server = await asyncio.start_server(self.serve, ip, int(port), limit=1 << 22)
        self.beats = asyncio.create_task(self.beat_on())

    def about(self):
        self.sequence += 1
        return {"Service": self.daemon.service, "Address": self.daemon.app, "Zone": self.daemon.zone,
                "Version": "v1", "Slots": self.slots, "State": self.state, "ColdRemainingMs": 0,
                "Sequence": self.sequence, "born": self.started}

    async def post(self, path, about):
        text = json.dumps(about).encode()
        try:
            answer = await asyncio.wait_for(
                request(self.daemon.control, "POST", path, {"Content-Type": "application/json"}, text), 1)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        return 200 <= answer.status < 300

    async def beat(self):
        return await self.post(f"/api/Instances.Heartbeat/{self.id}", self.about())

    async def beat_on(self):
        while True:
            if self.beating:
                await self.beat()
            await asyncio.sleep(1.5)

    async def deregister(self):
        return await self.post(f"/api/Instances.Deregister/{self.id}", {"born": self.started})

    async def serve(self, reader, writer):
        try:
            while True:
                line, fields = await read_head(reader)
                method, target, _ = line.split(" ")
                body = await read_body(reader, fields)
                name = field(fields, "x-request-id")
                expected = field(fields, "x-expect-instance")
                if expected and expected != self.id:
                    self.rig.record("misdirected", name, "at", self.daemon.name)
                    await self.reply(writer, 421, b"", {"X-Instance-Id": self.id})
                    continue
                run = {"id": name, "at": now(), "method": method, "target": target, "body": body,
                       "fields": fields, "endpoint": self}
                self.runs.append(run)
                self.rig.record("run", name, method, target, "at", self.daemon.name, "of", self.daemon.service,
                                "left", field(fields, "x-deadline-ms"), "caller",
                                field(fields, "x-caller-service"))
                status, answer = await self.work(self, run) if self.work else (200, b"ok")
                if status is None:
                    return
                await self.reply(writer, status, answer, {"X-Request-Id": name, "X-Server-Stamp": self.id})
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    async def reply(self, writer, status, body, fields):
        lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in fields.items()]
        lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()


def route(name, host, prefix, service, kind="safe", timeout=3000, attempts=2, **more):
    action = {"TimeoutMs": timeout, "MaxAttempts": attempts}
    action.update({"TrafficSplit": service} if isinstance(service, list) else {"Service": service})
    rule = {"Name": name, "Kind": kind, "TargetLatencyMs": 1500, "Priority": 2,
            "Match": {"PathPrefix": prefix}, "Action": action}
    rule.update(more)
    return host, rule


def configuration(version, routes, services, **more):
    hosts = {}
    for host, rule in routes:
        hosts.setdefault(host, []).append(rule)
    made = {"Version": "%08x" % version,
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000},
            "Listeners": [{"Host": host, "Rules": rules} for host, rules in hosts.items()],
            "Clusters": [{"Name": name, "HealthPath": "/healthz", "MaxConnections": 400, "Protocol": "h1",
                          "Tls": False} for name in services]}
    made.update(more)
    return made


class Rig:
    def __init__(self, record_path):
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes = []
        self.store = Store(self.record)
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["daemon"]
        self.network = random.randrange(1, 250)
        self.used = 0
        first = free_ports("127.0.0.1", 1)[0]
        self.ports = [first, first + 15 if first < 65000 else first - 15]
        if not os.access(os.path.join(ROOT, self.role["run"].split(" ")[0]), os.X_OK):
            raise RuntimeError("the daemon isn't built")

    def next_ip(self):
        self.used += 1
        return f"127.{self.network}.{random.randrange(1, 250)}.{self.used}"

    def platform_address(self, daemon):
        return self.store.address

    async def end(self):
        """Ends what still runs: first the tasks, as some of them start processes, then the processes."""
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
        await asyncio.sleep(0)
        for process in self.processes:
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
                await process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def play(case, folder):
    """Runs `case(rig, trouble)`, which returns whether the rule held, and exits as the review asks."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        rig = None
        try:
            rig = Rig(os.path.join(folder, "record.txt"))
            rig.record("trouble" if trouble else "no trouble")
            await rig.store.start()
            held = await asyncio.wait_for(case(rig, trouble), 110)
            rig.record("the rule", "held" if held else "was broken")
            return 0 if held else 1
        except Exception as failure:  # the case couldn't run
            print(repr(failure), file=sys.stderr)
            if rig:
                rig.record("couldn't run:", repr(failure))
            return 2
        finally:
            if rig:
                await rig.end()

    code = asyncio.run(run())
    print({0: "held", 1: "broken", 2: "couldn't run"}[code])
    sys.stdout.flush()
    os._exit(code)
