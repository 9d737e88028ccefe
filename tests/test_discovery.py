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

from balancer import discovery_polling
from sidecar.address import parse_address
from sidecar.discovery import connection, hedged_poll
from sidecar.discovery.discovery import Discovery
from sidecar.discovery.endpoint_list import EndpointList, parse_endpoint_list


class RecordedDiscovery:
    """Discovery, and the lists and failures that it reports."""

    def __init__(self, server: ScriptedServer, version: int = 41, pushed: bool = False) -> None:
        self.events: asyncio.Queue[EndpointList | None] = asyncio.Queue()
        self.discovery = Discovery(
            parse_address(server.address),
            EndpointList(version, True, ()),
            7,
            self.events.put_nowait,
            lambda: self.events.put_nowait(None),
            is_pushed=pushed,
        )

    async def next(self) -> EndpointList | None:
        return await soon(self.events.get())


def test_first_poll_of_a_watch_does_not_wait_and_later_ones_do() -> None:
    async def work() -> None:
        server = ScriptedDiscovery()
        server.servers = [line("s-1", "127.0.0.2:80")]
        await server.start()
        recorded = RecordedDiscovery(server)
        recorded.discovery.watch(is_enabled=True)
        first = await recorded.next()
        assert first is not None and first.is_complete and first.version == 1
        await until(lambda: len(server.heard) == 2)
        assert server.heard[0].target == "/catalog/members?after=41&wait_ms=0"
        target, _, wait_ms = server.heard[1].target.rpartition("=")
        assert target == "/catalog/members?after=1&wait_ms" and 15_000 <= int(wait_ms) <= 20_000
        server.tell(line("s-1", "127.0.0.2:80", state="leaving"))
        news = await recorded.next()
        assert news is not None and not news.is_complete and news.version == 2
        await until(lambda: len(server.heard) == 3)
        recorded.discovery.watch(is_enabled=False)
        await until(lambda: len(server.closed) == 0 or server.closed == [0])
        recorded.discovery.close()
        server.stop()

    play(work)


@pytest.mark.parametrize("answered", [True, False])
def test_watch_moves_with_discovery_and_loses_no_change(answered: bool) -> None:
    async def work() -> None:
        old, new = ScriptedDiscovery(), ScriptedDiscovery()
        for each in (old, new):
            await each.start()
        if not answered:
            old.script = None  # slow as it is, the call is owed one answer
        recorded = RecordedDiscovery(old)
        recorded.discovery.watch(is_enabled=True)
        if answered:
            assert await recorded.next() is not None
        await until(lambda: len(old.heard) == (2 if answered else 1))
        new.version = 9
        new.servers = [line("s-1", "127.0.0.2:80")]
        recorded.discovery.change_address(parse_address(new.address))
        told = await recorded.next()
        assert told is not None and told.version == 9
        await until(lambda: len(new.heard) == 2)
        new.tell(line("s-1", "127.0.0.2:80", state="leaving"))
        told = await recorded.next()
        assert told is not None and told.version == 10
        recorded.discovery.poll()
        assert await recorded.next() is not None and len(old.heard) <= 2
        recorded.discovery.close()
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
def test_failed_poll_is_reported_once_and_the_next_succeeds(answer: bytes | None, how: str) -> None:
    async def work() -> None:
        async def once(heard: Heard) -> bytes:
            server.script = reply(json.dumps(GOOD).encode())
            if answer is None:
                heard.writer.transport.abort()
                return b""
            return answer

        server = await ScriptedServer(once).start()
        recorded = RecordedDiscovery(server)

        def call() -> None:
            if how == "watch":
                recorded.discovery.watch(is_enabled=True)
            else:
                recorded.discovery.poll()

        call()
        assert await recorded.next() is None
        assert recorded.events.empty()
        call()
        heard = await recorded.next()
        assert heard is not None and heard.version == 7
        recorded.discovery.close()
        server.stop()

    play(work)


def test_polls_fail_while_discovery_is_down() -> None:
    async def work() -> None:
        server = await ScriptedServer(None).start()
        recorded = RecordedDiscovery(server)
        server.stop()
        recorded.discovery.watch(is_enabled=True)
        assert await recorded.next() is None
        recorded.discovery.poll()
        assert await recorded.next() is None

    play(work)


def test_watch_enabled_again_before_its_response_keeps_its_place() -> None:
    # Guards against calls that are begun over and over while discovery is slow, and never answered.
    async def work() -> None:
        release = asyncio.Event()

        async def slow(heard: Heard) -> bytes:
            await release.wait()
            return reply(json.dumps(GOOD).encode())

        server = await ScriptedServer(slow).start()
        recorded = RecordedDiscovery(server)
        for _ in range(3):
            recorded.discovery.watch(is_enabled=True)
        await until(lambda: len(server.heard) == 1)
        recorded.discovery.watch(is_enabled=True)
        release.set()
        assert await recorded.next() is not None
        assert server.connections == 1
        recorded.discovery.close()
        server.stop()

    play(work)


