"""Sanitized daemons: the environment that makes them write reports to files, and the reports as findings."""
from __future__ import annotations

import pathlib

REPORT_PREFIX = "sanitizer"
EXIT_CODE = 66
BEGINNINGS = ("ERROR: AddressSanitizer", "ERROR: LeakSanitizer", "WARNING: ThreadSanitizer", "FATAL: ThreadSanitizer",
              ": runtime error: ")


def environment(folder: pathlib.Path) -> dict[str, str]:
    """Returns variables by which sanitized processes write each report to a file in `folder` and fail."""
    common = f"log_path={(folder / REPORT_PREFIX).resolve()}:exitcode={EXIT_CODE}"
    return {"ASAN_OPTIONS": f"{common}:detect_stack_use_after_return=1",
            "UBSAN_OPTIONS": f"{common}:print_stacktrace=1",
            "TSAN_OPTIONS": f"{common}:second_deadlock_stack=1"}


def read_reports(folder: pathlib.Path) -> list[str]:
    """Returns the file and first line of each report that the daemons wrote into `folder`."""
    return [f"{file.name}: {line.strip()}" for file in sorted(folder.glob(f"{REPORT_PREFIX}.*"))
            for line in file.read_text(errors="replace").splitlines() if any(part in line for part in BEGINNINGS)]
