"""The stand-in for discovery, by PROTOCOL's page: whole lists, watches, one call after another."""

from __future__ import annotations

import asyncio
import json
import random
import re
from collections.abc import Callable

from testbed import events as log
from testbed.catalog import EndpointCatalog, EntryChange
from testbed.clock import RunClock
from testbed.emulator.message import MalformedRequestError, Requests, answer
from testbed.emulator.switch import Handler, Passage
from testbed.scenario.scenario_run import ScenarioRun

_WATCH = re.compile(rb"[?&]after=([0-9]+)&wait_ms=([0-9]+)")
_LONGEST_MS = 60_000
DOWN = answer(b"503 Down")


class StandInDiscovery:
    """One service for all copies; it tells each the addresses that are the copy's own."""

    def __init__(
        self,
        day: ScenarioRun,
        clock: RunClock,
        writer: log.EventLogWriter,
        addresses: list[list[str]],
        rng: random.Random,
    ) -> None:
        """`addresses[copy][server]` is where a copy finds a server."""
        self.catalog = EndpointCatalog(day)
        self.told = [1] * len(day.replicas)  # the newest version that reached each copy
        self._day, self._clock, self._writer, self._rng = day, clock, writer, rng
        self._addresses = addresses
        self._free_at = 0
        self._watches: set[_Call] = set()
        self._down = [fault for fault in day.faults if fault.kind == "discovery_down"]

    def start(self) -> None:
        """Plan every change and every trouble of the day."""
        for change in self.catalog.changes:
            self._at(change.at_us, self._tell_watches)
        for outage in self._down:
            self._at(outage.start_us, self._end_watches)

    def _at(self, at: int, act: Callable[[], None]) -> None:
        asyncio.get_running_loop().call_later(self._clock.wait_s(at) + 0.0005, act)

    def connected(self, copy: int, passage: Passage) -> Handler:
        """Create the handler of a new connection from a replica."""
        return _Call(self, copy, passage)

    # Calls

    def called(self, call: _Call, after: int | None, wait_ms: int) -> None:
        """A call came whole: it waits for its turn, or fails at once where that would be too long."""
        now = self._clock.now()
        turn = max(self._free_at, now)
        fails = self._is_down(now) or turn - now > self._day.discovery.max_queueing_us
        if fails or self._rng.random() < self._day.discovery.failure_rate:
            self._answered(call, DOWN, well=False)
            return
        self._free_at = turn + self._day.discovery.service_time_us
        self._at(self._free_at, lambda: self._handle(call, after, wait_ms))

    def _handle(self, call: _Call, after: int | None, wait_ms: int) -> None:
        newest = self.catalog.version_at(self._clock.now())
        if after is not None and after >= newest and wait_ms > 0:
            call.watches_from = after
            self._watches.add(call)
            self._at(self._clock.now() + wait_ms * 1_000, lambda: self._give_up(call))
        else:
            self._tell(call, after)

    def forget(self, call: _Call) -> None:
        """Drop a watch that is over."""
        self._watches.discard(call)

    def _give_up(self, call: _Call) -> None:
        if call in self._watches:
            self._watches.discard(call)
            self._tell(call, call.watches_from)

    def _tell_watches(self) -> None:
        for call in list(self._watches):
            self._watches.discard(call)
            self._tell(call, call.watches_from)

    def _end_watches(self) -> None:
        for call in list(self._watches):
            self._watches.discard(call)
            call.passage.reset()

    def _is_down(self, now: int) -> bool:
        return any(outage.start_us <= now < outage.end_us for outage in self._down)

    def _tell(self, call: _Call, after: int | None) -> None:
        version = self.catalog.version_at(self._clock.now())
        full = not after or after > version  # at 0 nothing is held yet
        changes = (
            self.catalog.full_list(version) if full else self.catalog.changes_between(after or 1, version)
        )
        body = json.dumps(self.listing(call.copy, version, changes, full=full)).encode()

        def delivered() -> None:
            self.told[call.copy] = max(version, self.told[call.copy])
            self._told(call.copy, version, changes, full=full)

        self._answered(call, answer(b"200 OK", body), delivered, well=True)

    def _answered(
        self, call: _Call, message: bytes, delivered: Callable[[], None] | None = None, *, well: bool
    ) -> None:
        self._writer.write(log.DiscoveryPolled(at_us=self._clock.now(), replica=call.copy, succeeded=well))
        call.passage.send(message, delivered)

    def _told(self, copy: int, version: int, changes: list[EntryChange], *, full: bool) -> None:
        """Word reached a copy."""
        lines = [(change.server, change.state, change.started_at_us) for change in changes]
        at = self._clock.now()
        self._writer.write(
            log.EndpointListDelivered(at_us=at, replica=copy, version=version, is_full=full, entries=lines)
        )

    def known(self, copy: int) -> dict[str, object]:
        """The list as a copy last had it, told to its next process at the start."""
        version = self.told[copy]
        changes = self.catalog.full_list(version)
        self._told(copy, version, changes, full=True)
        return self.listing(copy, version, changes, full=True)

    def listing(
        self, copy: int, version: int, changes: list[EntryChange], *, full: bool
    ) -> dict[str, object]:
        """Entries in discovery's form."""
        return {"version": version, "full": full, "servers": [self._line(copy, change) for change in changes]}

    def _line(self, copy: int, change: EntryChange) -> dict[str, object]:
        server = self._day.servers[change.server]
        return {
            "id": f"s-{change.server}",
            "addr": self._addresses[copy][change.server],
            "zone": server.zone,
            "kind": "m",
            "cell": server.cell,
            "state": change.state,
            "weight": 1.0,
            "started_ms": 0 if change.started_at_us is None else self._clock.unix_ms(change.started_at_us),
        }


class _Call:
    """Discovery's end of one connection, which has one call at a time."""

    def __init__(self, owner: StandInDiscovery, copy: int, passage: Passage) -> None:
        self.copy, self.passage = copy, passage
        self.watches_from: int | None = None
        self._owner = owner
        self._reading = Requests()

    def received(self, data: bytes) -> None:
        try:
            for head, _ in self._reading.feed(data):
                self._asked(head.partition(b"\r\n")[0])
        except MalformedRequestError:
            self.passage.reset()

    def _asked(self, line: bytes) -> None:
        if not line.startswith(b"GET /catalog/members"):
            self.passage.send(answer(b"404 Unknown"))
            return
        watch = _WATCH.search(line)
        if watch is None:
            self._owner.called(self, None, 0)
        else:
            self._owner.called(self, int(watch[1]), min(int(watch[2]), _LONGEST_MS))

    def ended(self) -> None:
        self._owner.forget(self)
