"""Decides which endpoint lists are newer, even if overlapping polls are answered out of order; without I/O.

The connection pool and the balancer only receive lists that `EndpointListTracker.accept` returned.
"""

from __future__ import annotations

from dataclasses import replace

from balancer.events import EndpointEntry, EndpointState
from sidecar.discovery.endpoint_list import EndpointList, ListedEndpoint
from sidecar.errors import SidecarError

_MAX_GONE_SERVERS = 1_024  # remembered, so that a delayed list can't make them available again


class InconsistentChangesError(SidecarError):
    """Changes can't be applied to the current list, so a complete list must be requested."""


class EndpointListTracker:
    """Tracks the current endpoint list: its version, and the latest entry of each server.

    Polls may overlap, so responses are ordered by when their polls began.  `begin_poll` returns a position in
    that order.
    """

    def __init__(self, known: EndpointList) -> None:
        self.version = known.version
        self._position = 0  # last position assigned to a poll or an accepted list
        self._accepted_position = 0  # position of the current list
        self._is_continuous = False  # whether no poll has failed since the current list was accepted
        self._needs_complete_list = False
        self._entries = {endpoint.entry.server: endpoint.entry for endpoint in known.endpoints}
        # Start times of servers that are gone, in microseconds; the server that was removed last comes last.
        self._gone_servers: dict[str, int] = {}

    @property
    def after_version(self) -> int | None:
        """The version after which to request changes; None if a complete list is needed."""
        return None if self._needs_complete_list else self.version

    def begin_poll(self) -> int:
        """Return the position of a poll that begins now, which follows all earlier polls and lists."""
        self._position += 1
        return self._position

    def poll_failed(self) -> None:
        """Record that a poll failed or discovery's address changed, after which versions may start over."""
        self._is_continuous = False

    def accept(
        self, endpoint_list: EndpointList, position: int, after_version: int | None
    ) -> EndpointList | None:
        """Apply the response to a poll; return the applied list, or None if the response is outdated.

        While no poll fails, a response with a lower version than the current one is outdated.  After a failed
        poll, the lower version may come from a discovery service that was restarted, so a complete list is
        accepted.  It may also come from a delayed response, however, so it makes no server available that was
        draining or gone, unless that server has been restarted since.

        Args:
            endpoint_list: the response.
            position: what `begin_poll` returned for the poll.
            after_version: the version after which the poll requested changes; None for a complete list.

        Raises:
            InconsistentChangesError: the response holds changes with a lower version.
        """
        if not endpoint_list.is_complete and after_version is not None and after_version > self.version:
            return None  # these are changes to a list that has been replaced
        if endpoint_list.version < self.version:
            if self._is_continuous or position <= self._accepted_position:
                return None
            if not endpoint_list.is_complete:
                self._needs_complete_list = True
                raise InconsistentChangesError(
                    f"changes have version {endpoint_list.version}, the current list has {self.version}"
                )
            endpoints = tuple(self._keep_unavailable(endpoint) for endpoint in endpoint_list.endpoints)
            endpoint_list = replace(endpoint_list, endpoints=endpoints)
        self._apply(endpoint_list)
        return endpoint_list

    def _keep_unavailable(self, endpoint: ListedEndpoint) -> ListedEndpoint:
        """Return an entry of an older list, but keep a server draining or gone if a newer list said so."""
        entry = endpoint.entry
        started_at = entry.started_at or 0
        previous = self._entries.get(entry.server)
        gone_start = self._gone_servers.get(entry.server)
        if gone_start is not None and started_at <= gone_start:
            return ListedEndpoint(replace(entry, state=EndpointState.GONE), None)
        if previous is None or started_at > (previous.started_at or 0):
            return endpoint
        state = entry.state if previous.state is EndpointState.READY else EndpointState.DRAINING
        entry = replace(entry, state=state, started_at=previous.started_at)
        return ListedEndpoint(entry, endpoint.address)

    def _apply(self, endpoint_list: EndpointList) -> None:
        self.version = endpoint_list.version
        self._accepted_position = self.begin_poll()
        self._is_continuous = True
        entries = [endpoint.entry for endpoint in endpoint_list.endpoints]
        if endpoint_list.is_complete:
            self._needs_complete_list = False
            for server in self._entries.keys() - {entry.server for entry in entries}:
                self._remove(server, None)
        for entry in entries:
            self._update(entry)

    def _update(self, entry: EndpointEntry) -> None:
        if entry.state is EndpointState.GONE:
            self._remove(entry.server, entry.started_at)
        else:
            self._gone_servers.pop(entry.server, None)
            self._entries[entry.server] = entry

    def _remove(self, server: str, started_at: int | None) -> None:
        previous = self._entries.pop(server, None)
        previous_start = previous.started_at if previous is not None else None
        self._gone_servers.pop(server, None)
        self._gone_servers[server] = max(previous_start or 0, started_at or 0)
        if len(self._gone_servers) > _MAX_GONE_SERVERS:
            del self._gone_servers[next(iter(self._gone_servers))]
