"""Discovery's queue after an outage: how soon all sidecars of a cluster have an answer; `make line`, as data.

The sidecars' waits are those of `balancer.Balancer`, their calls those of `sidecar.discovery.watcher`: a
watch that broke is called anew when the balancer says so, and keeps its place in the queue when it is asked
for again.  Discovery is modelled: it rejects calls while it is down; later it serves them one after another,
each for a fixed time, and gives up on a call that has waited for 3 s (an answer without a list).  Times are
microseconds.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass

import numpy as np

from balancer import Balancer, Settings
from balancer.actions import SetTimer, WatchEndpoints
from balancer.events import EndpointEntry, EndpointListKind, EndpointListReceived, Event, TimerFired
from balancer.settings import Guarantees, Idempotency, ServiceClass
from testbed.capacity.samples import Sample, save
from testbed.simulation.queue import EventQueue

SIZES = (50, 100, 200, 400, 750, 1_000)
CALLS_MS = (1, 2, 5, 10, 20, 50)
DOWN_S = (10, 60)
SEEDS = (1, 2, 3, 4, 5)
TOLD_WITHIN_S = 6.0  # a change counts as told so long after discovery could be reached
S = 1_000_000
_ONE_WAY_US = 500
_WAITS_US = 3 * S  # a call in the queue
_STEP_US = S // 4
_MOST_US = 600 * S  # that answers are waited for
_WARM_US = 5 * S


class UnansweredError(Exception):
    """Some had no answer within the bound."""


class DiscoveryQueue:
    """DiscoveryMode: one call at a time, first come first served."""

    def __init__(self, queue: EventQueue, call_us: int) -> None:
        self.queue, self._call_us = queue, call_us
        self.is_down = False
        self._free_at = 0

    def takes_until(self) -> tuple[int, bool]:
        """A call has come: when it is answered, and whether with a list."""
        now = self.queue.now
        if self.is_down:
            return now, False
        turn = max(self._free_at, now)
        if turn - now > _WAITS_US:
            return now + _WAITS_US, False  # whoever gives up its place takes none of its time
        self._free_at = turn + self._call_us
        return self._free_at, True


class Caller:
    """One sidecar: its module, and its one call to discovery."""

    def __init__(self, discovery: DiscoveryQueue, settings: Settings, seed: int) -> None:
        self._discovery, self._queue = discovery, discovery.queue
        self._balancer = Balancer(settings, seed)
        self._is_calling = False
        self.answered_at: int | None = None
        self._play(EndpointListReceived(EndpointListKind.COMPLETE, [EndpointEntry("10.0.0.1:80")], 1))

    def broken(self) -> None:
        """The watch ended without an answer."""
        self.answered_at = None
        self._fail()

    def _play(self, event: Event) -> None:
        for action in self._balancer.handle(self._queue.now, event):
            match action:
                case SetTimer():
                    self._queue.after(action.delay_us, self._play, TimerFired(action.token))
                case WatchEndpoints(is_enabled=True) if not self._is_calling and self.answered_at is None:
                    self._is_calling = True
                    self._queue.after(_ONE_WAY_US, self._arrive)

    def _arrive(self) -> None:
        at, is_list = self._discovery.takes_until()
        self._queue.at(at + _ONE_WAY_US, self._answered if is_list else self._fail)

    def _answered(self) -> None:
        self._is_calling = False
        self.answered_at = self._queue.now
        self._play(EndpointListReceived(EndpointListKind.CHANGES, [], 1))

    def _fail(self) -> None:
        self._is_calling = False
        self._play(EndpointListReceived(EndpointListKind.FAILED))


def _settings(size: int) -> Settings:
    look = ServiceClass("look", 2 * S, S // 2, idempotency=Idempotency.IDEMPOTENT)
    guarantees = Guarantees(max_poll_interval_us=10 * S)
    return Settings(classes=(look,), cluster_size=size, guarantees=guarantees)


def returned(size: int, call_ms: float, down_s: float, seed: int) -> list[float]:
    """All watches break as discovery goes down; seconds from its return until each has an answer."""
    queue = EventQueue()
    discovery = DiscoveryQueue(queue, int(call_ms * 1_000))
    settings = _settings(size)
    callers = [Caller(discovery, settings, seed * 10_000 + number) for number in range(size)]
    queue.run(_WARM_US)
    discovery.is_down = True
    for each in callers:
        each.broken()
    queue.run(_WARM_US + int(down_s * S))
    discovery.is_down = False
    back = queue.now
    while any(each.answered_at is None for each in callers):
        if queue.now - back > _MOST_US:
            raise UnansweredError(f"{size} sidecars, {call_ms:g} ms a call, seed {seed}")
        queue.run(queue.now + _STEP_US)
    return [(each.answered_at - back) / S for each in callers if each.answered_at is not None]


@dataclass(frozen=True, slots=True)
class _Cell:
    size: int
    call_ms: int
    down_s: int
    seed: int

    @property
    def case(self) -> str:
        return f"c={self.call_ms}ms, down {self.down_s}s"


def played(cell: _Cell) -> tuple[float, float] | None:
    """The longest and the 99th of a hundred; None if some had no answer."""
    try:
        waits = returned(cell.size, cell.call_ms, cell.down_s, cell.seed)
    except UnansweredError:
        return None
    return max(waits), float(np.quantile(waits, 0.99, method="higher"))


def measure() -> None:
    """All sizes, times a call and outages; write docs/capacity/discovery-line.json."""
    cells = [_Cell(*each) for each in itertools.product(sorted(SIZES, reverse=True), CALLS_MS, DOWN_S, SEEDS)]
    found = {cell: played(cell) for cell in cells}
    samples, missing = [], []
    for cell, waits in sorted(found.items(), key=lambda each: (each[0].size, each[0].call_ms)):
        if waits is None:
            missing.append(f"{cell.case} at {cell.size}, seed {cell.seed}")
            continue
        for part, value in zip(("max", "p99"), waits, strict=True):
            samples.append(
                Sample(
                    "discovery.return_told",
                    cell.size,
                    round(value, 4),
                    "s",
                    cell.case,
                    part,
                    "virtual",
                    cell.seed,
                )
            )
    for size, down_s in itertools.product(SIZES, DOWN_S):
        most = _most_call_ms({cell: waits for cell, waits in found.items() if cell.size == size}, down_s)
        samples.append(
            Sample("discovery.most_call_ms", size, most, "ms", f"down {down_s}s", "max", "virtual")
        )
    notes = (
        f"{len(SEEDS)} seeds; ask_within_us 10 s; refused while down, then one call after another, given up"
        f" after 3 s in line; most_call_ms: the greatest of {CALLS_MS} up to which all are told within"
        f" {TOLD_WITHIN_S:g} s on all seeds, 0 where none"
    )
    if missing:
        notes += f"; not all answered within {_MOST_US // S} s: {', '.join(missing)}"
    path = save("discovery-line", "make line", samples, valid=True, notes=notes)
    print(f"{path.name}: {len(samples)} samples, {len(missing)} runs without an end")


def _most_call_ms(found: dict[_Cell, tuple[float, float] | None], down_s: int) -> float:
    """The greatest time a call up to which, and including which, all are told in time on all seeds."""
    most = 0.0
    for call_ms in CALLS_MS:
        runs = [each for cell, each in found.items() if (cell.call_ms, cell.down_s) == (call_ms, down_s)]
        if any(each is None or each[0] > TOLD_WITHIN_S for each in runs):
            break
        most = float(call_ms)
    return most


if __name__ == "__main__":
    measure()
