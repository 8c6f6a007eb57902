"""Links between data centres: a delay-relay in front of each daemon's transport, and an IP address per data centre.

A daemon connects to its peers from the IP address of its data centre, so that a relay can recognize the connections
of its own data centre, which it does not delay.
"""
from __future__ import annotations

import os
from dataclasses import dataclass, field

FIRST_PORT = 7000  # NOTE: below the ephemeral ports that the system assigns to connections from the same IP address.


@dataclass(frozen=True)
class LinkOptions:
    """One direction of a link. Times are in ms; the jitter is the mean of an exponentially distributed extra delay."""

    delay_ms: float
    jitter_ms: float = 0.0
    stall_share: float = 0.0
    stall_ms: float = 0.0
    seed: int = 1


@dataclass
class Links:
    """Assigns loopback addresses to the data centres and daemons of one fleet and builds its relay commands."""

    options: LinkOptions
    owner: int = field(default_factory=os.getpid)
    _data_centres: list[str] = field(default_factory=list)
    _daemons: int = 0

    def ip_of(self, data_centre: str) -> str:
        """Returns the IP address of a data centre; it differs between harness processes that run at the same time."""
        if data_centre not in self._data_centres:
            self._data_centres.append(data_centre)
        number = self._data_centres.index(data_centre) + 1
        return f"127.{number}.{self.owner // 256 % 256}.{self.owner % 256}"

    def new_address(self, data_centre: str) -> str:
        """Allocates the listen address of another daemon of a data centre, before the daemon is started."""
        self._daemons += 1
        return f"{self.ip_of(data_centre)}:{FIRST_PORT + self._daemons - 1}"

    def relay_command(self, data_centre: str, target: str) -> list[str]:
        """Returns the command of the relay in front of a daemon that listens at `target` in a data centre."""
        options = self.options
        return [
            "delay-relay", f"--target={target}", f"--prompt-from={self.ip_of(data_centre)}",
            f"--delay-ms={options.delay_ms}", f"--jitter-ms={options.jitter_ms}",
            f"--stall-share={options.stall_share}", f"--stall-ms={options.stall_ms}",
            f"--seed={options.seed * 1_000_000 + self._daemons * 1000}",
        ]
