"""Prints one line per step of the demo."""
from __future__ import annotations

from collections.abc import Callable


class Report:
    """Prints the result of each step and records whether all steps succeeded."""

    def __init__(self) -> None:
        self.all_right = True

    def step(self, name: str, action: Callable[[], str]) -> bool:
        """Runs a step, which returns a description or raises; prints one line and returns whether it succeeded."""
        try:
            seen = action()
        except Exception as fault:  # pylint: disable=broad-except
            self.all_right = False
            print(f"WRONG  {name}: {type(fault).__name__}: {fault}", flush=True)
            return False
        print(f"right  {name}: {seen}", flush=True)
        return True


def expect(holds: bool, what: str) -> None:
    """Raises AssertionError with the message `what` unless `holds`."""
    if not holds:
        raise AssertionError(what)
