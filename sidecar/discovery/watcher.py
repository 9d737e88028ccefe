"""Watches the endpoint list by consecutive long polls, which discovery answers when there are changes."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from sidecar.address import Address
from sidecar.discovery.connection import DiscoveryConnection, PollFailedError
from sidecar.discovery.endpoint_list import EndpointList
from sidecar.discovery.endpoint_list_tracker import EndpointListTracker, InconsistentChangesError
from sidecar.discovery.hedged_poll import HedgedPoll

_MAX_WAIT_MS = 20_000
# Maximum fraction by which a wait is shortened at random.  When all watches of a cluster are interrupted at
# once, the jitter keeps them from returning at once each time.
_WAIT_JITTER = 0.25


class Watcher:
    """A watch of the endpoint list at one address of discovery."""

    def __init__(
        self,
        address: Address,
        tracker: EndpointListTracker,
        random: Random,
        on_list: Callable[[EndpointList], None],
        on_first_response: Callable[[], None],
    ) -> None:
        self._address = address
        self._tracker = tracker
        self._random = random
        self._on_list = on_list
        self._on_first_response = on_first_response
        self.has_response = False  # whether any poll has been answered

    async def run(self) -> None:
        """Watch until a poll fails, which raises PollFailedError.

        The first poll has no wait, so that it is answered immediately.
        """
        connection: DiscoveryConnection | None = None
        wait_ms = 0
        try:
            while True:
                after_version, position = self._tracker.after_version, self._tracker.begin_poll()
                poll = HedgedPoll(self._address, after_version, wait_ms, connection)
                try:
                    endpoint_list = await poll.result()
                finally:
                    connection = poll.close()
                self._response_received(endpoint_list, position, after_version)
                wait_ms = int(_MAX_WAIT_MS * (1.0 - _WAIT_JITTER * self._random.random()))
        finally:
            if connection is not None:
                connection.close()

    def _response_received(
        self, endpoint_list: EndpointList, position: int, after_version: int | None
    ) -> None:
        """Report newer lists; the first response is always reported, if need be as a list without changes."""
        try:
            newer_list = self._tracker.accept(endpoint_list, position, after_version)
        except InconsistentChangesError as error:
            raise PollFailedError(str(error)) from None
        if newer_list is None or not (newer_list.is_complete or newer_list.endpoints):
            newer_list = (
                None
                if self.has_response
                else EndpointList(self._tracker.version, is_complete=False, endpoints=())
            )
        self.has_response = True
        self._on_first_response()
        if newer_list is not None:
            self._on_list(newer_list)
