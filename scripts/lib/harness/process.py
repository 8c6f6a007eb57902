"""One child process that says `ready {...}` when it serves."""
from __future__ import annotations

import json
import os
import pathlib
import signal
import subprocess
import threading
from collections.abc import Sequence

READY_PATIENCE_S = 20.0
STOP_PATIENCE_S = 70.0
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


class ProcessFailed(RuntimeError):
    """A process did not become ready, or ended otherwise than it should."""


class Process:
    """A started program; its log goes to a file. Signals go to this process alone."""

    def __init__(self, name: str, command: Sequence[str], log: pathlib.Path) -> None:
        self.name = name
        self.log = log
        self._ready = threading.Event()
        self._addresses: dict[str, str] = {}
        with open(log, "ab") as errors:
            self._child = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=errors, text=True)
        self._reader = threading.Thread(target=self._read_output, daemon=True)
        self._reader.start()

    @property
    def pid(self) -> int:
        return self._child.pid

    @property
    def running(self) -> bool:
        return self._child.poll() is None

    def addresses(self) -> dict[str, str]:
        """What the ready line said; waits for it."""
        if not self._ready.wait(READY_PATIENCE_S) or not self._addresses:
            raise ProcessFailed(f"{self.name} did not get ready:\n{self.log_tail()}")
        return self._addresses

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to this process if it still runs."""
        if self.running:
            self._child.send_signal(number)

    def wait(self, patience_s: float = STOP_PATIENCE_S) -> int:
        """The exit code; raises if the process does not end."""
        try:
            return self._child.wait(patience_s)
        except subprocess.TimeoutExpired as expired:
            raise ProcessFailed(f"{self.name} did not end within {patience_s} s") from expired

    def stop(self, patience_s: float = STOP_PATIENCE_S) -> int:
        """Asks it to end with SIGTERM and gives the exit code."""
        self.signal(signal.SIGTERM)
        return self.wait(patience_s)

    def kill(self) -> None:
        """Ends it at once."""
        self.signal(signal.SIGKILL)
        self._child.wait()

    def resident_mb(self, peak: bool = False) -> float:
        """Resident memory, now or at its peak."""
        key = "VmHWM:" if peak else "VmRSS:"
        for line in pathlib.Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith(key):
                return int(line.split()[1]) / 1024
        return 0.0

    def cpu_seconds(self) -> float:
        """Processor time spent so far, in user and kernel."""
        fields = pathlib.Path(f"/proc/{self.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND

    def log_tail(self, lines: int = 20) -> str:
        """The last lines of its log."""
        return "\n".join(self.log.read_text(errors="replace").splitlines()[-lines:])

    def _read_output(self) -> None:
        assert self._child.stdout is not None
        for line in self._child.stdout:
            if line.startswith("ready "):
                self._addresses = json.loads(line.removeprefix("ready "))
                self._ready.set()
        self._ready.set()
