"""Simulated discovery: serves the endpoint list to polls and watches, one call after another."""

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

WATCH_US = 20_000_000  # how long discovery may hold a sidecar's watch until the list changes
_RESPONSE_TIMEOUT_US = 5_000_000  # how long a sidecar waits for a response beyond the time of a watch
_FAILED_CONNECT_US = 1_000_000
_STATES = {"active": EndpointState.READY, "leaving": EndpointState.DRAINING, "left": EndpointState.GONE}


@dataclass(frozen=True, slots=True)
class ListResponse:
    """A response to a call, with the complete endpoint list or with changes since an earlier version."""

    version: int
    entries: list[EntryChange]
    is_complete: bool


OnResponse = Callable[["ListResponse | None"], None]  # called with None if the call failed


class SimulatedDiscovery:
    """The discovery service of all replicas."""

    def __init__(
        self,
        run: ScenarioRun,
        queue: EventQueue,
        links: Links,
        sink: Sink,
        rng: random.Random,
        run_start_us: int,
    ) -> None:
        """`run_start_us` is the balancer's clock at the start of the run."""
        self.catalog = EndpointCatalog(run)
        self._run, self._queue, self._sink, self._rng = run, queue, sink, rng
        self._run_start_us = run_start_us
        self._links_to = [links.between(replica.party, DISCOVERY) for replica in run.replicas]
        self._links_from = [links.between(DISCOVERY, replica.party) for replica in run.replicas]
        self._outages = [fault for fault in run.faults if fault.kind == "discovery_down"]
        self._free_at = 0  # when the calls handled so far are done
        self._watches: dict[int, tuple[int, int, OnResponse]] = {}  # by call: replica, version, callback
        self._call_count = 0
        for change in self.catalog.changes:
            queue.at(change.at_us, self._notify_watches)
        for outage in self._outages:
            queue.at(outage.start_us, self._fail_watches)

    def call(self, replica: int, after: int | None, wait_us: int, on_response: OnResponse) -> None:
        """Call discovery for a replica.

        `after` is the version that the replica has, None for the complete list; with `wait_us`, the call is a
        watch that waits so long for a newer version.  `on_response` is called once, or never if a cut without
        end holds the call or the response.
        """
        now = self._queue.now
        if self._links_to[replica].is_cut(now) or self._links_from[replica].is_cut(now):
            self._queue.after(_FAILED_CONNECT_US, on_response, None)
            return
        self._call_count += 1
        self._queue.at(
            self._links_to[replica].arrival(now),
            self._receive_call,
            self._call_count,
            replica,
            after,
            wait_us,
            on_response,
        )

    def _receive_call(
        self, call: int, replica: int, after: int | None, wait_us: int, on_response: OnResponse
    ) -> None:
        now = self._queue.now
        starts_at = max(self._free_at, now)
        fails = self._is_down(now) or starts_at - now > self._run.discovery.max_queueing_us
        if fails or self._rng.random() < self._run.discovery.failure_rate:
            self._fail(replica, on_response)
            return
        self._free_at = starts_at + self._run.discovery.service_time_us
        self._queue.at(self._free_at, self._handle_call, call, replica, after, wait_us, on_response)

    def _handle_call(
        self, call: int, replica: int, after: int | None, wait_us: int, on_response: OnResponse
    ) -> None:
        newest = self.catalog.version_at(self._queue.now)
        if after is not None and after >= newest and wait_us:
            self._watches[call] = replica, after, on_response
            self._queue.after(wait_us, self._end_watch, call)
        else:
            self._send_list(replica, after, on_response)

    def _end_watch(self, call: int) -> None:
        """Answer a watch at the end of its time, without a newer version."""
        if call in self._watches:
            self._send_list(*self._watches.pop(call))

    def _notify_watches(self) -> None:
        watches, self._watches = self._watches, {}
        for replica, after, on_response in watches.values():
            self._send_list(replica, after, on_response)

    def _fail_watches(self) -> None:
        watches, self._watches = self._watches, {}
        for replica, _, on_response in watches.values():
            self._fail(replica, on_response)

    def _is_down(self, now: int) -> bool:
        return any(outage.start_us <= now < outage.end_us for outage in self._outages)

    def _send_list(self, replica: int, after: int | None, on_response: OnResponse) -> None:
        version = self.catalog.version_at(self._queue.now)
        is_complete = after is None or after > version
        entries = (
            self.catalog.full_list(version)
            if is_complete
            else self.catalog.changes_between(after or 1, version)
        )
        self._sink(log.DiscoveryPolled(at_us=self._queue.now, replica=replica, succeeded=True))
        self._respond(replica, on_response, ListResponse(version, entries, is_complete=is_complete))

    def _fail(self, replica: int, on_response: OnResponse) -> None:
        self._sink(log.DiscoveryPolled(at_us=self._queue.now, replica=replica, succeeded=False))
        self._respond(replica, on_response, None)

    def _respond(self, replica: int, on_response: OnResponse, response: ListResponse | None) -> None:
        """Call back when the response arrives, or at the latest when the replica stops waiting for it."""
        at = self._links_from[replica].arrival(self._queue.now)
        if at < NEVER:
            latest = self._queue.now + _RESPONSE_TIMEOUT_US + WATCH_US
            self._queue.at(min(at, latest), on_response, response)

    def log_delivery(self, replica: int, response: ListResponse) -> None:
        """Log that a response reached a running replica."""
        entries = [(entry.server, entry.state, entry.started_at_us) for entry in response.entries]
        self._sink(
            log.EndpointListDelivered(
                at_us=self._queue.now,
                replica=replica,
                version=response.version,
                is_full=response.is_complete,
                entries=entries,
            )
        )

    def list_event(
        self, version: int, entries: list[EntryChange], kind: EndpointListKind
    ) -> EndpointListReceived:
        """Return the balancer's event for entries of the endpoint list."""
        return EndpointListReceived(kind, [self._endpoint_entry(entry) for entry in entries], version)

    def _endpoint_entry(self, change: EntryChange) -> EndpointEntry:
        server = self._run.servers[change.server]
        started_at = None if change.started_at_us is None else self._run_start_us + change.started_at_us
        return EndpointEntry(
            server=f"s-{server.number}",
            zone=server.zone,
            machine_type="m",
            cell=server.cell,
            state=_STATES[change.state],
            started_at=started_at,
        )
