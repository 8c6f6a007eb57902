"""A child process that logs its addresses when it begins to serve."""
from __future__ import annotations

import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import unittest
from collections.abc import Sequence

READY_PATIENCE_S = 20.0
READY_POLL_INTERVAL_S = 0.01
LOG_LINES_OF_FAILURE = 60
DAEMON_ADDRESSES = ("caller", "admin", "transport", "membership")
STOP_PATIENCE_S = 70.0
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


class ProcessFailed(RuntimeError):
    """A process did not become ready, did not end in time, or ended unexpectedly."""


def print_log_of_failure(test: unittest.TestCase, process: Process) -> None:
    """Prints the last lines of a process's log if the test has failed; to be used as a cleanup of the test."""
    result = test._outcome.result  # NOTE: unittest has no public access to a test's own outcome.
    if any(getattr(failed, "test_case", failed) is test for failed, _ in result.failures + result.errors):
        print(f"--- {process.name}\n{process.log_tail(LOG_LINES_OF_FAILURE)}", file=sys.stderr)


class Process:
    """A started program whose output goes to a log file. Signals are sent to this process only."""

    def __init__(self, name: str, command: Sequence[str], log: pathlib.Path) -> None:
        self.name = name
        self.log = log
        self._began = log.stat().st_size if log.exists() else 0
        self._addresses: dict[str, str] = {}
        with open(log, "ab") as output:
            self._child = subprocess.Popen(command, stdout=output, stderr=subprocess.STDOUT)

    @property
    def pid(self) -> int:
        return self._child.pid

    @property
    def running(self) -> bool:
        return self._child.poll() is None

    def addresses(self) -> dict[str, str]:
        """Returns the addresses that the process logged when it began to serve; waits until it has logged them."""
        end = time.monotonic() + READY_PATIENCE_S
        while not self._addresses:
            ended = not self.running
            self._addresses = self._find_addresses()
            if not self._addresses and (ended or time.monotonic() > end):
                raise ProcessFailed(f"{self.name} did not become ready:\n{self.log_tail()}")
            if not self._addresses:
                time.sleep(READY_POLL_INTERVAL_S)
        return self._addresses

    def threads(self) -> str:
        """Returns what each thread is blocked on, one line per thread; used to diagnose a process that does not end."""
        lines = []
        for task in sorted(pathlib.Path(f"/proc/{self.pid}/task").glob("*")):
            state = (task / "stat").read_text().rsplit(")", 1)[1].split()[0]
            lines.append(f"{task.name} {state} {(task / 'wchan').read_text()} {(task / 'syscall').read_text().strip()}\n")
        return "".join(lines)

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to this process if it is still running."""
        if self.running:
            self._child.send_signal(number)

    def wait(self, patience_s: float = STOP_PATIENCE_S) -> int:
        """Waits for the end of the process and returns its exit code; raises ProcessFailed after `patience_s`."""
        try:
            return self._child.wait(patience_s)
        except subprocess.TimeoutExpired as expired:
            raise ProcessFailed(f"{self.name} did not end within {patience_s} s") from expired

    def stop(self, patience_s: float = STOP_PATIENCE_S) -> int:
        """Sends SIGTERM, waits for the end of the process and returns its exit code."""
        self.signal(signal.SIGTERM)
        return self.wait(patience_s)

    def kill(self) -> None:
        """Ends the process immediately with SIGKILL."""
        self.signal(signal.SIGKILL)
        self._child.wait()

    def resident_mb(self, peak: bool = False) -> float:
        """Returns the resident memory in MiB, current or peak; 0 if the system does not report it."""
        key = "VmHWM:" if peak else "VmRSS:"
        for line in pathlib.Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith(key):
                return int(line.split()[1]) / 1024
        return 0.0

    def cpu_seconds(self) -> float:
        """Returns the CPU time used so far, user plus kernel."""
        fields = pathlib.Path(f"/proc/{self.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND

    def log_tail(self, lines: int = 20) -> str:
        """Returns the last lines of the log file."""
        return "\n".join(self.log.read_text(errors="replace").splitlines()[-lines:])

    def _find_addresses(self) -> dict[str, str]:
        """Returns the addresses in a daemon's process_started event or a stand-in's ready line; empty if not logged."""
        with open(self.log, "rb") as written:
            written.seek(self._began)
            lines = written.read().decode(errors="replace").splitlines(keepends=True)
        for line in lines:
            if not line.endswith("\n"):
                break
            if line.startswith("ready "):
                return json.loads(line.removeprefix("ready "))
            if '"name":"process_started"' in line:
                event = json.loads(line)
                return {name: event[name] for name in DAEMON_ADDRESSES}
        return {}
