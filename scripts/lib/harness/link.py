"""Links between data centres: a delay-relay before each daemon's transport, and an ip for each data centre.

A daemon connects to its peers from the ip of its data centre, which is how a relay knows whom not to delay.
"""
from __future__ import annotations

import os
from dataclasses import dataclass, field

FIRST_PORT = 7000  # NOTE: below the ports that the system gives to connections from the same ip.


@dataclass(frozen=True)
class LinkOptions:
    """One direction of a link; times in ms, the jitter is the mean of an exponential addition."""

    delay_ms: float
    jitter_ms: float = 0.0
    stall_share: float = 0.0
    stall_ms: float = 0.0
    seed: int = 1


@dataclass
class Links:
    """Loopback addresses of the data centres and commands of the relays of one fleet."""

    options: LinkOptions
    owner: int = field(default_factory=os.getpid)
    _data_centres: list[str] = field(default_factory=list)
    _daemons: int = 0

    def ip_of(self, data_centre: str) -> str:
        """The ip of a data centre, another one for each running harness."""
        if data_centre not in self._data_centres:
            self._data_centres.append(data_centre)
        number = self._data_centres.index(data_centre) + 1
        return f"127.{number}.{self.owner // 256 % 256}.{self.owner % 256}"

    def new_address(self, data_centre: str) -> str:
        """Where one more daemon of a data centre listens, known before the daemon runs."""
        self._daemons += 1
        return f"{self.ip_of(data_centre)}:{FIRST_PORT + self._daemons - 1}"

    def relay_command(self, data_centre: str, target: str) -> list[str]:
        """The relay before a daemon of a data centre that listens at `target`."""
        options = self.options
        return [
            "delay-relay", f"--target={target}", f"--prompt-from={self.ip_of(data_centre)}",
            f"--delay-ms={options.delay_ms}", f"--jitter-ms={options.jitter_ms}",
            f"--stall-share={options.stall_share}", f"--stall-ms={options.stall_ms}",
            f"--seed={options.seed * 1_000_000 + self._daemons * 1000}",
        ]
