"""One poll of discovery that survives silent connections: overdue, it is repeated on a further connection.

A connection may fall silent, and its poll is never answered.  What such a watch misses counts as notified
2 s after the wait that it asked for, and the drain grace later nothing may be sent to a server that is
draining.  So an overdue poll is repeated beside the first, and whichever is answered first counts:

    wait + 0.5 s  the watch is overdue: a second connection polls for all changes, without a wait
    wait + 1.5 s  that one is silent as well: a third
    wait + 2 s    changes count as notified
    wait + 5 s    no connection was answered: the poll has failed

A poll without a wait is overdue after 3.5 s: its response may be queued in discovery for 3 s, and what a
silent one misses counts as notified 6 s after it began.
"""

from __future__ import annotations

import asyncio

from sidecar.address import Address
from sidecar.discovery.connection import DiscoveryConnection, PollFailedError
from sidecar.discovery.endpoint_list import EndpointList

POLL_OVERDUE_S = 3.5  # of a poll without a wait
WATCH_OVERDUE_S = 0.5  # of a watch, after its wait
HEDGE_OVERDUE_S = 1.0  # of a poll that was sent beside an overdue one
MAX_CONNECTIONS = 3  # for one poll
POLL_TIMEOUT_S = 5.0  # after its wait


class HedgedPoll:
    """One poll, over as many connections as it takes; the connection that is answered first is kept."""

    def __init__(
        self,
        address: Address,
        after_version: int | None,
        wait_ms: int,
        connection: DiscoveryConnection | None = None,
    ) -> None:
        """`connection` answered an earlier poll, and is used first."""
        self._address = address
        self._after_version = after_version
        self._wait_ms = wait_ms
        self._connection = connection
        self._polls: dict[asyncio.Task[EndpointList], DiscoveryConnection] = {}

    async def result(self) -> EndpointList:
        """Return the first response; raise PollFailedError if there is none."""
        try:
            async with asyncio.timeout(self._wait_ms / 1_000 + POLL_TIMEOUT_S):
                return await self._first_response()
        except TimeoutError:
            raise PollFailedError(f"no response within {POLL_TIMEOUT_S} s after the wait") from None

    def close(self) -> DiscoveryConnection | None:
        """Cancel polls that are still waiting; return the connection that was answered."""
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
                raise PollFailedError(f"{failed} of {started} polls failed")  # the first is as good as silent
            if may_hedge:
                self._start(DiscoveryConnection(self._address), 0)
                started, overdue_s = started + 1, HEDGE_OVERDUE_S

    def _start(self, connection: DiscoveryConnection, wait_ms: int) -> None:
        poll = connection.poll(self._after_version, wait_ms)
        task = asyncio.get_running_loop().create_task(poll)
        task.add_done_callback(_retrieve_exception)
        self._polls[task] = connection


def _retrieve_exception(task: asyncio.Task[EndpointList]) -> None:
    """Keep the event loop from reporting a failure: of polls beside each other some fail in vain."""
    if not task.cancelled():
        task.exception()
