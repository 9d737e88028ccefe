"""Calls for the list of servers: fetching it and watching it.

A connection may fall silent: its watch is answered no more.  What it misses counts as told 2 s after the wait
that the call asked for, and the drain grace later nothing may go to a server that is leaving.  So a call that
is overdue is made again on a further connection beside it, and whichever answers first is heard:

    wait + 0.5 s  the watch is overdue, a second connection is dialled and asked for all news, without a wait
    wait + 1.5 s  that one is silent as well: a third
    wait + 2 s    the news counts as told
    wait + 5 s    no connection had an answer: the call has failed

A call that waits for nothing is overdue after 3.5 s: its answer may stand in discovery's line for 3 s, and
what a silent one misses counts as told 6 s after it began.  Where all watches fall silent together, a tier
comes back together; each wait is up to a quarter shorter, by chance, so that discovery's line stays short.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

from sidecar.address import Address
from sidecar.discovery.catalog import Catalog, Inconsistent, Listing, parse_listing
from sidecar.upstream.http_exchange import ExchangeFailure, OutgoingRequest, Response, UpstreamConnection

_PATH = "/catalog/members"
_MOST_BYTES = 4 << 20  # of a whole list
_ANSWER_OVERDUE_S = 3.5  # a call that waits for nothing
_WATCH_OVERDUE_S = 0.5  # and a watch, beyond its wait
_BESIDE_OVERDUE_S = 1.0  # and a call that was made beside an overdue one
_MOST_BESIDE = 3  # connections for one answer
_FAILED_AFTER_S = 5.0  # beyond its wait, a call that nobody answered has failed
_DIAL_WITHIN_S = 1.0
_WATCH_MS = 20_000  # how long a watch may wait for news, at the most
_WATCH_SPREAD = 0.25  # part of that by which it may be shorter
_PUSHED_AGAIN_S = 0.2  # where lists are pushed nobody asks again: a broken watch is taken up after this
_MOST_CALLS = 8  # at once; more fail unasked


class CallFailed(Exception):
    """Discovery did not answer a call, or not with a list."""


class Discovery:
    """Calls to discovery.  Every `follow` and `fetch` is answered by one call of `on_list` or `on_failed`."""

    def __init__(
        self,
        address: Address,
        known: Listing,
        pushed: bool,
        seed: int,
        on_list: Callable[[Listing], None],
        on_failed: Callable[[], None],
    ) -> None:
        self._address = address
        self._catalog = Catalog(known)
        self._pushed = pushed
        self._random = Random(seed)
        self._on_list = on_list
        self._on_failed = on_failed
        self._watch: asyncio.Task[None] | None = None
        self._is_wanted = False
        self._watch_answered = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._first_call_over = asyncio.Event()

    def start(self) -> None:
        """Where lists are pushed, the agent's are heard from the start on, unasked."""
        if self._pushed:
            self._is_wanted = True
            self._watch = self._spawn(self._hear_pushed())

    async def first_word(self, within_s: float) -> None:
        """Where lists are pushed, wait until the agent has answered once or can't be reached.

        What it has counts as told from the first moment of a process, heard or not.
        """
        if self._pushed:
            try:
                async with asyncio.timeout(within_s):
                    await self._first_call_over.wait()
            except TimeoutError:
                pass

    def move(self, address: Address) -> None:
        """Make all further calls to this address; a watch goes on there at once, from the version it had.

        The first call there waits for nothing: what changed meanwhile must not wait for the next change.
        """
        if address == self._address:
            return
        self._address = address
        self._catalog.broken()
        if self._watch is not None:
            self._watch.cancel()
        if self._is_wanted:
            self._watch_answered = False
            self._watch = self._spawn(self._hear_pushed() if self._pushed else self._follow())

    def follow(self, wanted: bool) -> None:
        """Watch the list from now on, or no longer.

        Asked again before its first answer, a watch goes on as it is: to call anew would give up the place in
        discovery's line, and calls that are begun over and over while it is slow would never be answered.
        """
        if self._pushed:
            return
        self._is_wanted = wanted
        if self._watch is not None and not self._watch.done():
            if wanted and not self._watch_answered:
                return
            self._watch.cancel()
            self._watch = None
        if wanted:
            self._watch_answered = False
            self._watch = self._spawn(self._follow())

    def fetch(self) -> None:
        """Ask once for the whole list."""
        if len(self._tasks) >= _MOST_CALLS:
            asyncio.get_running_loop().call_soon(self._on_failed)
            return
        self._spawn(self._fetch())

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _fetch(self) -> None:
        """Ask once; an answer of where discovery was before it moved is asked for again."""
        address = None
        try:
            while address != self._address:
                address, begun = self._address, self._catalog.begin()
                question = _Question(address, None, 0)
                try:
                    listing = await question.answered()
                finally:
                    question.close()
            news = self._catalog.admit(listing, begun, None)
        except (CallFailed, Inconsistent):
            self._failed()
        else:
            self._on_list(news or Listing(self._catalog.version, False, ()))

    async def _follow(self) -> None:
        try:
            await self._watch_on()
        except CallFailed:
            self._watch = None
            self._failed()

    async def _hear_pushed(self) -> None:
        while True:
            try:
                await self._watch_on()
            except CallFailed:
                self._catalog.broken()
                self._first_call_over.set()
                await asyncio.sleep(_PUSHED_AGAIN_S)

    def _failed(self) -> None:
        self._catalog.broken()
        self._on_failed()

    async def _watch_on(self) -> None:
        """Watch until a call fails.  The first call waits for nothing, so that it is answered soon."""
        line: _Line | None = None
        wait_ms = 0
        try:
            while True:
                after, begun = self._catalog.after, self._catalog.begin()
                question = _Question(self._address, after, wait_ms, line)
                try:
                    listing = await question.answered()
                finally:
                    line = question.close()
                self._heard(listing, begun, after)
                wait_ms = int(_WATCH_MS * (1.0 - _WATCH_SPREAD * self._random.random()))
        finally:
            if line is not None:
                line.close()

    def _heard(self, listing: Listing, begun: int, after: int | None) -> None:
        """An answer to the watch; the first is passed on whatever it says."""
        try:
            news = self._catalog.admit(listing, begun, after)
        except Inconsistent as fault:
            raise CallFailed(str(fault)) from None
        if news is None or not (news.full or news.entries):
            news = None if self._watch_answered else Listing(self._catalog.version, False, ())
        self._watch_answered = True
        self._first_call_over.set()
        if news is not None:
            self._on_list(news)


