"""The plan of a scale run: its members and events, and the check against the limits of this machine."""

from __future__ import annotations

import os
import resource
from collections.abc import Mapping
from enum import Enum
from typing import Any

import msgspec

from testbed.emulator.replica_process import RunError
from testbed.scenario.draw import draw_run
from testbed.scenario.read import parse_scenario
from testbed.scenario.scenario_run import ScenarioRun
from testbed.scenario.settings import replica_settings

MAX_PROCESSES = 200
MAX_MEMORY_FRACTION = 0.5  # of the machine's memory
RACK_SIZE = 40  # members
MIN_MEMBERS_FOR_RACK = 100  # smaller clusters run without the event `rack`
_MAX_SIMULATED_PER_WORKER = 125  # they share one event loop
_REAL_MB, _WORKER_MB = 60.0, 60.0  # a process before it holds members
_SIMULATED_MB = 0.1  # a simulated member by itself
_KNOWN_MB = 0.0015  # and for each member or server in its tables
_DESCRIPTORS = 6  # of a simulated member: two for datagrams, its listener, calls to discovery
_SPARE_DESCRIPTORS = 256


class Event(Enum):
    """The events of a scale run, in the order in which they take place."""

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
    """The parameters of a scale run.  Real members have the lowest numbers, simulated ones follow."""

    members: int
    events: tuple[Event, ...] = (Event.START, Event.REST)
    real: int = 4  # members that are sidecar processes
    off: int = 2  # further sidecar processes with membership off, to compare resource usage
    workers: int = 8  # processes that share the simulated members
    servers: int | None = None  # in the endpoint list; None: one for each member
    seed: int = 1
    rest_s: float = 40.0  # duration of `rest`, `loss` and `restarts`
    cut_s: float = 60.0  # duration of the partition
    down_s: float = 10.0  # duration of the discovery outage
    loss: float = 0.05  # fraction of the datagrams
    restart_every_s: float = 2.0
    call_ms: float = 1.0  # that discovery takes for a call
    agree_within_s: float = 400.0  # timeout of the wait for agreement after an event
    within_s: float = 1_800.0  # timeout of the whole run
    settles: bool = True  # mark updates of simulated members as disseminated after each agreement
    membership: dict[str, bool | float] = {}  # membership settings in every member's configuration

    @property
    def has_versions(self) -> bool:
        """Whether members compare configuration versions, which adds costs from the start on."""
        return Event.CONFIG in self.events

    @property
    def simulated(self) -> range:
        """The numbers of the simulated members."""
        return range(self.real, self.members)

    @property
    def endpoint_count(self) -> int:
        """The length of the endpoint list."""
        return self.members if self.servers is None else self.servers

    @property
    def rack_members(self) -> list[int]:
        """The members of the rack: one real member, if there is any, and simulated ones."""
        first = max(self.real - 1, 0)
        return list(range(first, first + RACK_SIZE))

    @property
    def zone_members(self) -> list[int]:
        """The members of the zone: the last fifth of all."""
        return list(range(self.members - self.members // 5, self.members))

    @property
    def partition_border(self) -> int:
        """The first member of the second region; all real ones are in the first."""
        return self.members // 2

    def shares(self) -> list[list[int]]:
        """The simulated members of each worker."""
        return [list(self.simulated)[number :: self.workers] for number in range(self.workers)]

    def memory_mb(self) -> float:
        """An estimate of the memory that the run needs, rounded up."""
        known = self.members + self.endpoint_count
        members = len(self.simulated) * (_SIMULATED_MB + _KNOWN_MB * known)
        return members + (self.real + self.off) * _REAL_MB + (self.workers + 1) * _WORKER_MB

    def processes(self) -> int:
        """The number of processes that the run needs."""
        return self.real + self.off + self.workers + 1


def check(plan: Plan) -> None:
    """Raise RunError with the reason if a plan is inconsistent or exceeds the limits of this machine."""
    if plan.members < 2 or plan.real < 0 or plan.off < 0 or plan.workers < 1:
        raise RunError(
            f"a cluster of two or more members, no negative number of processes and at least one worker are"
            f" needed, not members {plan.members}, real {plan.real}, off {plan.off}, workers {plan.workers}"
        )
    if plan.real > plan.members // 2:
        raise RunError(f"{plan.real} of {plan.members} members are real; at most half of them may be")
    if Event.RACK in plan.events and plan.members < MIN_MEMBERS_FOR_RACK:
        raise RunError(
            f"a rack of {RACK_SIZE} needs a cluster of {MIN_MEMBERS_FOR_RACK} or more, not {plan.members}"
        )
    if not 0.0 <= plan.loss < 1.0 or min(plan.rest_s, plan.cut_s, plan.down_s, plan.restart_every_s) <= 0.0:
        raise RunError(
            "times have to be above 0 s, and a loss from 0 to below 1, not"
            f" rest-s {plan.rest_s:g}, cut-s {plan.cut_s:g}, down-s {plan.down_s:g},"
            f" restart-every-s {plan.restart_every_s:g}, loss {plan.loss:g}"
        )
    if plan.processes() > MAX_PROCESSES:
        raise RunError(f"the run would need {plan.processes()} processes; {MAX_PROCESSES} are allowed")
    per_worker = -(-len(plan.simulated) // plan.workers)
    if per_worker > _MAX_SIMULATED_PER_WORKER:
        raise RunError(
            f"{per_worker} simulated members per worker; {_MAX_SIMULATED_PER_WORKER} are allowed:"
            " give more workers"
        )
    machine_mb = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 2**20
    if plan.memory_mb() > MAX_MEMORY_FRACTION * machine_mb:
        raise RunError(
            f"the run would need {plan.memory_mb():.0f} MB;"
            f" {MAX_MEMORY_FRACTION:g} of this machine's {machine_mb:.0f} MB are allowed"
        )
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = max(_DESCRIPTORS * per_worker, 2 * plan.members) + _SPARE_DESCRIPTORS
    if soft != resource.RLIM_INFINITY and soft < needed:
        raise RunError(f"a process would need {needed} file descriptors; its limit is {soft}")


def feasible_events(members: int) -> tuple[Event, ...]:
    """All events that a cluster of this size can run without comparing configuration versions."""
    events = tuple(event for event in Event if event is not Event.CONFIG)
    return tuple(event for event in events if event is not Event.RACK or members >= MIN_MEMBERS_FOR_RACK)


_SCENARIO = """
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


def draw_scenario_run(plan: Plan) -> ScenarioRun:
    """Draw a scenario run without client requests, for member settings and discovery."""
    text = _SCENARIO.format(
        servers=plan.endpoint_count, members=plan.members + plan.off, call_ms=plan.call_ms
    )
    return draw_run(parse_scenario(text, "scale"), plan.seed)


def member_configuration(
    plan: Plan, scenario_run: ScenarioRun, number: int, discovery: str
) -> dict[str, Any]:
    """Return a member's configuration, without its own peer address and those of the others."""
    settings: Mapping[str, Any] = replica_settings(scenario_run, number)
    version = {"version": 1} if plan.has_versions else {}
    return {
        **version,
        "name": f"n{number}",
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "seed": f"{(plan.seed << 20) + number:016x}",
        "settings": {**settings, "groupSize": plan.members, "me": min(number, plan.members - 1)},
        "membership": plan.membership,
    }
