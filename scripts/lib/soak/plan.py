"""What goes wrong in one run and when: drawn from a seed alone, so that a seed always gives the same plan."""
from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum


class Kind(Enum):
    """Kinds of faults and of planned work."""

    KILL = "kill"  # SIGKILL, then a new process
    HERD_KILL = "herd kill"  # the same for all daemons at once
    PAUSE = "pause"  # SIGSTOP, then SIGCONT
    STOP = "stop"  # SIGTERM, then a new process
    RELOAD = "reload"  # SIGHUP
    LINK_DELAY = "link delay"
    LINK_RESET = "link reset"
    LINK_SILENT = "link silent"
    LINK_ONE_WAY = "link one way"  # nothing passes towards the daemon
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
    SERVER_DRAIN = "server drain"  # it says that it leaves, leaves, and another instance starts
    SERVER_FAREWELL = "server farewell"  # the same without saying before that it leaves
    CONFIGURATION = "configuration"
    LEAVING_AT_KILL = "server leaves, daemon killed"  # right after it has acknowledged the leaving
    LEAVING_AT_STOP = "server leaves, daemon stopped"  # the same in order


PLANNED = frozenset({Kind.STOP, Kind.RELOAD, Kind.SERVER_DRAIN, Kind.SERVER_FAREWELL, Kind.CONFIGURATION,
                     Kind.LEAVING_AT_STOP})
# Each run has one of these besides; drawn apart, so that the rest of a seed's plan stays as it was.
LEAVINGS = (Kind.LEAVING_AT_KILL, Kind.LEAVING_AT_STOP)
ALL_VMS = frozenset({Kind.HERD_KILL, Kind.STORE_DOWN, Kind.STORE_SLOW, Kind.STORE_LOSES_ANSWERS, Kind.CONFIGURATION})
LONGEST_S = 4.0
SHORTEST_S = 0.3
QUIET_HEAD_S = 1.0  # Traffic without faults at the beginning.
SERIES_SHARE = 0.25  # Of the faults; each is repeated at once on the same VM.


@dataclass(frozen=True)
class Fault:
    """One fault; `vm` counts from 0 and is meaningless for a fault of all VMs."""

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
    """Faults in the order of their begin. They overlap as they come; some are repeated at once."""
    draw = random.Random(seed)
    plan: list[Fault] = []
    while len(plan) < count:
        at = draw.uniform(QUIET_HEAD_S, length_s)
        fault = Fault(at, draw.choice([kind for kind in Kind if kind not in LEAVINGS]), draw.randrange(vms), draw.uniform(SHORTEST_S, LONGEST_S))
        plan.append(fault)
        if draw.random() < SERIES_SHARE:
            again = fault.end + draw.uniform(0.1, 1.0)
            plan.append(Fault(again, fault.kind, fault.vm, draw.uniform(SHORTEST_S, LONGEST_S)))
    apart = random.Random(f"{seed}/leaving")
    plan.append(Fault(apart.uniform(QUIET_HEAD_S, length_s), apart.choice(LEAVINGS), apart.randrange(vms),
                      apart.uniform(SHORTEST_S, LONGEST_S)))
    return sorted(plan, key=lambda fault: fault.at)
