"""Decides which endpoint lists are news, whatever order overlapping polls are answered in; without I/O.

The connection pool and the balancer get the lists that `EndpointListTracker.accept` returns, and no others.
"""

from __future__ import annotations

from dataclasses import replace

from balancer.events import EndpointEntry, EndpointState
from sidecar.discovery.endpoint_list import EndpointList, ListedEndpoint
from sidecar.errors import SidecarError

_MAX_GONE_SERVERS = 1_024  # that are remembered, so that a delayed list can't bring them back


class InconsistentChangesError(SidecarError):
    """Changes can't be applied to the list that is held: a complete list is needed."""


class EndpointListTracker:
    """The endpoint list that this process holds: its version, and the last entry of each server.

    Polls may overlap, so a response is ordered by when its poll began: `begin_poll` returns that position.
    """

    def __init__(self, known: EndpointList) -> None:
        self.version = known.version
        self._position = 0  # of the last poll or accepted list
        self._accepted_position = 0  # of the list that is held
        self._is_continuous = False  # no poll has failed since that list was accepted
        self._needs_complete_list = False
        self._entries = {endpoint.entry.server: endpoint.entry for endpoint in known.endpoints}
        # When servers that are gone had started, in microseconds; the latest last.
        self._gone_servers: dict[str, int] = {}

    @property
    def after_version(self) -> int | None:
        """The version after which changes are wanted; None: a complete list is needed."""
        return None if self._needs_complete_list else self.version

    def begin_poll(self) -> int:
        """Return the position of a poll that begins now among polls and lists."""
        self._position += 1
        return self._position

    def poll_failed(self) -> None:
        """Note that a poll failed or discovery moved: its next response may start over with its versions."""
        self._is_continuous = False

    def accept(
        self, endpoint_list: EndpointList, position: int, after_version: int | None
    ) -> EndpointList | None:
        """Take over the response to a poll for changes after that version; return None if it is no news.

        A lower version is outdated while polls succeed without interruption.  After one failed, it may be
        that of a discovery service that was restarted: a complete list is then accepted, but it makes no
        server available that was draining or gone, unless that server has started since.  So nothing is lost
        if the list was only delayed.  Raises InconsistentChangesError for changes with a lower version.
        """
        if not endpoint_list.is_complete and after_version is not None and after_version > self.version:
            return None  # changes to a list that is no longer held
        if endpoint_list.version < self.version:
            if self._is_continuous or position <= self._accepted_position:
                return None
            if not endpoint_list.is_complete:
                self._needs_complete_list = True
                raise InconsistentChangesError(
                    f"changes up to {endpoint_list.version} for a list of {self.version}"
                )
            endpoints = tuple(self._keep_unavailable(endpoint) for endpoint in endpoint_list.endpoints)
            endpoint_list = replace(endpoint_list, endpoints=endpoints)
        self._apply(endpoint_list)
        return endpoint_list

    def _keep_unavailable(self, endpoint: ListedEndpoint) -> ListedEndpoint:
        """Return what an older list says of a server, except where a newer list said it was unavailable."""
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
