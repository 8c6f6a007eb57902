"""The base class of the platform stand-in and the backend stand-ins."""
from __future__ import annotations

from harness import http
from harness.process import Process


class StandIn:
    """A running stand-in, which serves control requests at its address."""

    process: Process

    @property
    def address(self) -> str:
        return self.process.addresses()["address"]

    def set_faults(self, **faults: object) -> None:
        """Sets the stand-in's injected faults."""
        answer = http.post_json(self.address, "/faults", faults)
        if answer.status != 200:
            raise OSError(f"stand-in refused the faults {faults}: {answer.body!r}")

    def stats(self) -> dict[str, int]:
        """Returns the stand-in's counters."""
        return http.get_json(self.address, "/stats")
