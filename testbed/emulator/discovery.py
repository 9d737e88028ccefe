"""The stand-in for discovery, as the page PROTOCOL specifies it.

It serves full lists, changes and watches of the endpoint list, one call at a time.
"""

from __future__ import annotations

import asyncio
import json
import random
import re
from collections.abc import Callable

from testbed import events as log
from testbed.catalog import EndpointCatalog, EntryChange
from testbed.clock import RunClock
from testbed.emulator.message import MalformedRequestError, RequestParser, encode_response
from testbed.emulator.switch import Handler, SwitchConnection
from testbed.scenario.scenario_run import ScenarioRun

_WATCH_QUERY = re.compile(rb"[?&]after=([0-9]+)&wait_ms=([0-9]+)")
_MAX_WAIT_MS = 60_000
UNAVAILABLE_RESPONSE = encode_response(b"503 Down")


class StandInDiscovery:
    """One discovery service for all replicas; each replica gets its own addresses of the servers."""

    def __init__(
        self,
        run: ScenarioRun,
        clock: RunClock,
        writer: log.EventLogWriter,
        addresses: list[list[str]],
        rng: random.Random,
    ) -> None:
        """`addresses[replica][server]` is the address of a server as that replica sees it."""
        self.catalog = EndpointCatalog(run)
        self.delivered_versions = [1] * len(run.replicas)  # newest version delivered to each replica
        self._run, self._clock, self._writer, self._rng = run, clock, writer, rng
        self._addresses = addresses
        self._idle_from_us = 0
        self._watches: set[_Call] = set()
        self._outages = [fault for fault in run.faults if fault.kind == "discovery_down"]

    def start(self) -> None:
        """Schedule the changes of the list and the outages; called when the run starts."""
        for change in self.catalog.changes:
            self._schedule(change.at_us, self._complete_watches)
        for outage in self._outages:
            self._schedule(outage.start_us, self._reset_watches)

    def _schedule(self, at_us: int, callback: Callable[[], None]) -> None:
        asyncio.get_running_loop().call_later(self._clock.wait_s(at_us) + 0.0005, callback)

    def connected(self, replica: int, connection: SwitchConnection) -> Handler:
        """Create the handler of a new connection from a replica."""
        return _Call(self, replica, connection)

    # Calls

    def receive_call(self, call: _Call, after: int | None, wait_ms: int) -> None:
        """Queue a call, or reject it at once: in an outage, if the queue is too long, or by a random draw."""
        now = self._clock.now()
        service_start_us = max(self._idle_from_us, now)
        is_rejected = self._is_down(now) or service_start_us - now > self._run.discovery.max_queueing_us
        if is_rejected or self._rng.random() < self._run.discovery.failure_rate:
            self._respond(call, UNAVAILABLE_RESPONSE, succeeded=False)
            return
        self._idle_from_us = service_start_us + self._run.discovery.service_time_us
        self._schedule(self._idle_from_us, lambda: self._handle(call, after, wait_ms))

    def _handle(self, call: _Call, after: int | None, wait_ms: int) -> None:
        newest = self.catalog.version_at(self._clock.now())
        if after is not None and after >= newest and wait_ms > 0:
            call.watched_version = after
            self._watches.add(call)
            self._schedule(self._clock.now() + wait_ms * 1_000, lambda: self._expire_watch(call))
        else:
            self._send_list(call, after)

    def remove_watch(self, call: _Call) -> None:
        """Remove a watch whose connection has closed."""
        self._watches.discard(call)

    def _expire_watch(self, call: _Call) -> None:
        if call in self._watches:
            self._watches.discard(call)
            self._send_list(call, call.watched_version)

    def _complete_watches(self) -> None:
        for call in list(self._watches):
            self._watches.discard(call)
            self._send_list(call, call.watched_version)

    def _reset_watches(self) -> None:
        for call in list(self._watches):
            self._watches.discard(call)
            call.connection.reset()

    def _is_down(self, now: int) -> bool:
        return any(outage.start_us <= now < outage.end_us for outage in self._outages)

    def _send_list(self, call: _Call, after: int | None) -> None:
        version = self.catalog.version_at(self._clock.now())
        full = not after or after > version  # version 0: the replica has no list yet
        changes = (
            self.catalog.full_list(version) if full else self.catalog.changes_between(after or 1, version)
        )
        body = json.dumps(self.encode_list(call.replica, version, changes, full=full)).encode()

        def delivered() -> None:
            self.delivered_versions[call.replica] = max(version, self.delivered_versions[call.replica])
            self._log_delivery(call.replica, version, changes, full=full)

        self._respond(call, encode_response(b"200 OK", body), delivered, succeeded=True)

    def _respond(
        self, call: _Call, message: bytes, delivered: Callable[[], None] | None = None, *, succeeded: bool
    ) -> None:
        self._writer.write(
            log.DiscoveryPolled(at_us=self._clock.now(), replica=call.replica, succeeded=succeeded)
        )
        call.connection.send(message, delivered)

    def _log_delivery(self, replica: int, version: int, changes: list[EntryChange], *, full: bool) -> None:
        """Log that a list was delivered to a replica."""
        entries = [(change.server, change.state, change.started_at_us) for change in changes]
        at_us = self._clock.now()
        self._writer.write(
            log.EndpointListDelivered(
                at_us=at_us, replica=replica, version=version, is_full=full, entries=entries
            )
        )

    def initial_list(self, replica: int) -> dict[str, object]:
        """The list that a replica last received, which its next process gets at its start."""
        version = self.delivered_versions[replica]
        changes = self.catalog.full_list(version)
        self._log_delivery(replica, version, changes, full=True)
        return self.encode_list(replica, version, changes, full=True)

    def encode_list(
        self, replica: int, version: int, changes: list[EntryChange], *, full: bool
    ) -> dict[str, object]:
        """Encode entries as in discovery's responses."""
        return {
            "version": version,
            "full": full,
            "servers": [self._encode_entry(replica, change) for change in changes],
        }

    def _encode_entry(self, replica: int, change: EntryChange) -> dict[str, object]:
        server = self._run.servers[change.server]
        return {
            "id": f"s-{change.server}",
            "addr": self._addresses[replica][change.server],
            "zone": server.zone,
            "kind": "m",
            "cell": server.cell,
            "state": change.state,
            "weight": 1.0,
            "started_ms": 0 if change.started_at_us is None else self._clock.unix_ms(change.started_at_us),
        }


class _Call:
    """Discovery's side of one connection, which has one call at a time."""

    def __init__(self, owner: StandInDiscovery, replica: int, connection: SwitchConnection) -> None:
        self.replica, self.connection = replica, connection
        self.watched_version: int | None = None
        self._owner = owner
        self._parser = RequestParser()

    def received(self, data: bytes) -> None:
        try:
            for head, _ in self._parser.feed(data):
                self._on_request(head.partition(b"\r\n")[0])
        except MalformedRequestError:
            self.connection.reset()

    def _on_request(self, line: bytes) -> None:
        if not line.startswith(b"GET /catalog/members"):
            self.connection.send(encode_response(b"404 Unknown"))
            return
        watch = _WATCH_QUERY.search(line)
        if watch is None:
            self._owner.receive_call(self, None, 0)
        else:
            self._owner.receive_call(self, int(watch[1]), min(int(watch[2]), _MAX_WAIT_MS))

    def closed(self) -> None:
        self._owner.remove_watch(self)
