"""Discovery's queue after an outage: the time until all sidecars of a cluster have an answer (`make line`).

The backoff is that of `balancer.Balancer`, and calls follow `sidecar.discovery.watcher`: a broken watch is
called again when the balancer says so, and a repeated request for it keeps its place in the queue.  Discovery
is a model: it rejects calls while it is down; afterwards it serves them one after another, each for a fixed
time, and answers a call that has waited for 3 s without a list.  Times are microseconds.
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
ANSWER_BOUND_S = 6.0  # after discovery's return, for `discovery.most_call_ms`
S = 1_000_000
_ONE_WAY_US = 500
_MAX_WAIT_US = 3 * S  # of a call in the queue
_STEP_US = S // 4
_TIMEOUT_US = 600 * S  # until all sidecars have an answer
_WARM_UP_US = 5 * S


class UnansweredError(Exception):
    """Some sidecars had no answer within the timeout."""


class DiscoveryQueue:
    """A model of discovery that serves one call at a time, in order of arrival."""

    def __init__(self, queue: EventQueue, call_us: int) -> None:
        self.queue, self._call_us = queue, call_us
        self.is_down = False
        self._free_at = 0

    def enqueue_call(self) -> tuple[int, bool]:
        """Accept a call; return the time of its answer, and whether the answer has a list."""
        now = self.queue.now
        if self.is_down:
            return now, False
        starts_at = max(self._free_at, now)
        if starts_at - now > _MAX_WAIT_US:
            return now + _MAX_WAIT_US, False  # a call that is given up takes no service time
        self._free_at = starts_at + self._call_us
        return self._free_at, True


class Caller:
    """One sidecar: its balancer, and its call to discovery, of which there is one at a time."""

    def __init__(self, discovery: DiscoveryQueue, settings: Settings, seed: int) -> None:
        self._discovery, self._queue = discovery, discovery.queue
        self._balancer = Balancer(settings, seed)
        self._is_calling = False
        self.answered_at: int | None = None
        self._handle(EndpointListReceived(EndpointListKind.COMPLETE, [EndpointEntry("10.0.0.1:80")], 1))

    def break_watch(self) -> None:
        """End the watch without an answer."""
        self.answered_at = None
        self._fail()

    def _handle(self, event: Event) -> None:
        for action in self._balancer.handle(self._queue.now, event):
            match action:
                case SetTimer():
                    self._queue.after(action.delay_us, self._handle, TimerFired(action.token))
                case WatchEndpoints(is_enabled=True) if not self._is_calling and self.answered_at is None:
                    self._is_calling = True
                    self._queue.after(_ONE_WAY_US, self._arrive)

    def _arrive(self) -> None:
        answer_at, has_list = self._discovery.enqueue_call()
        self._queue.at(answer_at + _ONE_WAY_US, self._answered if has_list else self._fail)

    def _answered(self) -> None:
        self._is_calling = False
        self.answered_at = self._queue.now
        self._handle(EndpointListReceived(EndpointListKind.CHANGES, [], 1))

    def _fail(self) -> None:
        self._is_calling = False
        self._handle(EndpointListReceived(EndpointListKind.FAILED))


def _settings(size: int) -> Settings:
    look = ServiceClass("look", 2 * S, S // 2, idempotency=Idempotency.IDEMPOTENT)
    guarantees = Guarantees(max_poll_interval_us=10 * S)
    return Settings(classes=(look,), cluster_size=size, guarantees=guarantees)


def answer_delays(size: int, call_ms: float, down_s: float, seed: int) -> list[float]:
    """Return the seconds from discovery's return until each sidecar has an answer, after an outage.

    All watches break at the start of the outage.  Raises UnansweredError at the timeout.
    """
    queue = EventQueue()
    discovery = DiscoveryQueue(queue, int(call_ms * 1_000))
    settings = _settings(size)
    callers = [Caller(discovery, settings, seed * 10_000 + number) for number in range(size)]
    queue.run(_WARM_UP_US)
    discovery.is_down = True
    for caller in callers:
        caller.break_watch()
    queue.run(_WARM_UP_US + int(down_s * S))
    discovery.is_down = False
    returned_at = queue.now
    while any(caller.answered_at is None for caller in callers):
        if queue.now - returned_at > _TIMEOUT_US:
            raise UnansweredError(
                f"not all of {size} sidecars had an answer within {_TIMEOUT_US // S} s,"
                f" with {call_ms:g} ms a call and seed {seed}"
            )
        queue.run(queue.now + _STEP_US)
    return [(caller.answered_at - returned_at) / S for caller in callers if caller.answered_at is not None]


@dataclass(frozen=True, slots=True)
class _Cell:
    """One outage: the cluster size, discovery's time for a call, and the length of the outage."""

    size: int
    call_ms: int
    down_s: int
    seed: int

    @property
    def case(self) -> str:
        return f"c={self.call_ms}ms, down {self.down_s}s"


def run_cell(cell: _Cell) -> tuple[float, float] | None:
    """Return the longest delay and the 99th percentile; None if some sidecars had no answer."""
    try:
        delays = answer_delays(cell.size, cell.call_ms, cell.down_s, cell.seed)
    except UnansweredError:
        return None
    return max(delays), float(np.quantile(delays, 0.99, method="higher"))


def measure() -> None:
    """Measure all sizes, call times and outages; write docs/capacity/discovery-line.json."""
    cells = [
        _Cell(*values) for values in itertools.product(sorted(SIZES, reverse=True), CALLS_MS, DOWN_S, SEEDS)
    ]
    results = {cell: run_cell(cell) for cell in cells}
    samples, missing = [], []
    for cell, delays in sorted(results.items(), key=lambda item: (item[0].size, item[0].call_ms)):
        if delays is None:
            missing.append(f"{cell.case} at {cell.size}, seed {cell.seed}")
            continue
        for part, value in zip(("max", "p99"), delays, strict=True):
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
        of_size = {cell: delays for cell, delays in results.items() if cell.size == size}
        max_call_ms = _max_call_ms(of_size, down_s)
        samples.append(
            Sample("discovery.most_call_ms", size, max_call_ms, "ms", f"down {down_s}s", "max", "virtual")
        )
    notes = (
        f"{len(SEEDS)} seeds; ask_within_us 10 s; refused while down, then one call after another, given up"
        f" after 3 s in line; most_call_ms: the greatest of {CALLS_MS} up to which all are told within"
        f" {ANSWER_BOUND_S:g} s on all seeds, 0 where none"
    )
    if missing:
        notes += f"; not all answered within {_TIMEOUT_US // S} s: {', '.join(missing)}"
    path = save("discovery-line", "make line", samples, valid=True, notes=notes)
    print(f"{path.name}: {len(samples)} samples, {len(missing)} runs without an end")


def _max_call_ms(results: dict[_Cell, tuple[float, float] | None], down_s: int) -> float:
    """Return the greatest call time up to which all sidecars have an answer in time on all seeds; else 0."""
    max_call_ms = 0.0
    for call_ms in CALLS_MS:
        delays_by_seed = [
            delays for cell, delays in results.items() if (cell.call_ms, cell.down_s) == (call_ms, down_s)
        ]
        if any(delays is None or delays[0] > ANSWER_BOUND_S for delays in delays_by_seed):
            break
        max_call_ms = float(call_ms)
    return max_call_ms


if __name__ == "__main__":
    measure()
