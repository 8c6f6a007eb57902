"""Simulates the operator, who writes configurations to the store, and checks that no daemon reverts to an older one."""
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
RETRY_INTERVAL_S = 0.1
ROUTE_TIMEOUT_MS = 2000
MOST_ATTEMPTS = 2
NOT_IN_FORCE = frozenset({404, 503})  # 404: the version is not in force; 503: the daemon has no configuration yet.


def rule(name: str, prefix: str, service: str, safe: bool, timeout_ms: int) -> dict[str, object]:
    """Returns one route in the platform's configuration format."""
    action = {"Service": service, "TimeoutMs": timeout_ms, "MaxAttempts": MOST_ATTEMPTS}
    return {"Name": name, "Match": {"PathPrefix": prefix}, "Action": action, "Kind": "safe" if safe else "unsafe",
            "Priority": 1 if safe else 0, "TargetLatencyMs": 1000}


def marker_path(version: int) -> str:
    """Returns the path prefix of the marker route, which only this version of the configuration has."""
    return f"/r{version:08x}/"


def configuration(version: int, timeout_ms: int = ROUTE_TIMEOUT_MS) -> dict[str, object]:
    """Returns a complete configuration, with a marker route for its version."""
    rules = [rule("status", "/status/", STATUS.service, True, timeout_ms),
             rule("dispatch", "/dispatch/", DISPATCH.service, False, timeout_ms),
             rule(f"marker-{version}", marker_path(version), STATUS.service, True, timeout_ms)]
    clusters = [{"Name": name, "MaxConnections": 200} for name in (STATUS.service, DISPATCH.service)]
    return {"Version": f"{version:08x}", "Listeners": [{"Host": HOST, "Rules": rules}], "Clusters": clusters}


@dataclass
class Operator:
    """Retries each write until the store has accepted it; reads first, since only the last response may have been lost."""

    store: str
    timeout_ms: int = ROUTE_TIMEOUT_MS
    accepted: list[int] = field(default_factory=list)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def change(self) -> None:
        """Writes the next version of the configuration."""
        with self._lock:
            version = (self.accepted[-1] if self.accepted else 0) + VERSION_STEP
            while not self._write(version):
                time.sleep(RETRY_INTERVAL_S)
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
    """Detects daemon processes that revert to an older version, by requests for routes that only one version has."""

    newest: dict[tuple[int, int], int] = field(default_factory=dict)  # Highest version, by VM and start of its daemon.

    def check_version(self, vm: int, start: int, version: int, status_of: Callable[[str], int | None]) -> str | None:
        """Checks whether a daemon has `version` in force; returns a message if it had a newer one before, else None."""
        status = status_of(marker_path(version))
        if status is None or status in NOT_IN_FORCE:
            return None
        before = self.newest.get((vm, start), 0)
        self.newest[vm, start] = max(before, version)
        return f"vm-{vm} went from version {before} to {version}" if version < before else None
