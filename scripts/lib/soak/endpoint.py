"""A backend server of the platform: sends heartbeats to its local daemon, runs requests and records the runs."""
from __future__ import annotations

import http.server
import json
import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from harness import http as calls
from harness.quiet_server import QuietServer
from harness.sockets import reset_at_close
from soak.checker import Attempt, Run

HEARTBEAT_S = 0.3
HEARTBEAT_PATIENCE_S = 1.0
SLOTS = 8
QUEUE_PATIENCE_S = 0.5
MAX_IDLE_S = 0.3
CALL_SHARE = 0.2  # Share of POST requests that make a call to the map service while they run.
LARGE_SHARE = 0.05
LARGE_BYTES = 300_000
SERVE_AFTER_LEAVING_S = 3.5  # A leaving server keeps serving for this long after the answer to its leave message.
LATE_HEARTBEAT_DELAY_S = (0.3, 3.0)  # Delay range after leaving for a late heartbeat from before it.
START_TIME_SHARE = 0.5  # Share of deregistrations that contain the start time of the server; the others have no body.


@dataclass
class Misbehaviour:
    """The faults that a backend server currently simulates."""

    slow_x: float = 1.0
    loses_answers: bool = False
    cuts_answers: bool = False
    forgets_connections: bool = False
    refuses: bool = False
    work_s: float | None = None  # Run time of each request, before slow_x; drawn at random if None.
    asks: bool | None = None  # Whether each run makes a nested call; drawn at random for POST requests if None.
    # Answers each request in place of the server, which reads nothing of its body and records no run.
    answers_instead: Callable[[http.server.BaseHTTPRequestHandler], None] | None = None


def answer_body(name: str, stamp: str, filling: int) -> bytes:
    """Returns a response body from which a caller can check that it is complete and belongs to its request."""
    return json.dumps({"id": name, "stamp": stamp, "length": filling, "filling": "x" * filling}).encode()


def is_own_body(name: str, stamp: str, body: bytes) -> bool:
    """Returns whether `body` is the complete response of the run `stamp` of the request `name`."""
    try:
        document = json.loads(body)
        return (document["id"], document["stamp"], len(document["filling"])) == (name, stamp, document["length"])
    except (ValueError, KeyError, TypeError):
        return False


