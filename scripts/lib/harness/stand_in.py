"""What the platform stand-in and the backend stand-ins have in common."""
from __future__ import annotations

from harness import http
from harness.process import Process


class StandIn:
    """A started stand-in, which serves control requests at its address."""

    process: Process

    @property
    def address(self) -> str:
        return self.process.addresses()["address"]

    def set_faults(self, **faults: object) -> None:
        """Switches faults on or off."""
        answer = http.post_json(self.address, "/faults", faults)
        if answer.status != 200:
            raise OSError(f"faults refused: {answer.body!r}")

    def stats(self) -> dict[str, int]:
        """Its counters."""
        return http.get_json(self.address, "/stats")
