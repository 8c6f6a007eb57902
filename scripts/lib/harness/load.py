"""Runs monsoonlift-load and evaluates its results."""
from __future__ import annotations

import json
import os
import pathlib
import subprocess
import tempfile
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

from harness.fleet import BINARIES

RAW_FOLDER = os.environ.get("MONSOONLIFT_RAW_RESULTS", "")


@dataclass(frozen=True)
class CallClass:
    """One class of calls in a scenario; `rates` are calls per second by phase. Times are in milliseconds."""

    name: str
    service: str
    path: str
    rates: dict[str, float]
    method: str = "GET"
    caller: str = ""
    timeout_ms: int = 1000
    patience_ms: int | None = None
    attempts: int = 1
    retry_interval_ms: int = 0
    body_bytes: int = 0
    response_bytes: int = 0
    keyed: bool = False
    targets: tuple[str, ...] = ()

    def document(self) -> dict[str, Any]:
        value: dict[str, Any] = {
            "name": self.name, "service": self.service, "path": self.path, "method": self.method,
            "rates": self.rates, "timeout": f"{self.timeout_ms}ms", "attempts": self.attempts,
            "retry_interval": f"{self.retry_interval_ms}ms", "body_bytes": self.body_bytes,
            "response_bytes": self.response_bytes, "keyed": self.keyed,
            "patience": f"{self.patience_ms or self.timeout_ms}ms",
        }
        if self.caller:
            value["caller"] = self.caller
        if self.targets:
            value["targets"] = list(self.targets)
        return value


@dataclass(frozen=True)
class Scenario:
    """A load: phases as (name, seconds), classes of calls and their default targets."""

    phases: tuple[tuple[str, float], ...]
    classes: tuple[CallClass, ...]
    targets: tuple[str, ...]
    seed: int
    threads: int = 2
    connections: int = 2000

    def document(self) -> dict[str, Any]:
        longest = max(one.patience_ms or one.timeout_ms for one in self.classes)
        return {
            "seed": self.seed, "threads": self.threads, "connections": self.connections,
            "linger": f"{longest + 1000}ms", "targets": list(self.targets),
            "phases": [{"name": name, "duration": f"{int(seconds * 1000)}ms"} for name, seconds in self.phases],
            "classes": [one.document() for one in self.classes],
        }


@dataclass
class LoadRun:
    """A running monsoonlift-load process."""

    child: subprocess.Popen[str]
    folder: tempfile.TemporaryDirectory[str]
    scenario: Scenario
    records: list[dict[str, Any]] = field(default_factory=list)

    def result(self, name: str = "") -> dict[str, Any]:
        """Waits for the end of the load and returns its result; saves it as `name` if MONSOONLIFT_RAW_RESULTS is set."""
        output, errors = self.child.communicate()
        if self.child.returncode != 0:
            raise RuntimeError(f"monsoonlift-load: exit {self.child.returncode}\n{errors}")
        record = pathlib.Path(self.folder.name) / "record.jsonl"
        self.records = [json.loads(line) for line in record.read_text().splitlines()]
        self.folder.cleanup()
        if RAW_FOLDER and name:
            (pathlib.Path(RAW_FOLDER) / f"{name}.json").write_text(output)
        return json.loads(output)


def start_load(scenario: Scenario) -> LoadRun:
    """Starts monsoonlift-load with a scenario."""
    folder = tempfile.TemporaryDirectory(prefix="monsoonlift-load-")
    file = pathlib.Path(folder.name) / "scenario.json"
    file.write_text(json.dumps(scenario.document()))
    record = pathlib.Path(folder.name) / "record.jsonl"
    child = subprocess.Popen([str(BINARIES / "monsoonlift-load"), f"--scenario={file}", f"--record={record}"],
                             stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)
    return LoadRun(child, folder, scenario)


def timeline(result: dict[str, Any], name: str, classes: Iterable[str] | None = None) -> list[int]:
    """Returns the sum of the timeline `name` over some classes, or over all."""
    selected = list(result["classes"]) if classes is None else list(classes)
    lines = [result["classes"][one][name] for one in selected]
    length = max((len(line) for line in lines), default=0)
    return [sum(line[step] for line in lines if step < len(line)) for step in range(length)]


def steps(result: dict[str, Any], start_s: float, end_s: float) -> slice:
    """Returns the range of timeline steps from `start_s` to `end_s`."""
    width = result["timeline_step_ms"] / 1000
    return slice(round(start_s / width), round(end_s / width))


def total(result: dict[str, Any], name: str, classes: Sequence[str] | None = None) -> int:
    """Returns the sum of the count `name` over some classes, or over all."""
    selected = list(result["classes"]) if classes is None else classes
    return sum(result["classes"][one][name] for one in selected)


def recovery_seconds(result: dict[str, Any], before: tuple[float, float], surge_end_s: float, end_s: float,
                     window_s: float = 0.5, level: float = 0.95) -> float:
    """Returns the time from `surge_end_s` until the share of complete calls stays at `level` of that in `before` or above.

    Shares are computed per window of `window_s`, by the calls' intended send time. If the last window is still below,
    the result is the entire time measured.
    """
    sent = timeline(result, "sent_timeline")
    whole = timeline(result, "whole_timeline") + [0] * len(sent)
    span = steps(result, *before)
    target_share = level * sum(whole[span]) / max(1, sum(sent[span]))
    width = result["timeline_step_ms"] / 1000
    recovered = surge_end_s
    window = round(window_s / width)
    for step in range(round(surge_end_s / width), round(end_s / width) - window + 1):
        span = slice(step, step + window)
        if sum(whole[span]) < target_share * sum(sent[span]):
            recovered = step * width + window_s
    return round(recovered - surge_end_s, 3)