def test_pushed_lists_are_received_also_after_the_agent_restarted() -> None:
    async def work() -> None:
        server = ScriptedDiscovery()
        await server.start()
        port = int(server.address.rpartition(":")[2])
        recorded = RecordedDiscovery(server, pushed=True)
        recorded.discovery.start()
        assert await recorded.next() is not None
        server.stop()
        again = ScriptedDiscovery()
        again.version = 9
        again.servers = [line("s-1", f"{HOST}:80")]
        await again.start(port)
        again.tell(line("s-2", f"{HOST}:80"))
        heard = await recorded.next()
        assert heard is not None and heard.version == 10
        assert recorded.events.empty()
        recorded.discovery.close()
        again.stop()

    play(work)


class Scripted(ScriptedServer):
    """Discovery by the call: the script gets its number and gives the answer, or None for silence."""

    def __init__(self, answers: Callable[[int, Heard], bytes | None]) -> None:
        super().__init__(self._by_number)
        self._answers = answers

    async def _by_number(self, heard: Heard) -> bytes | None:
        return self._answers(len(self.heard) - 1, heard)


def complete_list(version: int, **states: str) -> bytes:
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
def test_silent_watch_is_hedged_before_it_has_failed(short_waits: None, pushed: bool, silent: int) -> None:
    # Guards rule 3: what a silent watch misses counts as told 2 s after its wait, heard or not, and it took
    # until then to give the watch up.  The second connection may be as silent.
    async def work() -> None:
        # By version and not by number: on a busy machine the first poll may be hedged as well.
        after_first: list[Heard] = []

        def answers(_: int, heard: Heard) -> bytes | None:
            if "after=1&" not in heard.target:
                return complete_list(1, s="active")
            after_first.append(heard)
            is_silent = len(after_first) <= silent or not heard.target.endswith("=0")
            return None if is_silent else complete_list(2, s="leaving")

        server = await Scripted(answers).start()
        recorded = RecordedDiscovery(server, 0, pushed)
        recorded.discovery.start() if pushed else recorded.discovery.watch(is_enabled=True)
        assert (first := await recorded.next()) is not None and first.version == 1
        assert (news := await recorded.next()) is not None and news.version == 2
        watch, beside = after_first[0], after_first[silent]
        assert not watch.target.endswith("wait_ms=0") and beside.target.endswith("after=1&wait_ms=0")
        assert watch.connection != beside.connection
        await until(lambda: watch.connection in server.closed)  # nobody waits for it any more
        recorded.discovery.close()
        server.stop()

    play(work)


def test_first_poll_without_a_response_is_hedged(short_waits: None) -> None:
    async def work() -> None:
        server = await Scripted(
            lambda number, _: None if number == 0 else complete_list(3, s="active")
        ).start()
        recorded = RecordedDiscovery(server)
        recorded.discovery.watch(is_enabled=True)
        assert (first := await recorded.next()) is not None and first.version == 3
        recorded.discovery.close()
        server.stop()

    play(work)


def test_watch_and_poll_that_fail_together_are_reported_once_each() -> None:
    async def work() -> None:
        busy = reply(b"", "503 Busy")
        server = await Scripted(
            lambda number, _: busy if number < 2 else complete_list(4, s="active")
        ).start()
        recorded = RecordedDiscovery(server)
        recorded.discovery.watch(is_enabled=True)
        recorded.discovery.poll()
        assert [await recorded.next(), await recorded.next()] == [None, None]
        assert recorded.events.empty()
        recorded.discovery.watch(is_enabled=True)
        assert (heard := await recorded.next()) is not None and heard.version == 4
        recorded.discovery.close()
        server.stop()

    play(work)


def test_incomplete_response_followed_by_silence_is_hedged(short_waits: None) -> None:
    async def work() -> None:
        def answers(number: int, heard: Heard) -> bytes | None:
            if number == 1:
                return complete_list(2, s="leaving")[:-10]
            return (
                complete_list(1, s="active")
                if number == 0
                else complete_list(2, s="leaving")
                if number == 2
                else None
            )

        server = await Scripted(answers).start()
        recorded = RecordedDiscovery(server)
        recorded.discovery.watch(is_enabled=True)
        assert await recorded.next() is not None
        assert (news := await recorded.next()) is not None and news.version == 2
        recorded.discovery.close()
        server.stop()

    play(work)


