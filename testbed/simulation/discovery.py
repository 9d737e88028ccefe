"""Modelled discovery: the catalog told by calls and watches, one call after another."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from balancer.events import EndpointEntry, EndpointListKind, EndpointListReceived, EndpointState
from testbed import events as log
from testbed.catalog import EndpointCatalog, EntryChange
from testbed.links import NEVER, Links
from testbed.scenario.scenario_run import DISCOVERY, ScenarioRun
from testbed.simulation.queue import EventQueue
from testbed.simulation.servers import Sink

WATCH_US = 20_000_000  # how long a sidecar's watch may wait for news
_ANSWER_WITHIN_US = 5_000_000  # and how long it waits for an answer that is owed at once
_STATES = {"active": EndpointState.READY, "leaving": EndpointState.DRAINING, "left": EndpointState.GONE}


@dataclass(frozen=True, slots=True)
class ListAnswer:
    """An answer to a call, with the complete endpoint list or with changes since an earlier version."""

    version: int
    entries: list[EntryChange]
    is_complete: bool


Answer = Callable[["ListAnswer | None"], None]  # None: the call failed


class ModelDiscovery:
    """One service for all copies."""

    def __init__(
        self, day: ScenarioRun, queue: EventQueue, links: Links, sink: Sink, rng: random.Random, epoch_us: int
    ) -> None:
        """`epoch_us` is the module's clock at the day's beginning."""
        self.catalog = EndpointCatalog(day)
        self._day, self._queue, self._sink, self._rng = day, queue, sink, rng
        self._epoch_us = epoch_us
        self._there = [links.between(copy.party, DISCOVERY) for copy in day.replicas]
        self._back = [links.between(DISCOVERY, copy.party) for copy in day.replicas]
        self._down = [fault for fault in day.faults if fault.kind == "discovery_down"]
        self._free_at = 0
        self._watches: dict[int, tuple[int, int, Answer]] = {}  # by call: copy, version, whom to tell
        self._calls = 0
        for change in self.catalog.changes:
            queue.at(change.at_us, self._tell_watches)
        for outage in self._down:
            queue.at(outage.start_us, self._end_watches)

    def call(self, copy: int, after: int | None, wait_us: int, answer: Answer) -> None:
        """A copy calls; it is answered once, unless a cut holds the answer for good."""
        now = self._queue.now
        if self._there[copy].is_cut(now) or self._back[copy].is_cut(now):
            self._queue.after(1_000_000, answer, None)  # the connection never comes up
            return
        self._calls += 1
        self._queue.at(
            self._there[copy].arrival(now), self._called, self._calls, copy, after, wait_us, answer
        )

    def _called(self, call: int, copy: int, after: int | None, wait_us: int, answer: Answer) -> None:
        now = self._queue.now
        turn = max(self._free_at, now)
        fails = self._is_down(now) or turn - now > self._day.discovery.max_queueing_us
        if fails or self._rng.random() < self._day.discovery.failure_rate:
            self._fail(copy, answer)
            return
        self._free_at = turn + self._day.discovery.service_time_us
        self._queue.at(self._free_at, self._handle, call, copy, after, wait_us, answer)

    def _handle(self, call: int, copy: int, after: int | None, wait_us: int, answer: Answer) -> None:
        newest = self.catalog.version_at(self._queue.now)
        if after is not None and after >= newest and wait_us:
            self._watches[call] = copy, after, answer
            self._queue.after(wait_us, self._give_up, call)
        else:
            self._tell(copy, after, answer)

    def _give_up(self, call: int) -> None:
        if call in self._watches:
            self._tell(*self._watches.pop(call))

    def _tell_watches(self) -> None:
        watches, self._watches = self._watches, {}
        for copy, after, answer in watches.values():
            self._tell(copy, after, answer)

    def _end_watches(self) -> None:
        watches, self._watches = self._watches, {}
        for copy, _, answer in watches.values():
            self._fail(copy, answer)

    def _is_down(self, now: int) -> bool:
        return any(outage.start_us <= now < outage.end_us for outage in self._down)

    def _tell(self, copy: int, after: int | None, answer: Answer) -> None:
        version = self.catalog.version_at(self._queue.now)
        whole = after is None or after > version
        entries = (
            self.catalog.full_list(version) if whole else self.catalog.changes_between(after or 1, version)
        )
        self._sink(log.DiscoveryPolled(at_us=self._queue.now, replica=copy, succeeded=True))
        self._pass_on(copy, answer, ListAnswer(version, entries, is_complete=whole))

    def _fail(self, copy: int, answer: Answer) -> None:
        self._sink(log.DiscoveryPolled(at_us=self._queue.now, replica=copy, succeeded=False))
        self._pass_on(copy, answer, None)

    def _pass_on(self, copy: int, answer: Answer, answered: ListAnswer | None) -> None:
        at = self._back[copy].arrival(self._queue.now)
        if at < NEVER:
            self._queue.at(min(at, self._queue.now + _ANSWER_WITHIN_US + WATCH_US), answer, answered)

    def told(self, copy: int, answer: ListAnswer) -> None:
        """Log that an answer reached a copy that runs."""
        lines = [(entry.server, entry.state, entry.started_at_us) for entry in answer.entries]
        at, version, full = self._queue.now, answer.version, answer.is_complete
        self._sink(
            log.EndpointListDelivered(at_us=at, replica=copy, version=version, is_full=full, entries=lines)
        )

    def event(self, version: int, entries: list[EntryChange], kind: EndpointListKind) -> EndpointListReceived:
        """Entries as the module hears them."""
        return EndpointListReceived(kind, [self._listed(entry) for entry in entries], version)

    def _listed(self, change: EntryChange) -> EndpointEntry:
        server = self._day.servers[change.server]
        started = None if change.started_at_us is None else self._epoch_us + change.started_at_us
        return EndpointEntry(
            server=f"s-{server.number}",
            zone=server.zone,
            machine_type="m",
            cell=server.cell,
            state=_STATES[change.state],
            started_at=started,
        )
