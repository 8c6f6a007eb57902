"""A backend server in the harness process, so that its record of runs survives when daemons are killed."""
from __future__ import annotations

import hashlib
import http.server
import json
import threading
import time
from dataclasses import dataclass, field

from harness import http as calls
from harness.quiet_server import QuietServer

ANNOUNCE_INTERVAL_S = 0.5
POISON_MARKER = b"crash-the-server"


@dataclass(frozen=True)
class Run:
    """One execution of a request."""

    key: str
    path: str
    started: float
    server: str


@dataclass
class Ledger:
    """All runs and crashes on all backend servers of one measurement."""

    runs: list[Run] = field(default_factory=list)
    crashes: int = 0
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def add(self, run: Run) -> None:
        with self._lock:
            self.runs.append(run)

    def count_crash(self) -> None:
        with self._lock:
            self.crashes += 1

    def by_key(self) -> dict[str, list[Run]]:
        """Returns the runs of each idempotency key; leaves out runs without a key."""
        runs_by_key: dict[str, list[Run]] = {}
        with self._lock:
            for run in self.runs:
                if run.key:
                    runs_by_key.setdefault(run.key, []).append(run)
        return runs_by_key


class LedgerBackend:
    """One backend server. It can drop responses after the run, and a poison request crashes it for a while."""

    def __init__(self, name: str, service: str, admin: str, ledger: Ledger, service_s: float, slots: int) -> None:
        self.name = name
        self.ledger = ledger
        self.service_s = service_s
        self.lose_answers = False
        self._service = service
        self._admin = admin
        self._slots = threading.Semaphore(slots)
        self._slot_count = slots
        self._ended = threading.Event()
        self._server: QuietServer | None = None
        self._open()
        self._announcer = threading.Thread(target=self._announce, daemon=True)
        self._announcer.start()

    def move_to(self, admin: str) -> None:
        """Sends the following announcements to another daemon."""
        self._admin = admin

    def close(self) -> None:
        """Ends the server and its announcements."""
        self._ended.set()
        self._shut()

    def crash(self, outage_s: float) -> None:
        """Drops every connection and listens again on a new port after `outage_s`, like a restarted process."""
        self.ledger.count_crash()
        self._shut()
        threading.Timer(outage_s, self._reopen).start()

    def answer(self, handler: http.server.BaseHTTPRequestHandler) -> None:
        """Runs one request and sends its response, unless responses are dropped or the request is poison."""
        body = handler.rfile.read(int(handler.headers.get("Content-Length", 0)))
        with self._slots:
            key = handler.headers.get("Idempotency-Key", "")
            self.ledger.add(Run(key, handler.path, time.monotonic(), self.name))
            if POISON_MARKER in body:
                self.crash(outage_s=1.0)
                handler.close_connection = True
                handler.connection.close()
                return
            time.sleep(self.service_s)
        if self.lose_answers:
            handler.close_connection = True
            handler.connection.close()
            return
        document = {"path": handler.path, "length": len(body), "sha256": hashlib.sha256(body).hexdigest()}
        text = json.dumps(document).encode()
        handler.send_response(200)
        handler.send_header("Content-Type", "application/json")
        handler.send_header("Content-Length", str(len(text)))
        handler.end_headers()
        handler.wfile.write(text)

    def _open(self) -> None:
        self._server = QuietServer(("127.0.0.1", 0), self.answer)

    def _shut(self) -> None:
        server, self._server = self._server, None
        if server is not None:
            server.end()

    def _reopen(self) -> None:
        if not self._ended.is_set() and self._server is None:
            self._open()

    def _announce(self) -> None:
        while not self._ended.wait(ANNOUNCE_INTERVAL_S if self._server else 0.05):
            server = self._server
            if server is None:
                continue
            announcement = {"service": self._service, "address": f"127.0.0.1:{server.server_address[1]}",
                            "slots": self._slot_count, "connections": 200}
            try:
                calls.post_json(self._admin, "/announce", announcement)
            except OSError:
                continue
