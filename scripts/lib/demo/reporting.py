"""One printed line for each step."""
from __future__ import annotations

from collections.abc import Callable


class Report:
    """Prints what each step saw and remembers whether all were right."""

    def __init__(self) -> None:
        self.all_right = True

    def step(self, name: str, action: Callable[[], str]) -> bool:
        """Runs a step, which returns what it saw or raises; prints one line."""
        try:
            seen = action()
        except Exception as fault:  # pylint: disable=broad-except
            self.all_right = False
            print(f"WRONG  {name}: {type(fault).__name__}: {fault}", flush=True)
            return False
        print(f"right  {name}: {seen}", flush=True)
        return True


def expect(holds: bool, what: str) -> None:
    """Raises if something expected does not hold."""
    if not holds:
        raise AssertionError(what)