class Endpoint:
    """The backend server of one VM through all its incarnations; each incarnation has its own instance name."""

    def __init__(self, name: str, service: str, address: tuple[str, int], control: str, seed: int,
                 ran: Callable[[Run], None], ask: Callable[[str], Attempt]) -> None:
        self.service = service
        self.misbehaviour = Misbehaviour()
        self.instance = ""
        self._name = name
        self._address = address
        self._control = control
        self._draw = random.Random(seed)
        self._ran = ran
        self._ask = ask
        self._slots = threading.Semaphore(SLOTS)
        self._incarnations = 0
        self._runs = 0
        self._sequence = 0
        self._born_ms = 0
        self._state = "ready"
        self._server: QuietServer | None = None
        self._lock = threading.Lock()
        self._ended = threading.Event()
        self._heartbeat_thread = threading.Thread(target=self._send_heartbeats, daemon=True)

    def start(self) -> None:
        self.open()
        self._heartbeat_thread.start()

    def open(self) -> None:
        """Starts a new incarnation."""
        with self._lock:
            self._incarnations += 1
            self.instance = f"{self._name}-{self._incarnations}"
            self._sequence = 0
            self._born_ms = time.time_ns() // 1_000_000
            self._state = "ready"
            self._server = QuietServer(self._address, self._serve)

    def shut(self) -> None:
        """Ends the incarnation at once and resets every connection."""
        with self._lock:
            server, self._server = self._server, None
        if server is not None:
            server.end()

    def close(self) -> None:
        self._ended.set()
        self.shut()

    def drain(self, abrupt: bool, then: Callable[[], None] = lambda: None) -> tuple[str, float | None]:
        """Leaves; returns the instance and the time when its leave message was acknowledged, None if it was not.

        The leave message is a heartbeat with the state draining, followed by a deregistration at the end; if `abrupt`,
        it is the deregistration itself. Calls `then` right after the answer to the leave message, or its failure.
        Later sends a heartbeat from before leaving, as if it had been delayed.
        """
        leaving = self.instance
        delayed = self.next_heartbeat()
        self._state = "left" if abrupt else "draining"
        was_acknowledged = self._deregister(leaving) if abrupt else self.post(self.next_heartbeat())
        acknowledged = time.monotonic() if was_acknowledged else None
        began = time.monotonic()
        delay_s = self._draw.uniform(*LATE_HEARTBEAT_DELAY_S)
        then()
        time.sleep(max(0.0, began + delay_s - time.monotonic()))
        self.post(delayed)
        time.sleep(max(0.0, began + SERVE_AFTER_LEAVING_S - time.monotonic()))
        if not abrupt:
            self._deregister(leaving)
        self.shut()
        return leaving, acknowledged

    def _deregister(self, leaving: str) -> bool:
        """Deregisters an instance; returns whether that was acknowledged. The server leaves in any case."""
        body = {"born": self._born_ms} if self._draw.random() < START_TIME_SHARE else None
        return self.post((f"/api/Instances.Deregister/{leaving}", body))

    def _send_heartbeats(self) -> None:
        while not self._ended.wait(HEARTBEAT_S):
            if self._server is not None and self._state != "left":
                self.post(self.next_heartbeat())

    def next_heartbeat(self) -> tuple[str, dict[str, object]]:
        """Returns the path and the body of the next heartbeat."""
        with self._lock:
            self._sequence += 1
            body = {"Service": self.service, "Address": f"{self._address[0]}:{self._address[1]}", "Zone": "any",
                    "Version": "v1", "Slots": SLOTS, "State": self._state, "ColdRemainingMs": 0,
                    "Sequence": self._sequence, "born": self._born_ms}
            return f"/api/Instances.Heartbeat/{self.instance}", body

    def post(self, message: tuple[str, dict[str, object] | None]) -> bool:
        """Sends a heartbeat or a deregistration to the daemon; returns whether it was acknowledged."""
        path, body = message
        try:
            return calls.call(self._control, "POST", path, body=json.dumps(body).encode() if body else b"",
                              headers={"Content-Type": "application/json"},
                              patience_s=HEARTBEAT_PATIENCE_S).status == 200
        except (OSError, calls.http.client.HTTPException):
            return False

    def _serve(self, handler: http.server.BaseHTTPRequestHandler) -> None:
        if self.misbehaviour.answers_instead is not None:
            self.misbehaviour.answers_instead(handler)
            return
        body = handler.rfile.read(int(handler.headers.get("Content-Length", 0)))
        now = time.monotonic()
        idle_s = now - getattr(handler, "idle_since", now)
        if self.misbehaviour.forgets_connections and idle_s > MAX_IDLE_S:
            reset(handler)
            return
        expected = handler.headers.get("X-Expect-Instance", self.instance)
        if expected != self.instance:
            self._refuse(handler, 421)
        elif self.misbehaviour.refuses or not self._slots.acquire(timeout=QUEUE_PATIENCE_S):
            self._refuse(handler, 503)
        else:
            try:
                self._run(handler, body, now)
            finally:
                self._slots.release()
        handler.idle_since = time.monotonic()

    def _refuse(self, handler: http.server.BaseHTTPRequestHandler, status: int) -> None:
        handler.send_response(status)
        handler.send_header("X-Not-Executed", "1")
        handler.send_header("X-Request-Id", handler.headers.get("X-Request-Id", ""))
        handler.send_header("Content-Length", "0")
        handler.end_headers()

    def _run(self, handler: http.server.BaseHTTPRequestHandler, body: bytes, arrived: float) -> None:
        name = handler.headers.get("X-Request-Id", "")
        with self._lock:
            self._runs += 1
            stamp = f"{self.instance}.{self._runs}"
            work_s = self._draw.uniform(0.002, 0.03)
            asks = handler.command == "POST" and self._draw.random() < CALL_SHARE
            work_s = work_s if self.misbehaviour.work_s is None else self.misbehaviour.work_s
            asks = asks if self.misbehaviour.asks is None else self.misbehaviour.asks
            filling = LARGE_BYTES if self._draw.random() < LARGE_SHARE else self._draw.randrange(2000)
        self._ran(Run(name, self.service, self.instance, stamp, handler.command, handler.path, body,
                      handler.headers.get("X-Caller-Service", ""), arrived))
        time.sleep(work_s * self.misbehaviour.slow_x)
        failed = asks and self._ask(f"{name}.1").status != 200
        if self.misbehaviour.loses_answers:
            reset(handler)
            return
        self._answer(handler, 500 if failed else 200, stamp, answer_body(name, stamp, filling))

    def _answer(self, handler: http.server.BaseHTTPRequestHandler, status: int, stamp: str, text: bytes) -> None:
        handler.send_response(status)
        handler.send_header("X-Request-Id", handler.headers.get("X-Request-Id", ""))
        handler.send_header("X-Server-Stamp", stamp)
        handler.send_header("Content-Length", str(len(text)))
        handler.end_headers()
        if self.misbehaviour.cuts_answers:
            handler.wfile.write(text[:len(text) // 2])
            reset(handler)
            return
        handler.wfile.write(text)


def reset(handler: http.server.BaseHTTPRequestHandler) -> None:
    """Resets the connection without sending anything more."""
    handler.close_connection = True
    reset_at_close(handler.connection)
    handler.connection.close()
