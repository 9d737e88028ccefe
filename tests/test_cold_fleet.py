"""Cold servers under a whole tier of balancers: the sum of what all send, in virtual time."""

from __future__ import annotations

import heapq
import math
import random
from dataclasses import dataclass, field
from itertools import count

import pytest
from helpers import MS, S, settings

from balancer import Balancer
from balancer.actions import CancelAttempt, SendAttempt, SetTimer
from balancer.events import (
    AttemptEnded,
    ClusterSizeChanged,
    EndpointEntry,
    EndpointListKind,
    EndpointListReceived,
    Event,
    Outcome,
    RequestArrived,
    TimerFired,
)
from balancer.settings import Costs, Idempotency, ServiceClass

WORK_US = 40 * MS  # of a mean request
SLOTS = 3
PER_S = SLOTS * S / WORK_US  # requests of mean work that a warm server serves
QUEUED = 60
DEADLINE_US = 750 * MS
FALL_US, MULTIPLE, COLD_FROM, COLD_US = 1_500 * MS, 3, 0.15, 23 * S
LOOK = ServiceClass("look", DEADLINE_US, 250 * MS, idempotency=Idempotency.IDEMPOTENT)
GUARANTEES = {
    "slow_start_initial_capacity": COLD_FROM,
    "slow_start_us": COLD_US,
    "overload_multiple": MULTIPLE,
    "overload_window_us": FALL_US,
}

Attempt = tuple[int, int, int]  # balancer, request, which attempt of it


@dataclass
class Station:
    """A server: some slots and a queue, slower while it is cold."""

    zone: str
    cold_since: int | None = None
    busy: int = 0
    queue: list[tuple[Attempt, int]] = field(default_factory=list)
    got: list[tuple[int, float]] = field(default_factory=list)  # when, and how much in requests of mean work

    def warmth(self, at: int) -> float:
        if self.cold_since is None:
            return 1.0
        return min(COLD_FROM + (1.0 - COLD_FROM) * (at - self.cold_since) / COLD_US, 1.0)

    def excess(self) -> float:
        """The most that any span of FALL_US got beyond N + 2 x root of N + 2, in requests of mean work."""
        assert self.cold_since is not None
        worst, inside, first = -math.inf, 0.0, 0
        for at, work in self.got:
            inside += work
            while self.got[first][0] <= at - FALL_US:
                inside -= self.got[first][1]
                first += 1
            middle = (max(at - FALL_US, self.cold_since) + at) // 2
            budget = MULTIPLE * self.warmth(middle) * PER_S * FALL_US / S
            worst = max(worst, inside - (budget + 2.0 * math.sqrt(budget) + 2.0))
        return worst