class _Question:
    """One answer wanted, over as many connections as it takes: whichever has it first is kept."""

    def __init__(self, address: Address, after: int | None, wait_ms: int, line: _Line | None = None) -> None:
        self._address = address
        self._after = after
        self._wait_ms = wait_ms
        self._line = line  # one that had an answer before
        self._calls: dict[asyncio.Task[Listing], _Line] = {}

    async def answered(self) -> Listing:
        """Give the first answer; raise CallFailed if there is none."""
        try:
            async with asyncio.timeout(self._wait_ms / 1_000 + _FAILED_AFTER_S):
                return await self._first_answer()
        except TimeoutError:
            raise CallFailed("no answer") from None

    async def _first_answer(self) -> Listing:
        wait_s = self._wait_ms / 1_000
        overdue_s = wait_s + _WATCH_OVERDUE_S if wait_s else _ANSWER_OVERDUE_S
        self._call(self._line or _Line(self._address), self._wait_ms)
        made, failed = 1, 0
        while True:
            may_ask_beside = made < _MOST_BESIDE
            done, _ = await asyncio.wait(
                self._calls,
                timeout=overdue_s if may_ask_beside else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                line = self._calls.pop(task)
                if task.exception() is None:
                    self._line = line
                    return task.result()
                line.close()
                failed += 1
            if not self._calls or failed == _MOST_BESIDE - 1:
                raise CallFailed("no list")  # the first is as good as silent
            if may_ask_beside:
                self._call(_Line(self._address), 0)
                made, overdue_s = made + 1, _BESIDE_OVERDUE_S

    def _call(self, line: _Line, wait_ms: int) -> None:
        task = asyncio.get_running_loop().create_task(line.call(self._after, wait_ms))
        task.add_done_callback(_taken_note_of)
        self._calls[task] = line

    def close(self) -> _Line | None:
        """Give up what is still asked; give the connection that had the answer."""
        calls, self._calls = self._calls, {}
        for task, line in calls.items():
            task.cancel()
            line.close()
            if line is self._line:
                self._line = None
        return self._line


def _taken_note_of(task: asyncio.Task[Listing]) -> None:
    """Of calls beside each other some fail in vain; that is no fault of the event loop's."""
    if not task.cancelled():
        task.exception()


class _Line:
    """Calls to discovery one after another, over one connection while that lasts."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._connection: UpstreamConnection | None = None

    def close(self) -> None:
        if self._connection is not None:
            self._connection.close()

    async def call(self, after: int | None, wait_ms: int) -> Listing:
        target = _PATH if after is None else f"{_PATH}?after={after}&wait_ms={wait_ms}"
        try:
            response = await self._get(target.encode())
        except (OSError, TimeoutError) as fault:
            raise CallFailed(str(fault)) from None
        if isinstance(response, ExchangeFailure) or response.status != 200:
            raise CallFailed("no list")
        try:
            return parse_listing(json.loads(response.body))
        except (ValueError, RecursionError) as nonsense:
            raise CallFailed(str(nonsense)) from None

    async def _get(self, target: bytes) -> Response | ExchangeFailure:
        if self._connection is None or not self._connection.is_usable():
            self.close()
            self._connection = await self._dial()
        answer: asyncio.Future[Response | ExchangeFailure] = asyncio.get_running_loop().create_future()

        def ended(how: Response | ExchangeFailure) -> None:
            if not answer.done():
                answer.set_result(how)

        host = f"{self._address[0]}:{self._address[1]}".encode()
        self._connection.exchange(OutgoingRequest(b"GET", target, [(b"host", host)]), ended)
        return await answer

    async def _dial(self) -> UpstreamConnection:
        def made() -> UpstreamConnection:
            return UpstreamConnection(_MOST_BYTES, _ignore, _ignore)

        async with asyncio.timeout(_DIAL_WITHIN_S):
            _, connection = await asyncio.get_running_loop().create_connection(made, *self._address)
        return connection


def _ignore(_: UpstreamConnection) -> None:
    """Nothing is kept of it."""
