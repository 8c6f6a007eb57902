"""The operator: writes configurations to the store and knows which one daemons were seen to have in force."""
from __future__ import annotations

import json
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from harness import http as calls
from soak.callers import DISPATCH, HOST, STATUS

VERSION_STEP = 3
WRITE_PATIENCE_S = 2.0
LOOK_S = 0.1
ROUTE_TIMEOUT_MS = 2000
MOST_ATTEMPTS = 2
NOT_KNOWN = frozenset({404, 503})  # A daemon that has no configuration yet answers 503.


def rule(name: str, prefix: str, service: str, safe: bool, timeout_ms: int) -> dict[str, object]:
    """One route as the platform writes it."""
    action = {"Service": service, "TimeoutMs": timeout_ms, "MaxAttempts": MOST_ATTEMPTS}
    return {"Name": name, "Match": {"PathPrefix": prefix}, "Action": action, "Kind": "safe" if safe else "unsafe",
            "Priority": 1 if safe else 0, "TargetLatencyMs": 1000}


def marker_path(version: int) -> str:
    """The path of the route that only this version has."""
    return f"/r{version:08x}/"


def configuration(version: int, timeout_ms: int = ROUTE_TIMEOUT_MS) -> dict[str, object]:
    """A whole configuration."""
    rules = [rule("status", "/status/", STATUS.service, True, timeout_ms),
             rule("dispatch", "/dispatch/", DISPATCH.service, False, timeout_ms),
             rule(f"marker-{version}", marker_path(version), STATUS.service, True, timeout_ms)]
    clusters = [{"Name": name, "MaxConnections": 200} for name in (STATUS.service, DISPATCH.service)]
    return {"Version": f"{version:08x}", "Listeners": [{"Host": HOST, "Rules": rules}], "Clusters": clusters}


@dataclass
class Operator:
    """Writes until the store has acknowledged; reads back after an answer that was lost."""

    store: str
    timeout_ms: int = ROUTE_TIMEOUT_MS
    accepted: list[int] = field(default_factory=list)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def change(self) -> None:
        """One more version."""
        with self._lock:
            version = (self.accepted[-1] if self.accepted else 0) + VERSION_STEP
            while not self._write(version):
                time.sleep(LOOK_S)
            self.accepted.append(version)

    def _write(self, version: int) -> bool:
        try:
            now = calls.call(self.store, "GET", "/api/objects/config/main", patience_s=WRITE_PATIENCE_S)
            metadata = now.json()["Metadata"] if now.status == 200 else {"Name": "main"}
            if now.status == 200 and now.json()["Spec"]["Version"] == f"{version:08x}":
                return True
            written = {"Metadata": metadata, "Spec": configuration(version, self.timeout_ms)}
            path = "/api/objects/config" + ("/main" if now.status == 200 else "")
            answer = calls.call(self.store, "PUT" if now.status == 200 else "POST", path,
                                body=json.dumps(written).encode(), patience_s=WRITE_PATIENCE_S,
                                headers={"Content-Type": "application/json"})
            return now.status in (200, 404) and answer.status == 200
        except (OSError, calls.http.client.HTTPException, ValueError, KeyError):
            return False


@dataclass
class RevisionWatch:
    """Asks daemons for routes that only some versions have, and notes every step back of a process."""

    newest: dict[tuple[int, int], int] = field(default_factory=dict)  # By VM and start of its daemon.

    def look(self, vm: int, start: int, version: int, asked: Callable[[str], int | None]) -> str | None:
        """Looks whether a version is in force there; what was wrong."""
        status = asked(marker_path(version))
        if status is None or status in NOT_KNOWN:
            return None
        before = self.newest.get((vm, start), 0)
        self.newest[vm, start] = max(before, version)
        return f"vm-{vm} went from version {before} to {version}" if version < before else None
