"""Watching and fetching the list, over loopback sockets."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

import pytest
from loopback import (
    HOST,
    PATIENCE_S,
    Heard,
    ScriptedDiscovery,
    ScriptedServer,
    line,
    play,
    reply,
    soon,
    until,
)

from balancer import balancer
from sidecar.address import parse_address
from sidecar.discovery import connection, hedged_poll
from sidecar.discovery.discovery import Discovery
from sidecar.discovery.endpoint_list import EndpointList, parse_endpoint_list


class Ears:
    """What discovery told."""

    def __init__(self, server: ScriptedServer, version: int = 41, pushed: bool = False) -> None:
        self.events: asyncio.Queue[EndpointList | None] = asyncio.Queue()
        self.discovery = Discovery(
            parse_address(server.address),
            EndpointList(version, True, ()),
            pushed,
            7,
            self.events.put_nowait,
            lambda: self.events.put_nowait(None),
        )

    async def next(self) -> EndpointList | None:
        return await soon(self.events.get())


def test_a_watch_is_answered_at_once_then_waits_for_news() -> None:
    async def work() -> None:
        server = ScriptedDiscovery()
        server.servers = [line("s-1", "127.0.0.2:80")]
        await server.start()
        ears = Ears(server)
        ears.discovery.watch(True)
        first = await ears.next()
        assert first is not None and first.is_complete and first.version == 1
        await until(lambda: len(server.heard) == 2)
        assert server.heard[0].target == "/catalog/members?after=41&wait_ms=0"
        target, _, wait_ms = server.heard[1].target.rpartition("=")
        assert target == "/catalog/members?after=1&wait_ms" and 15_000 <= int(wait_ms) <= 20_000
        server.tell(line("s-1", "127.0.0.2:80", state="leaving"))
        news = await ears.next()
        assert news is not None and not news.is_complete and news.version == 2
        await until(lambda: len(server.heard) == 3)
        ears.discovery.watch(False)
        await until(lambda: len(server.closed) == 0 or server.closed == [0])
        ears.discovery.close()
        server.stop()

    play(work)


@pytest.mark.parametrize("answered", [True, False])
def test_a_watch_moves_with_discovery_and_loses_no_change(answered: bool) -> None:
    async def work() -> None:
        old, new = ScriptedDiscovery(), ScriptedDiscovery()
        for each in (old, new):
            await each.start()
        if not answered:
            old.script = None  # slow as it is, the call is owed one answer
        ears = Ears(old)
        ears.discovery.watch(True)
        if answered:
            assert await ears.next() is not None
        await until(lambda: len(old.heard) == (2 if answered else 1))
        new.version = 9
        new.servers = [line("s-1", "127.0.0.2:80")]
        ears.discovery.move(parse_address(new.address))
        told = await ears.next()
        assert told is not None and told.version == 9
        await until(lambda: len(new.heard) == 2)
        new.tell(line("s-1", "127.0.0.2:80", state="leaving"))
        told = await ears.next()
        assert told is not None and told.version == 10
        ears.discovery.poll()
        assert await ears.next() is not None and len(old.heard) <= 2
        ears.discovery.close()
        old.stop()
        new.stop()

    play(work)


GOOD = {"version": 7, "full": True, "servers": []}


@pytest.mark.parametrize(
    "answer",
    [
        reply(b"", "503 Busy"),
        reply(b"not json"),
        reply(b"[" * 100_000),
        reply(json.dumps({**GOOD, "version": "x"}).encode()),
        reply(json.dumps({**GOOD, "full": 1}).encode()),
        reply(json.dumps({**GOOD, "servers": [{"id": "a", "state": "odd"}]}).encode()),
        reply(json.dumps({**GOOD, "servers": [{"id": "a", "state": "active", "addr": "name:80"}]}).encode()),
        b"garbage\r\n\r\n",
        None,
    ],
    ids=str,
)
@pytest.mark.parametrize("how", ["watch", "poll"])
def test_a_call_that_fails_is_one_failure_and_the_next_is_heard(answer: bytes | None, how: str) -> None:
    async def work() -> None:
        async def once(heard: Heard) -> bytes:
            server.script = reply(json.dumps(GOOD).encode())
            if answer is None:
                heard.writer.transport.abort()
                return b""
            return answer

        server = await ScriptedServer(once).start()
        ears = Ears(server)

        def call() -> None:
            if how == "watch":
                ears.discovery.watch(True)
            else:
                ears.discovery.poll()

        call()
        assert await ears.next() is None
        assert ears.events.empty()
        call()
        heard = await ears.next()
        assert heard is not None and heard.version == 7
        ears.discovery.close()
        server.stop()

    play(work)


def test_discovery_that_is_down_fails_a_call() -> None:
    async def work() -> None:
        server = await ScriptedServer(None).start()
        ears = Ears(server)
        server.stop()
        ears.discovery.watch(True)
        assert await ears.next() is None
        ears.discovery.poll()
        assert await ears.next() is None

    play(work)


def test_a_watch_asked_for_again_before_its_answer_keeps_its_place() -> None:
    # Guards against calls that are begun over and over while discovery is slow, and never answered.
    async def work() -> None:
        release = asyncio.Event()

        async def slow(heard: Heard) -> bytes:
            await release.wait()
            return reply(json.dumps(GOOD).encode())

        server = await ScriptedServer(slow).start()
        ears = Ears(server)
        for _ in range(3):
            ears.discovery.watch(True)
        await until(lambda: len(server.heard) == 1)
        ears.discovery.watch(True)
        release.set()
        assert await ears.next() is not None
        assert server.connections == 1
        ears.discovery.close()
        server.stop()

    play(work)


def test_pushed_lists_are_heard_unasked_also_after_the_agent_was_away() -> None:
    async def work() -> None:
        server = ScriptedDiscovery()
        await server.start()
        port = int(server.address.rpartition(":")[2])
        ears = Ears(server, pushed=True)
        ears.discovery.start()
        assert await ears.next() is not None
        server.stop()
        again = ScriptedDiscovery()
        again.version = 9
        again.servers = [line("s-1", f"{HOST}:80")]
        await again.start(port)
        again.tell(line("s-2", f"{HOST}:80"))
        heard = await ears.next()
        assert heard is not None and heard.version == 10
        assert ears.events.empty()
        ears.discovery.close()
        again.stop()

    play(work)


class Scripted(ScriptedServer):
    """Discovery by the call: the script gets its number and gives the answer, or None for silence."""

    def __init__(self, answers: Callable[[int, Heard], bytes | None]) -> None:
        super().__init__(self._by_number)
        self._answers = answers

    async def _by_number(self, heard: Heard) -> bytes | None:
        return self._answers(len(self.heard) - 1, heard)


def whole(version: int, **states: str) -> bytes:
    servers = [line(name, "127.0.0.2:80", state=state) for name, state in states.items()]
    return reply(json.dumps({"version": version, "full": True, "servers": servers}).encode())


@pytest.fixture
def short_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    """Watches wait for 20 ms and are overdue 10 ms later; what is made beside one, 10 ms after that."""
    monkeypatch.setattr("sidecar.discovery.watcher._MAX_WAIT_MS", 20)
    for name in ("WATCH_OVERDUE_S", "HEDGE_OVERDUE_S", "POLL_OVERDUE_S"):
        monkeypatch.setattr(f"sidecar.discovery.hedged_poll.{name}", 0.01)
    monkeypatch.setattr("sidecar.discovery.hedged_poll.POLL_TIMEOUT_S", PATIENCE_S)


@pytest.mark.parametrize("silent", [1, 2])
@pytest.mark.parametrize("pushed", [False, True])
def test_a_silent_watch_is_opened_anew_before_it_has_failed(
    short_waits: None, pushed: bool, silent: int
) -> None:
    # Guards rule 3: what a silent watch misses counts as told 2 s after its wait, heard or not, and it took
    # until then to give the watch up.  The second connection may be as silent.
    async def work() -> None:
        def answers(number: int, heard: Heard) -> bytes | None:
            if number == 0:
                return whole(1, s="active")
            return None if number <= silent or not heard.target.endswith("=0") else whole(2, s="leaving")

        server = await Scripted(answers).start()
        ears = Ears(server, 0, pushed)
        ears.discovery.start() if pushed else ears.discovery.watch(True)
        assert (first := await ears.next()) is not None and first.version == 1
        assert (news := await ears.next()) is not None and news.version == 2
        watch, beside = server.heard[1], server.heard[1 + silent]
        assert not watch.target.endswith("wait_ms=0") and beside.target.endswith("after=1&wait_ms=0")
        assert watch.connection != beside.connection
        await until(lambda: watch.connection in server.closed)  # nobody waits for it any more
        ears.discovery.close()
        server.stop()

    play(work)


def test_a_first_call_that_is_never_answered_is_made_again(short_waits: None) -> None:
    async def work() -> None:
        server = await Scripted(lambda number, _: None if number == 0 else whole(3, s="active")).start()
        ears = Ears(server)
        ears.discovery.watch(True)
        assert (first := await ears.next()) is not None and first.version == 3
        ears.discovery.close()
        server.stop()

    play(work)


def test_a_watch_and_a_fetch_that_fail_at_once_are_a_failure_each_and_the_next_call_is_heard() -> None:
    async def work() -> None:
        busy = reply(b"", "503 Busy")
        server = await Scripted(lambda number, _: busy if number < 2 else whole(4, s="active")).start()
        ears = Ears(server)
        ears.discovery.watch(True)
        ears.discovery.poll()
        assert [await ears.next(), await ears.next()] == [None, None]
        assert ears.events.empty()
        ears.discovery.watch(True)
        assert (heard := await ears.next()) is not None and heard.version == 4
        ears.discovery.close()
        server.stop()

    play(work)


def test_half_an_answer_and_then_silence_is_asked_for_beside_it(short_waits: None) -> None:
    async def work() -> None:
        def answers(number: int, heard: Heard) -> bytes | None:
            if number == 1:
                return whole(2, s="leaving")[:-10]
            return whole(1, s="active") if number == 0 else whole(2, s="leaving") if number == 2 else None

        server = await Scripted(answers).start()
        ears = Ears(server)
        ears.discovery.watch(True)
        assert await ears.next() is not None
        assert (news := await ears.next()) is not None and news.version == 2
        ears.discovery.close()
        server.stop()

    play(work)


def test_a_watch_that_nobody_answers_fails_once_and_leaves_nothing_behind(
    short_waits: None, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def work() -> None:
        monkeypatch.setattr("sidecar.discovery.hedged_poll.POLL_TIMEOUT_S", 0.1)
        server = await Scripted(lambda number, _: whole(1) if number == 0 else None).start()
        ears = Ears(server)
        ears.discovery.watch(True)
        assert await ears.next() is not None
        assert await ears.next() is None
        await until(lambda: len(server.closed) == server.connections)
        assert server.connections <= 3 and ears.events.empty()
        server.stop()

    play(work)


def test_a_refusal_beside_an_overdue_watch_ends_in_one_failure(short_waits: None) -> None:
    async def work() -> None:
        def answers(number: int, heard: Heard) -> bytes | None:
            return (whole(1), None)[number] if number < 2 else reply(b"", "503 Busy")

        server = await Scripted(answers).start()
        ears = Ears(server)
        ears.discovery.watch(True)
        assert await ears.next() is not None
        assert await ears.next() is None
        assert len(server.heard) == 4 and ears.events.empty()
        server.stop()

    play(work)


def test_a_fetch_that_crosses_a_watch_brings_nothing_older(short_waits: None) -> None:
    # Guards rule 3: the older list would bring a leaving server back.
    async def work() -> None:
        release = asyncio.Event()

        async def script(heard: Heard) -> bytes | None:
            if "?" not in heard.target:
                await release.wait()
                return whole(4, s="active")
            return whole(9, s="leaving") if len(server.heard) == 2 else None

        server = await ScriptedServer(script).start()
        ears = Ears(server, 3)
        ears.discovery.poll()
        await until(lambda: len(server.heard) == 1)
        ears.discovery.watch(True)
        assert (news := await ears.next()) is not None and news.version == 9
        release.set()
        answer = await ears.next()
        assert answer is not None and (answer.version, answer.endpoints) == (9, ())
        ears.discovery.close()
        server.stop()

    play(work)


def test_a_fetch_that_ends_after_discovery_moved_is_asked_for_where_it_is_now() -> None:
    async def work() -> None:
        release = asyncio.Event()

        async def held(heard: Heard) -> bytes:
            await release.wait()
            return whole(4, s="active")

        old, new = (
            await ScriptedServer(held).start(),
            await Scripted(lambda *_: whole(6, s="leaving")).start(),
        )
        ears = Ears(old, 3)
        ears.discovery.poll()
        await until(lambda: len(old.heard) == 1)
        ears.discovery.move(parse_address(new.address))
        release.set()
        answer = await ears.next()
        assert answer is not None and answer.version == 6 and len(new.heard) == 1
        ears.discovery.close()
        old.stop()
        new.stop()

    play(work)


def test_a_watch_asked_for_again_after_a_move_keeps_its_place() -> None:
    # Guards against a call given up for its like: the answer before the move said nothing of the one after.
    async def work() -> None:
        old, new = ScriptedDiscovery(), await ScriptedServer(None).start()
        await old.start()
        ears = Ears(old)
        ears.discovery.watch(True)
        assert await ears.next() is not None
        ears.discovery.move(parse_address(new.address))
        await until(lambda: len(new.heard) == 1)
        ears.discovery.watch(True)
        ears.discovery.poll()  # comes after whatever a new watch would have asked
        await until(lambda: len(new.heard) == 2)
        assert "?" not in new.heard[1].target and new.closed == []
        ears.discovery.close()
        old.stop()
        new.stop()

    play(work)


def test_a_listing_is_read_as_the_decisions_need_it() -> None:
    listing = parse_endpoint_list(
        {"version": 3, "full": False, "servers": [line("a", "127.0.0.1:80", started_ms=1_700_000_000_123)]}
    )
    entry = listing.endpoints[0].entry
    assert entry.started_at == 1_700_000_000_123_000
    gone = parse_endpoint_list({"version": 3, "full": False, "servers": [{"id": "a", "state": "left"}]})
    assert gone.endpoints[0].address is None


def test_whatever_failed_discovery_is_asked_again_well_before_its_word_counts_as_told() -> None:
    # From when it can be reached on, the longest way to the first call that it hears.  The rest of
    # the 6 s is for its line: it serves the calls of the whole tier one after another.
    waits_s = balancer.ASK_AGAIN_LONGEST * balancer.TOLD_US / 1e6
    last_asked_s = hedged_poll.POLL_OVERDUE_S + hedged_poll.HEDGE_OVERDUE_S
    ways = {
        "a wait had just begun": waits_s,
        "a dial had just begun, and hangs": connection.CONNECT_TIMEOUT_S + waits_s,
        "a call was just accepted, and is silent": hedged_poll.POLL_OVERDUE_S,
        "so was the last one beside it": hedged_poll.POLL_TIMEOUT_S - last_asked_s + waits_s,
    }
    assert hedged_poll.MAX_CONNECTIONS == 3  # what is counted here: a call and two beside it
    assert max(ways.values()) <= balancer.TOLD_US / 1e6 - 1.2
