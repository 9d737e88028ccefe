"""What a scale run plays: members, events, and whether this machine may bear it."""

from __future__ import annotations

import os
import resource
from collections.abc import Mapping
from enum import Enum
from typing import Any

import msgspec

from testbed.emulator.copies import PlayError
from testbed.scenario.draw import draw_run
from testbed.scenario.read import parse_scenario
from testbed.scenario.scenario_run import ScenarioRun
from testbed.scenario.settings import replica_settings

MOST_PROCESSES = 200
MOST_MEMORY_PART = 0.5  # of the machine's
RACK = 40  # members
RACK_FROM = 100  # members that a tier needs before a rack of it is killed
_MOST_A_WORKER = 125  # hollow members; one event loop carries them
_REAL_MB, _WORKER_MB = 60.0, 60.0  # of a process before it holds members
_HOLLOW_MB = 0.1  # of a hollow member
_PAIR_MB = 0.0015  # and for each member or server that it knows of
_DESCRIPTORS = 6  # of a hollow member: its datagrams twice, its listener, calls to discovery
_SPARE_DESCRIPTORS = 256


class Event(Enum):
    """What may happen to the tier, in the order in which it is played."""

    START = "start"
    REST = "rest"
    KILL = "kill"
    RACK = "rack"
    ZONE = "zone"
    PARTITION = "cut"
    LOSS = "loss"
    RESTARTS = "restarts"
    DISCOVERY = "discovery"
    CONFIG = "config"


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """One run.  Members are numbered: the real ones first, then the hollow ones."""

    members: int
    events: tuple[Event, ...] = (Event.START, Event.REST)
    real: int = 4  # processes of the program that are members
    off: int = 2  # and beside them processes whose membership is off, to have the difference
    workers: int = 8  # processes that share the hollow members
    servers: int | None = None  # in discovery's list; None: one for each member
    seed: int = 1
    rest_s: float = 40.0  # also of `loss` and `restarts`
    cut_s: float = 60.0
    down_s: float = 10.0  # that discovery is away
    loss: float = 0.05  # part of the datagrams
    restart_every_s: float = 2.0
    call_ms: float = 1.0  # of discovery's time for a call
    agree_within_s: float = 400.0  # that an event's end is waited for
    within_s: float = 1_800.0  # the whole run
    settles: bool = True  # hollow members begin each event as after a long rest, with no news left to tell
    membership: dict[str, bool | float] = {}  # of every member's configuration

    @property
    def has_versions(self) -> bool:
        """Whether all compare versions of the configuration, from the start on; that has its own costs."""
        return Event.CONFIG in self.events

    @property
    def hollow(self) -> range:
        """The numbers of the simulated members."""
        return range(self.real, self.members)

    @property
    def listed(self) -> int:
        """The length of the endpoint list."""
        return self.members if self.servers is None else self.servers

    @property
    def rack(self) -> list[int]:
        """One real member, where there is any, and hollow ones beside it."""
        first = max(self.real - 1, 0)
        return list(range(first, first + RACK))

    @property
    def zone(self) -> list[int]:
        """A fifth: the last ones."""
        return list(range(self.members - self.members // 5, self.members))

    @property
    def border(self) -> int:
        """The first member of the second region; all real ones are in the first."""
        return self.members // 2

    def shares(self) -> list[list[int]]:
        """The hollow members of each worker."""
        return [list(self.hollow)[number :: self.workers] for number in range(self.workers)]

    def memory_mb(self) -> float:
        """What it takes, rounded up generously."""
        known = self.members + self.listed
        members = len(self.hollow) * (_HOLLOW_MB + _PAIR_MB * known)
        return members + (self.real + self.off) * _REAL_MB + (self.workers + 1) * _WORKER_MB

    def processes(self) -> int:
        """The number of processes that the run needs."""
        return self.real + self.off + self.workers + 1


def check(plan: Plan) -> None:
    """Raise PlayError, saying why, where a plan makes no sense or would take too much of the machine."""
    if plan.members < 2 or plan.real < 0 or plan.off < 0 or plan.workers < 1:
        raise PlayError("a tier of two or more, with no negative number of processes, is needed")
    if plan.real > plan.members // 2:
        raise PlayError(f"{plan.real} real members of {plan.members}: half of them at the most")
    if Event.RACK in plan.events and plan.members < RACK_FROM:
        raise PlayError(f"a rack of {RACK} is killed in tiers of {RACK_FROM} or more")
    if not 0.0 <= plan.loss < 1.0 or min(plan.rest_s, plan.cut_s, plan.down_s, plan.restart_every_s) <= 0.0:
        raise PlayError("times have to be above 0 s, and a loss from 0 to below 1")
    if plan.processes() > MOST_PROCESSES:
        raise PlayError(f"it would need {plan.processes()} processes; {MOST_PROCESSES} are allowed")
    each = -(-len(plan.hollow) // plan.workers)
    if each > _MOST_A_WORKER:
        raise PlayError(f"{each} hollow members a worker; {_MOST_A_WORKER} are allowed: give more workers")
    machine_mb = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 2**20
    if plan.memory_mb() > MOST_MEMORY_PART * machine_mb:
        raise PlayError(
            f"it would need {plan.memory_mb():.0f} MB;"
            f" {MOST_MEMORY_PART:g} of this machine's {machine_mb:.0f} MB are allowed"
        )
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = max(_DESCRIPTORS * each, 2 * plan.members) + _SPARE_DESCRIPTORS
    if soft != resource.RLIM_INFINITY and soft < needed:
        raise PlayError(f"a process would need {needed} descriptors, and may have {soft}")


def feasible_events(members: int) -> tuple[Event, ...]:
    """All events that a tier of this size can have while versions are not compared."""
    events = tuple(each for each in Event if each is not Event.CONFIG)
    return tuple(each for each in events if each is not Event.RACK or members >= RACK_FROM)


_WORLD = """
name = "scale"
about = "Members without requests."
seconds = 3600.0

[[classes]]
name = "look"
deadline_ms = 1000
aim_ms = 250
work_ms = 2

[[servers]]
count = {servers}

[sidecars]
count = {members}
console = true

[discovery]
call_ms = {call_ms}

[clients]
rate_per_s = 1
"""


def day_of(plan: Plan) -> ScenarioRun:
    """A day without requests: its settings are what each member is told, its discovery is the run's."""
    text = _WORLD.format(servers=plan.listed, members=plan.members + plan.off, call_ms=plan.call_ms)
    return draw_run(parse_scenario(text, "scale"), plan.seed)


def configuration(plan: Plan, day: ScenarioRun, number: int, discovery: str) -> dict[str, Any]:
    """A member's configuration, without addresses of its own and of the others."""
    told: Mapping[str, Any] = replica_settings(day, number)
    versioned = {"version": 1} if plan.has_versions else {}
    return {
        **versioned,
        "name": f"n{number}",
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "seed": f"{(plan.seed << 20) + number:016x}",
        "settings": {**told, "groupSize": plan.members, "me": min(number, plan.members - 1)},
        "membership": plan.membership,
    }
