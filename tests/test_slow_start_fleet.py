"""The load that all balancers of a cluster together send to warming-up servers, in virtual time."""

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

MEAN_WORK_US = 40 * MS  # per request
SLOTS = 3
CAPACITY_PER_S = SLOTS * S / MEAN_WORK_US  # requests of mean work that a warm server serves
MAX_QUEUE_LENGTH = 60
DEADLINE_US = 750 * MS
OVERLOAD_WINDOW_US = 1_500 * MS
OVERLOAD_MULTIPLE = 3
INITIAL_CAPACITY = 0.15
SLOW_START_US = 23 * S
LOOK = ServiceClass("look", DEADLINE_US, 250 * MS, idempotency=Idempotency.IDEMPOTENT)
GUARANTEES = {
    "slow_start_initial_capacity": INITIAL_CAPACITY,
    "slow_start_us": SLOW_START_US,
    "overload_multiple": OVERLOAD_MULTIPLE,
    "overload_window_us": OVERLOAD_WINDOW_US,
}

Attempt = tuple[int, int, int]  # balancer, request, index of the attempt


@dataclass
class QueueingServer:
    """A server with some slots and a queue, which is slower while it is warming up."""

    zone: str
    started_at: int | None = None
    busy: int = 0
    queue: list[tuple[Attempt, int]] = field(default_factory=list)
    received: list[tuple[int, float]] = field(default_factory=list)  # time, amount in requests of mean work

    def capacity_fraction(self, at: int) -> float:
        if self.started_at is None:
            return 1.0
        return min(INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * (at - self.started_at) / SLOW_START_US, 1.0)

    def excess(self) -> float:
        """Return the largest excess of received work over N + 2 sqrt(N) + 2 in any overload window.

        N is the overload limit of the window, in requests of mean work, as is the result.
        """
        assert self.started_at is not None
        largest, work_in_window, first = -math.inf, 0.0, 0
        for at, work in self.received:
            work_in_window += work
            while self.received[first][0] <= at - OVERLOAD_WINDOW_US:
                work_in_window -= self.received[first][1]
                first += 1
            middle = (max(at - OVERLOAD_WINDOW_US, self.started_at) + at) // 2
            limit = (
                OVERLOAD_MULTIPLE * self.capacity_fraction(middle) * CAPACITY_PER_S * OVERLOAD_WINDOW_US / S
            )
            largest = max(largest, work_in_window - (limit + 2.0 * math.sqrt(limit) + 2.0))
        return largest


class Fleet:
    """Independent balancers with the same endpoint list, under a load in proportion to the servers."""

    def __init__(self, balancers: int, zones: list[str], load: float, seed: int) -> None:
        self.now = 50 * S
        self.load = load
        self.servers = {f"10.0.0.{index}:80": QueueingServer(zone) for index, zone in enumerate(zones)}
        self._random = random.Random(seed)
        self._queue: list[tuple[int, int, object, tuple[int, ...] | str]] = []
        self._order = count()
        self._pending: dict[Attempt, tuple[int, str]] = {}  # time of sending, server
        self._work: dict[tuple[int, int], int] = {}
        self._attempts: dict[tuple[int, int], int] = {}
        self.balancers = []
        for index in range(balancers):
            balancer_settings = settings(
                classes=(LOOK,),
                zone=sorted(set(zones))[index % len(set(zones))],
                costs=Costs(cross_zone=0.03 if len(set(zones)) > 1 else 0.0),
                limits={"max_attempts": 4},
                guarantees=GUARANTEES,
            )
            self.balancers.append(Balancer(balancer_settings, 1_000 * seed + index))
            self.handle(
                index, EndpointListReceived(EndpointListKind.COMPLETE, self._entries(list(self.servers)), 1)
            )
            self._schedule_arrival(index)

    def _entries(self, names: list[str]) -> list[EndpointEntry]:
        return [
            EndpointEntry(name, zone=self.servers[name].zone, started_at=self.servers[name].started_at)
            for name in names
        ]

    def restart(self, names: list[str]) -> None:
        """Restart servers; all balancers get the list with their new start times at once."""
        for name in names:
            old = self.servers[name]
            self.servers[name] = QueueingServer(old.zone, self.now)
        for index in range(len(self.balancers)):
            self.handle(index, EndpointListReceived(EndpointListKind.CHANGES, self._entries(names), 2))

    def run(self, span_us: int) -> None:
        until = self.now + span_us
        while self._queue and self._queue[0][0] <= until:
            at, _, subject, args = heapq.heappop(self._queue)
            self.now = max(self.now, at)
            if isinstance(args, str):
                assert isinstance(subject, int)
                self.handle(subject, TimerFired(args))
            elif isinstance(subject, Outcome):
                self._end((args[0], args[1], args[2]), subject)
            elif isinstance(subject, QueueingServer):
                self._work_done(subject, (args[0], args[1], args[2]))
            else:
                self._arrived(args[0])
        self.now = until

    def _schedule(self, at: int, subject: object, args: tuple[int, ...] | str) -> None:
        heapq.heappush(self._queue, (at, next(self._order), subject, args))

    def _schedule_arrival(self, index: int) -> None:
        per_s = self.load * len(self.servers) * CAPACITY_PER_S / len(self.balancers)
        self._schedule(self.now + int(self._random.expovariate(per_s) * S), None, (index,))

    def _arrived(self, index: int) -> None:
        self._schedule_arrival(index)
        sigma = math.sqrt(math.log(2.0))  # the standard deviation equals the mean
        work = int(MEAN_WORK_US * math.exp(self._random.gauss(-sigma * sigma / 2, sigma)))
        request = next(self._order)
        self._work[index, request] = work
        self.handle(index, RequestArrived(request, "look", None, None, DEADLINE_US, work))

    def handle(self, index: int, event: Event) -> None:
        for action in self.balancers[index].handle(self.now, event):
            if isinstance(action, SendAttempt):
                self._send(index, action)
            elif isinstance(action, SetTimer):
                self._schedule(self.now + action.delay_us, index, action.token)
            elif isinstance(action, CancelAttempt):
                self._schedule(self.now, Outcome.CANCELLED, (index, action.request, action.attempt))

    def _send(self, index: int, action: SendAttempt) -> None:
        key = index, action.request
        number = self._attempts[key] = self._attempts.get(key, -1) + 1
        attempt, work = (*key, number), self._work[key]
        self._pending[attempt] = self.now, action.server
        server = self.servers[action.server]
        server.received.append((self.now, work / MEAN_WORK_US))  # including rejected attempts
        self._schedule(action.deadline, Outcome.TIMED_OUT, attempt)
        if server.busy < SLOTS:
            self._begin(server, attempt, work)
        elif len(server.queue) < MAX_QUEUE_LENGTH:
            server.queue.append((attempt, work))
        else:
            self._schedule(self.now, Outcome.FULL, attempt)

    def _begin(self, server: QueueingServer, attempt: Attempt, work: int) -> None:
        server.busy += 1
        self._schedule(self.now + int(work / server.capacity_fraction(self.now)), server, attempt)

    def _work_done(self, server: QueueingServer, attempt: Attempt) -> None:
        server.busy -= 1
        if server is self.servers[self._pending[attempt][1]] if attempt in self._pending else False:
            self._end(attempt, Outcome.DELIVERED)
        while server.queue and server.busy < SLOTS:
            following, work = server.queue.pop(0)
            if following in self._pending:  # else it has timed out or was cancelled
                self._begin(server, following, work)

    def _end(self, attempt: Attempt, outcome: Outcome) -> None:
        sent_at, server = self._pending.pop(attempt, (0, ""))
        if server:
            balancer, request, index = attempt
            elapsed_us, is_answered = self.now - sent_at, outcome is Outcome.DELIVERED
            self.handle(
                balancer, AttemptEnded(request, index, server, outcome, elapsed_us, is_answered, None)
            )