class Fleet:
    """Balancers that know nothing of each other, one list, and load in proportion to the servers."""

    def __init__(self, balancers: int, zones: list[str], load: float, seed: int) -> None:
        self.now = 50 * S
        self.load = load
        self.stations = {f"10.0.0.{index}:80": Station(zone) for index, zone in enumerate(zones)}
        self._random = random.Random(seed)
        self._agenda: list[tuple[int, int, object, tuple[int, ...] | str]] = []
        self._order = count()
        self._out: dict[Attempt, tuple[int, str]] = {}  # when it was sent, and where
        self._work: dict[tuple[int, int], int] = {}
        self._attempts: dict[tuple[int, int], int] = {}
        self.balancers = []
        for index in range(balancers):
            given = settings(
                classes=(LOOK,),
                zone=sorted(set(zones))[index % len(set(zones))],
                costs=Costs(cross_zone=0.03 if len(set(zones)) > 1 else 0.0),
                limits={"max_attempts": 4},
                guarantees=GUARANTEES,
            )
            self.balancers.append(Balancer(given, 1_000 * seed + index))
            self.hear(
                index, EndpointListReceived(EndpointListKind.COMPLETE, self._lines(list(self.stations)), 1)
            )
            self._arrive_later(index)

    def _lines(self, names: list[str]) -> list[EndpointEntry]:
        found = ((name, self.stations[name]) for name in names)
        return [EndpointEntry(name, zone=each.zone, started_at=each.cold_since) for name, each in found]

    def restart(self, names: list[str]) -> None:
        """These come back cold, and all balancers are told at once."""
        for name in names:
            old = self.stations[name]
            self.stations[name] = Station(old.zone, self.now)
        for index in range(len(self.balancers)):
            self.hear(index, EndpointListReceived(EndpointListKind.CHANGES, self._lines(names), 2))

    def run(self, span_us: int) -> None:
        until = self.now + span_us
        while self._agenda and self._agenda[0][0] <= until:
            at, _, what, args = heapq.heappop(self._agenda)
            self.now = max(self.now, at)
            if isinstance(args, str):
                assert isinstance(what, int)
                self.hear(what, TimerFired(args))
            elif isinstance(what, Outcome):
                self._end((args[0], args[1], args[2]), what)
            elif isinstance(what, Station):
                self._worked(what, (args[0], args[1], args[2]))
            else:
                self._arrived(args[0])
        self.now = until

    def _at(self, at: int, what: object, args: tuple[int, ...] | str) -> None:
        heapq.heappush(self._agenda, (at, next(self._order), what, args))

    def _arrive_later(self, index: int) -> None:
        per_s = self.load * len(self.stations) * PER_S / len(self.balancers)
        self._at(self.now + int(self._random.expovariate(per_s) * S), None, (index,))

    def _arrived(self, index: int) -> None:
        self._arrive_later(index)
        sigma = math.sqrt(math.log(2.0))  # as much spread as its mean
        work = int(WORK_US * math.exp(self._random.gauss(-sigma * sigma / 2, sigma)))
        request = next(self._order)
        self._work[index, request] = work
        self.hear(index, RequestArrived(request, "look", None, None, DEADLINE_US, work))

    def hear(self, index: int, event: Event) -> None:
        for action in self.balancers[index].handle(self.now, event):
            if isinstance(action, SendAttempt):
                self._send(index, action)
            elif isinstance(action, SetTimer):
                self._at(self.now + action.delay_us, index, action.token)
            elif isinstance(action, CancelAttempt):
                self._at(self.now, Outcome.CANCELLED, (index, action.request, action.attempt))

    def _send(self, index: int, action: SendAttempt) -> None:
        key = index, action.request
        number = self._attempts[key] = self._attempts.get(key, -1) + 1
        attempt, work = (*key, number), self._work[key]
        self._out[attempt] = self.now, action.server
        station = self.stations[action.server]
        station.got.append((self.now, work / WORK_US))  # what is turned away counts as well
        self._at(action.deadline, Outcome.TIMED_OUT, attempt)
        if station.busy < SLOTS:
            self._begin(station, attempt, work)
        elif len(station.queue) < QUEUED:
            station.queue.append((attempt, work))
        else:
            self._at(self.now, Outcome.FULL, attempt)

    def _begin(self, station: Station, attempt: Attempt, work: int) -> None:
        station.busy += 1
        self._at(self.now + int(work / station.warmth(self.now)), station, attempt)

    def _worked(self, station: Station, attempt: Attempt) -> None:
        station.busy -= 1
        if station is self.stations[self._out[attempt][1]] if attempt in self._out else False:
            self._end(attempt, Outcome.DELIVERED)
        while station.queue and station.busy < SLOTS:
            following, work = station.queue.pop(0)
            if following in self._out:  # else nobody waits for it
                self._begin(station, following, work)

    def _end(self, attempt: Attempt, outcome: Outcome) -> None:
        sent_at, server = self._out.pop(attempt, (0, ""))
        if server:
            took, done = self.now - sent_at, outcome is Outcome.DELIVERED
            self.hear(attempt[0], AttemptEnded(attempt[1], attempt[2], server, outcome, took, done, None))


def excess(
    fleet: Fleet, cold: list[str], load: float, *, all_told: ClusterSizeChanged | None = None
) -> float:
    """Turn servers cold after some seconds; the worst of them, in requests of mean work beyond chance."""
    fleet.run(4 * S)
    if all_told is not None:
        for index in range(len(fleet.balancers)):
            fleet.hear(index, all_told)
    fleet.load = load
    fleet.restart(cold)
    fleet.run(3 * S)
    assert all(fleet.stations[name].got for name in cold)
    return max(fleet.stations[name].excess() for name in cold)


def named(first: int, end: int) -> list[str]:
    return [f"10.0.0.{index}:80" for index in range(first, end)]


@pytest.mark.parametrize("balancers", [2, 30, 750])
def test_one_cold_server_bears_what_all_send(balancers: int) -> None:
    fleet = Fleet(balancers, ["a"] * 16, 0.6, seed=1)
    fleet.run(4 * S)
    fleet.restart(named(0, 1))
    fleet.run(6 * S)
    assert fleet.stations[named(0, 1)[0]].excess() <= 0.0


@pytest.mark.parametrize("balancers", [30, 200])
def test_a_zone_that_comes_back_cold_bears_what_all_send(balancers: int) -> None:
    # Its servers have no room for most of the time: whoever looks for one must not find all of them.
    fleet = Fleet(balancers, ["a"] * 20 + ["b"] * 20, 0.6, seed=1)
    assert excess(fleet, named(0, 20), 0.6) <= 0.0


@pytest.mark.parametrize("balancers", [30, 300])
def test_half_of_a_small_fleet_comes_back_cold_under_a_burst(balancers: int) -> None:
    # The warm ones turn away much: what is sent again elsewhere makes no budget.
    fleet = Fleet(balancers, ["a"] * 8, 0.6, seed=1)
    assert excess(fleet, named(0, 4), 1.8) <= 0.0


@pytest.mark.parametrize("balancers", [30, 300])
def test_all_but_one_come_back_cold(balancers: int) -> None:
    # What they served before is no measure of the one that is left.
    fleet = Fleet(balancers, ["a"] * 6, 1.2, seed=1)
    assert excess(fleet, named(0, 5), 1.2) <= 0.0


def test_a_tier_that_sees_half_of_itself_sends_no_more_to_the_cold() -> None:
    # A cut between the sidecars need not be one between them and the servers.
    fleet = Fleet(200, ["a"] * 8, 0.6, seed=1)
    assert excess(fleet, named(0, 4), 1.8, all_told=ClusterSizeChanged(200, 100, 100)) <= 0.0
