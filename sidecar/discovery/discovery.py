"""The client of service discovery: polls and watches the endpoint list.

The balancer decides when to poll and to watch.  If a local agent pushes endpoint lists, however, these are
watched from the start of the process, regardless of the balancer.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

from sidecar.address import Address
from sidecar.discovery.connection import PollFailedError
from sidecar.discovery.endpoint_list import EndpointList
from sidecar.discovery.endpoint_list_tracker import EndpointListTracker, InconsistentChangesError
from sidecar.discovery.hedged_poll import HedgedPoll
from sidecar.discovery.watcher import Watcher

_PUSHED_RETRY_DELAY_S = 0.2  # before a failed watch of pushed lists is restarted
_MAX_POLLS = 8  # concurrent polls including watches; further polls fail without being sent


class Discovery:
    """Polls and watches the endpoint list.

    Each `watch` and `poll` leads to one call of `on_list` or `on_failed`.  A watch that is answered then
    reports each newer list, until it fails.
    """

    def __init__(
        self,
        address: Address,
        known: EndpointList,
        seed: int,
        on_list: Callable[[EndpointList], None],
        on_failed: Callable[[], None],
        *,
        is_pushed: bool,
    ) -> None:
        """`is_pushed`: an agent pushes lists, which are watched regardless of calls of `watch`."""
        self._address = address
        self._tracker = EndpointListTracker(known)
        self._is_pushed = is_pushed
        self._random = Random(seed)
        self._on_list = on_list
        self._on_failed = on_failed
        self._is_watching = False
        self._watcher: Watcher | None = None
        self._watch_task: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._first_poll_ended = asyncio.Event()

    def start(self) -> None:
        """Start watching if lists are pushed."""
        if self._is_pushed:
            self._is_watching = True
            self._start_watch()

    async def wait_for_first_list(self, timeout_s: float) -> None:
        """If lists are pushed, wait until the first poll is answered or fails, at most `timeout_s`.

        The platform regards changes in the agent's list as notified as soon as a process starts, even if the
        process has not received the list yet.  So the list should be in use before clients are accepted.
        """
        if self._is_pushed:
            try:
                async with asyncio.timeout(timeout_s):
                    await self._first_poll_ended.wait()
            except TimeoutError:
                pass

    def change_address(self, address: Address) -> None:
        """Send all further polls to this address; a watch is restarted there from the current version.

        The first poll of the restarted watch asks discovery not to wait, so that changes since the last
        response are received at once.
        """
        if address == self._address:
            return
        self._address = address
        self._tracker.poll_failed()
        if self._watch_task is not None:
            self._watch_task.cancel()
        if self._is_watching:
            self._start_watch()

    def watch(self, *, is_enabled: bool) -> None:
        """Start or stop watching the endpoint list.

        If a watch is enabled again before its first response, the pending poll is kept.  A new poll would go
        to the end of discovery's queue, so that polls which are repeated while discovery is slow might never
        be answered.
        """
        if self._is_pushed:
            return
        self._is_watching = is_enabled
        if self._watch_task is not None and not self._watch_task.done():
            if is_enabled and self._watcher is not None and not self._watcher.has_response:
                return
            self._watch_task.cancel()
            self._watch_task = None
        if is_enabled:
            self._start_watch()

    def poll(self) -> None:
        """Request the complete list once."""
        if len(self._tasks) >= _MAX_POLLS:
            asyncio.get_running_loop().call_soon(self._on_failed)
            return
        self._start_task(self._poll())

    def close(self) -> None:
        """Cancel all polls."""
        for task in self._tasks:
            task.cancel()

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _start_watch(self) -> None:
        watcher = Watcher(
            self._address, self._tracker, self._random, self._on_list, self._first_poll_ended.set
        )
        self._watcher = watcher
        self._watch_task = self._start_task(
            self._watch_pushed(watcher) if self._is_pushed else self._watch_until_failure(watcher)
        )

    async def _watch_until_failure(self, watcher: Watcher) -> None:
        try:
            await watcher.run()
        except PollFailedError:
            self._watch_task = None
            self._poll_failed()

    async def _watch_pushed(self, watcher: Watcher) -> None:
        """Watch until cancelled; restart a failed watch, because the balancer does not request it again."""
        while True:
            try:
                await watcher.run()
            except PollFailedError:
                self._tracker.poll_failed()
                self._first_poll_ended.set()
                await asyncio.sleep(_PUSHED_RETRY_DELAY_S)

    async def _poll(self) -> None:
        """Poll once; if discovery's address has changed meanwhile, discard the response and poll again."""
        address = None
        try:
            while address != self._address:
                address, position = self._address, self._tracker.begin_poll()
                poll = HedgedPoll(address, None, 0)
                try:
                    endpoint_list = await poll.result()
                finally:
                    poll.close()
            newer_list = self._tracker.accept(endpoint_list, position, None)
        except (PollFailedError, InconsistentChangesError):
            self._poll_failed()
        else:
            self._on_list(newer_list or EndpointList(self._tracker.version, is_complete=False, endpoints=()))

    def _poll_failed(self) -> None:
        self._tracker.poll_failed()
        self._on_failed()
