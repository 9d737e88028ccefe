"""A poll of discovery that is hedged: if it is overdue, it is repeated on another connection.

A poll on a stalled connection is never answered.  The platform regards a change as notified 2 s after the
wait of the watch that should have reported it, even if that response was lost.  When the drain grace period
after that has passed, nothing may be sent to a draining server any more.  So an overdue poll is repeated on
a second and a third connection, and the first response is used:

    wait + 0.5 s  the watch is overdue: a second connection polls for all changes without a wait
    wait + 1.5 s  the second connection has not answered either: a third is used
    wait + 2 s    changes count as notified
    wait + 5 s    no connection has answered: the poll has failed

A poll without a wait is overdue after 3.5 s.  Its response may be queued in discovery for 3 s, and changes
that it should have reported count as notified 6 s after the poll began.
"""

from __future__ import annotations

import asyncio

from sidecar.address import Address
from sidecar.discovery.connection import DiscoveryConnection, PollFailedError
from sidecar.discovery.endpoint_list import EndpointList

POLL_OVERDUE_S = 3.5  # after the start of a poll without a wait
WATCH_OVERDUE_S = 0.5  # after the end of a watch's wait
HEDGE_OVERDUE_S = 1.0  # after the start of a hedged poll
MAX_CONNECTIONS = 3  # per poll: the first and two hedges
POLL_TIMEOUT_S = 5.0  # after the end of the wait


class HedgedPoll:
    """A poll on up to `MAX_CONNECTIONS` connections; the one that answers first is kept."""

    def __init__(
        self,
        address: Address,
        after_version: int | None,
        wait_ms: int,
        connection: DiscoveryConnection | None = None,
    ) -> None:
        """The `connection` of an earlier poll is used first, if given."""
        self._address = address
        self._after_version = after_version
        self._wait_ms = wait_ms
        self._connection = connection
        self._polls: dict[asyncio.Task[EndpointList], DiscoveryConnection] = {}

    async def result(self) -> EndpointList:
        """Return the first response; raises PollFailedError if there is none."""
        try:
            async with asyncio.timeout(self._wait_ms / 1_000 + POLL_TIMEOUT_S):
                return await self._first_response()
        except TimeoutError:
            raise PollFailedError(
                f"no response within {POLL_TIMEOUT_S} s after a wait of {self._wait_ms} ms"
            ) from None

    def close(self) -> DiscoveryConnection | None:
        """Cancel pending polls and close their connections; return the one that answered, if any."""
        polls, self._polls = self._polls, {}
        for task, connection in polls.items():
            task.cancel()
            connection.close()
            if connection is self._connection:
                self._connection = None
        return self._connection

    async def _first_response(self) -> EndpointList:
        wait_s = self._wait_ms / 1_000
        overdue_s = wait_s + WATCH_OVERDUE_S if wait_s else POLL_OVERDUE_S
        self._start(self._connection or DiscoveryConnection(self._address), self._wait_ms)
        started, failed = 1, 0
        while True:
            may_hedge = started < MAX_CONNECTIONS
            done, _ = await asyncio.wait(
                self._polls,
                timeout=overdue_s if may_hedge else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                connection = self._polls.pop(task)
                if task.exception() is None:
                    self._connection = connection
                    return task.result()
                connection.close()
                failed += 1
            if not self._polls or failed == MAX_CONNECTIONS - 1:
                # If both hedges have failed, the overdue first connection is assumed to be stalled.
                raise PollFailedError(f"{failed} of {started} connections failed")
            if may_hedge:
                self._start(DiscoveryConnection(self._address), 0)
                started, overdue_s = started + 1, HEDGE_OVERDUE_S

    def _start(self, connection: DiscoveryConnection, wait_ms: int) -> None:
        poll = connection.poll(self._after_version, wait_ms)
        task = asyncio.get_running_loop().create_task(poll)
        task.add_done_callback(_retrieve_exception)
        self._polls[task] = connection


def _retrieve_exception(task: asyncio.Task[EndpointList]) -> None:
    """Retrieve a task's exception, so that the event loop does not log it if another connection answers."""
    if not task.cancelled():
        task.exception()
