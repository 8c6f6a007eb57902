"""The plan of faults of one run, drawn only from a seed, so that a seed always gives the same plan."""
from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum


class Kind(Enum):
    """Kinds of faults and of planned work."""

    KILL = "kill"  # SIGKILL of the daemon, then a new process
    HERD_KILL = "herd kill"  # SIGKILL of all daemons at once, then new processes
    PAUSE = "pause"  # SIGSTOP to the daemon, then SIGCONT
    STOP = "stop"  # SIGTERM to the daemon, then a new process
    RELOAD = "reload"  # SIGHUP to the daemon
    LINK_DELAY = "link delay"
    LINK_RESET = "link reset"
    LINK_SILENT = "link silent"
    LINK_ONE_WAY = "link one way"  # no data passes towards the daemon; data from it does
    STORE_LINK_SILENT = "store link silent"
    STORE_LINK_RESET = "store link reset"
    STORE_DOWN = "store down"
    STORE_SLOW = "store slow"
    STORE_LOSES_ANSWERS = "store loses answers"
    SERVER_CRASH = "server crash"  # the backend server ends and another instance starts
    SERVER_SLOW = "server slow"
    SERVER_LOSES_ANSWERS = "server loses answers"
    SERVER_CUTS_ANSWERS = "server cuts answers"
    SERVER_FORGETS = "server forgets connections"
    SERVER_REFUSES = "server refuses"
    SERVER_DRAIN = "server drain"  # reports that it is draining, deregisters at the end, then another instance starts
    SERVER_FAREWELL = "server farewell"  # deregisters at once, then another instance starts
    CONFIGURATION = "configuration"
    LEAVING_AT_KILL = "server leaves, daemon killed"  # killed right after its answer to the server's leave message
    LEAVING_AT_STOP = "server leaves, daemon stopped"  # SIGTERM right after its answer to the server's leave message


PLANNED = frozenset({Kind.STOP, Kind.RELOAD, Kind.SERVER_DRAIN, Kind.SERVER_FAREWELL, Kind.CONFIGURATION,
                     Kind.LEAVING_AT_STOP})
# Each plan has one additional fault of these kinds. A separate generator draws it, so that the rest of a seed's plan
# is the same as without it.
LEAVINGS = (Kind.LEAVING_AT_KILL, Kind.LEAVING_AT_STOP)
ALL_VMS = frozenset({Kind.HERD_KILL, Kind.STORE_DOWN, Kind.STORE_SLOW, Kind.STORE_LOSES_ANSWERS, Kind.CONFIGURATION})
LONGEST_S = 4.0
SHORTEST_S = 0.3
QUIET_HEAD_S = 1.0  # Time at the beginning of a run with traffic but without faults.
SERIES_SHARE = 0.25  # Share of faults that are repeated on the same VM, 0.1 to 1 s after their end.


@dataclass(frozen=True)
class Fault:
    """One fault, `at` seconds after the start. `vm` counts from 0 and is no target for a fault of all VMs."""

    at: float
    kind: Kind
    vm: int
    duration: float

    @property
    def end(self) -> float:
        return self.at + self.duration

    def describe(self) -> str:
        where = "all" if self.kind in ALL_VMS else f"vm-{self.vm}"
        return f"{self.at:.2f} s: {self.kind.value} at {where} for {self.duration:.2f} s"


def make_plan(seed: int, vms: int, length_s: float, count: int) -> list[Fault]:
    """Returns the faults ordered by start time. They may overlap, and some are repeated shortly after their end."""
    draw = random.Random(seed)
    plan: list[Fault] = []
    while len(plan) < count:
        at = draw.uniform(QUIET_HEAD_S, length_s)
        fault = Fault(at, draw.choice([kind for kind in Kind if kind not in LEAVINGS]), draw.randrange(vms), draw.uniform(SHORTEST_S, LONGEST_S))
        plan.append(fault)
        if draw.random() < SERIES_SHARE:
            repeat_at = fault.end + draw.uniform(0.1, 1.0)
            plan.append(Fault(repeat_at, fault.kind, fault.vm, draw.uniform(SHORTEST_S, LONGEST_S)))
    leaving_draw = random.Random(f"{seed}/leaving")
    plan.append(Fault(leaving_draw.uniform(QUIET_HEAD_S, length_s), leaving_draw.choice(LEAVINGS),
                      leaving_draw.randrange(vms), leaving_draw.uniform(SHORTEST_S, LONGEST_S)))
    return sorted(plan, key=lambda fault: fault.at)