def test_unanswered_watch_fails_once_and_closes_its_connections(
    short_waits: None, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def work() -> None:
        monkeypatch.setattr("sidecar.discovery.hedged_poll.POLL_TIMEOUT_S", 0.1)
        server = await Scripted(lambda number, _: complete_list(1) if number == 0 else None).start()
        recorded = RecordedDiscovery(server)
        recorded.discovery.watch(is_enabled=True)
        assert await recorded.next() is not None
        assert await recorded.next() is None
        await until(lambda: len(server.closed) == server.connections)
        assert server.connections <= 3 and recorded.events.empty()
        server.stop()

    play(work)


def test_error_beside_an_overdue_watch_is_one_failure(short_waits: None) -> None:
    async def work() -> None:
        def answers(number: int, heard: Heard) -> bytes | None:
            return (complete_list(1), None)[number] if number < 2 else reply(b"", "503 Busy")

        server = await Scripted(answers).start()
        recorded = RecordedDiscovery(server)
        recorded.discovery.watch(is_enabled=True)
        assert await recorded.next() is not None
        assert await recorded.next() is None
        assert len(server.heard) == 4 and recorded.events.empty()
        server.stop()

    play(work)


def test_poll_that_crosses_a_watch_reports_nothing_older(short_waits: None) -> None:
    # Guards rule 3: the older list would bring a leaving server back.
    async def work() -> None:
        release = asyncio.Event()

        async def script(heard: Heard) -> bytes | None:
            if "?" not in heard.target:
                await release.wait()
                return complete_list(4, s="active")
            return complete_list(9, s="leaving") if len(server.heard) == 2 else None

        server = await ScriptedServer(script).start()
        recorded = RecordedDiscovery(server, 3)
        recorded.discovery.poll()
        await until(lambda: len(server.heard) == 1)
        recorded.discovery.watch(is_enabled=True)
        assert (news := await recorded.next()) is not None and news.version == 9
        release.set()
        answer = await recorded.next()
        assert answer is not None and (answer.version, answer.endpoints) == (9, ())
        recorded.discovery.close()
        server.stop()

    play(work)


def test_poll_that_ends_after_a_move_is_repeated_at_the_new_address() -> None:
    async def work() -> None:
        release = asyncio.Event()

        async def held(heard: Heard) -> bytes:
            await release.wait()
            return complete_list(4, s="active")

        old, new = (
            await ScriptedServer(held).start(),
            await Scripted(lambda *_: complete_list(6, s="leaving")).start(),
        )
        recorded = RecordedDiscovery(old, 3)
        recorded.discovery.poll()
        await until(lambda: len(old.heard) == 1)
        recorded.discovery.change_address(parse_address(new.address))
        release.set()
        answer = await recorded.next()
        assert answer is not None and answer.version == 6 and len(new.heard) == 1
        recorded.discovery.close()
        old.stop()
        new.stop()

    play(work)


def test_watch_enabled_again_after_a_move_keeps_its_place() -> None:
    # Guards against a call given up for its like: the answer before the move said nothing of the one after.
    async def work() -> None:
        old, new = ScriptedDiscovery(), await ScriptedServer(None).start()
        await old.start()
        recorded = RecordedDiscovery(old)
        recorded.discovery.watch(is_enabled=True)
        assert await recorded.next() is not None
        recorded.discovery.change_address(parse_address(new.address))
        await until(lambda: len(new.heard) == 1)
        recorded.discovery.watch(is_enabled=True)
        recorded.discovery.poll()  # comes after whatever a new watch would have asked
        await until(lambda: len(new.heard) == 2)
        assert "?" not in new.heard[1].target and new.closed == []
        recorded.discovery.close()
        old.stop()
        new.stop()

    play(work)


def test_endpoint_list_is_decoded_in_the_balancers_units() -> None:
    listing = parse_endpoint_list(
        {"version": 3, "full": False, "servers": [line("a", "127.0.0.1:80", started_ms=1_700_000_000_123)]}
    )
    entry = listing.endpoints[0].entry
    assert entry.started_at == 1_700_000_000_123_000
    gone = parse_endpoint_list({"version": 3, "full": False, "servers": [{"id": "a", "state": "left"}]})
    assert gone.endpoints[0].address is None


def test_retry_delays_end_before_changes_count_as_notified() -> None:
    # From when it can be reached on, the longest way to the first call that it hears.  The rest of
    # the 6 s is for its line: it serves the calls of the whole tier one after another.
    waits_s = discovery_polling.MAX_BACKOFF_RECOVERY_FRACTION * discovery_polling.MAX_RECOVERY_US / 1e6
    last_asked_s = hedged_poll.POLL_OVERDUE_S + hedged_poll.HEDGE_OVERDUE_S
    ways = {
        "a wait had just begun": waits_s,
        "a dial had just begun, and hangs": connection.CONNECT_TIMEOUT_S + waits_s,
        "a call was just accepted, and is silent": hedged_poll.POLL_OVERDUE_S,
        "so was the last one beside it": hedged_poll.POLL_TIMEOUT_S - last_asked_s + waits_s,
    }
    assert hedged_poll.MAX_CONNECTIONS == 3  # what is counted here: a call and two beside it
    assert max(ways.values()) <= discovery_polling.MAX_RECOVERY_US / 1e6 - 1.2