def excess(
    fleet: Fleet, warming_up: list[str], load: float, *, cluster_size: ClusterSizeChanged | None = None
) -> float:
    """Restart servers after four seconds; return their largest excess, in requests of mean work."""
    fleet.run(4 * S)
    if cluster_size is not None:
        for index in range(len(fleet.balancers)):
            fleet.handle(index, cluster_size)
    fleet.load = load
    fleet.restart(warming_up)
    fleet.run(3 * S)
    assert all(fleet.servers[name].received for name in warming_up)
    return max(fleet.servers[name].excess() for name in warming_up)


def server_names(first: int, end: int) -> list[str]:
    return [f"10.0.0.{index}:80" for index in range(first, end)]


@pytest.mark.parametrize("balancers", [2, 30, 750])
def test_one_warming_up_server_is_not_overloaded(balancers: int) -> None:
    fleet = Fleet(balancers, ["a"] * 16, 0.6, seed=1)
    fleet.run(4 * S)
    fleet.restart(server_names(0, 1))
    fleet.run(6 * S)
    assert fleet.servers[server_names(0, 1)[0]].excess() <= 0.0


@pytest.mark.parametrize("balancers", [30, 200])
def test_zone_that_is_warming_up_is_not_overloaded(balancers: int) -> None:
    # Its servers are out of budget most of the time.  Guards against balancers that pass over those without
    # budget until they find one with budget, so that each balancer uses the budgets of all servers.
    fleet = Fleet(balancers, ["a"] * 20 + ["b"] * 20, 0.6, seed=1)
    assert excess(fleet, server_names(0, 20), 0.6) <= 0.0


@pytest.mark.parametrize("balancers", [30, 300])
def test_half_of_a_small_fleet_that_is_warming_up_is_not_overloaded_by_a_burst(balancers: int) -> None:
    # The warm servers reject many requests; their retries must not increase the budgets.
    fleet = Fleet(balancers, ["a"] * 8, 0.6, seed=1)
    assert excess(fleet, server_names(0, 4), 1.8) <= 0.0


@pytest.mark.parametrize("balancers", [30, 300])
def test_all_but_one_server_that_are_warming_up_are_not_overloaded(balancers: int) -> None:
    # The responses of the restarted servers before must not count as capacity of the one that is left.
    fleet = Fleet(balancers, ["a"] * 6, 1.2, seed=1)
    assert excess(fleet, server_names(0, 5), 1.2) <= 0.0


def test_partitioned_cluster_does_not_overload_warming_up_servers() -> None:
    # A partition between the sidecars may leave their connections to the servers intact.
    fleet = Fleet(200, ["a"] * 8, 0.6, seed=1)
    assert excess(fleet, server_names(0, 4), 1.8, cluster_size=ClusterSizeChanged(200, 100, 100)) <= 0.0
