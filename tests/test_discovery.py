"""Polling and watching the endpoint list, over loopback sockets."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

import pytest
from loopback import (
    HOST,
    WAIT_TIMEOUT_S,
    ReceivedRequest,
    ScriptedDiscovery,
    ScriptedServer,
    endpoint_entry,
    http_response,
    run_async,
    wait_until,
    within_timeout,
)

from balancer import discovery_polling
from sidecar.address import parse_address
from sidecar.discovery import connection, hedged_poll
from sidecar.discovery.discovery import Discovery
from sidecar.discovery.endpoint_list import EndpointList, parse_endpoint_list


class RecordedClient:
    """A discovery client with a queue of the lists (or None for a failure) that it reports."""

    def __init__(self, server: ScriptedServer, version: int = 41, is_pushed: bool = False) -> None:
        self.events: asyncio.Queue[EndpointList | None] = asyncio.Queue()
        self.discovery = Discovery(
            parse_address(server.address),
            EndpointList(version, True, ()),
            7,
            self.events.put_nowait,
            lambda: self.events.put_nowait(None),
            is_pushed=is_pushed,
        )

    async def next(self) -> EndpointList | None:
        return await within_timeout(self.events.get())


def test_first_poll_of_a_watch_does_not_wait_and_later_ones_do() -> None:
    async def main() -> None:
        server = ScriptedDiscovery()
        server.servers = [endpoint_entry("s-1", "127.0.0.2:80")]
        await server.start()
        client = RecordedClient(server)
        client.discovery.watch(is_enabled=True)
        initial_list = await client.next()
        assert initial_list is not None and initial_list.is_complete and initial_list.version == 1
        await wait_until(lambda: len(server.requests) == 2)
        assert server.requests[0].target == "/catalog/members?after=41&wait_ms=0"
        target, _, wait_ms = server.requests[1].target.rpartition("=")
        assert target == "/catalog/members?after=1&wait_ms" and 15_000 <= int(wait_ms) <= 20_000
        server.send_changes(endpoint_entry("s-1", "127.0.0.2:80", state="leaving"))
        changes = await client.next()
        assert changes is not None and not changes.is_complete and changes.version == 2
        await wait_until(lambda: len(server.requests) == 3)
        client.discovery.watch(is_enabled=False)
        await wait_until(lambda: len(server.closed_connections) == 0 or server.closed_connections == [0])
        client.discovery.close()
        server.stop()

    run_async(main)


@pytest.mark.parametrize("is_answered", [True, False])
def test_watch_continues_at_a_new_address_without_losing_changes(is_answered: bool) -> None:
    async def main() -> None:
        old_server, new_server = ScriptedDiscovery(), ScriptedDiscovery()
        for server in (old_server, new_server):
            await server.start()
        if not is_answered:
            old_server.script = None  # the pending poll is never answered
        client = RecordedClient(old_server)
        client.discovery.watch(is_enabled=True)
        if is_answered:
            assert await client.next() is not None
        await wait_until(lambda: len(old_server.requests) == (2 if is_answered else 1))
        new_server.version = 9
        new_server.servers = [endpoint_entry("s-1", "127.0.0.2:80")]
        client.discovery.change_address(parse_address(new_server.address))
        endpoint_list = await client.next()
        assert endpoint_list is not None and endpoint_list.version == 9
        await wait_until(lambda: len(new_server.requests) == 2)
        new_server.send_changes(endpoint_entry("s-1", "127.0.0.2:80", state="leaving"))
        endpoint_list = await client.next()
        assert endpoint_list is not None and endpoint_list.version == 10
        client.discovery.poll()
        assert await client.next() is not None and len(old_server.requests) <= 2
        client.discovery.close()
        old_server.stop()
        new_server.stop()

    run_async(main)


VALID_LIST = {"version": 7, "full": True, "servers": []}


@pytest.mark.parametrize(
    "response",
    [
        http_response(b"", "503 Busy"),
        http_response(b"not json"),
        http_response(b"[" * 100_000),
        http_response(json.dumps({**VALID_LIST, "version": "x"}).encode()),
        http_response(json.dumps({**VALID_LIST, "full": 1}).encode()),
        http_response(json.dumps({**VALID_LIST, "servers": [{"id": "a", "state": "odd"}]}).encode()),
        http_response(
            json.dumps(
                {**VALID_LIST, "servers": [{"id": "a", "state": "active", "addr": "name:80"}]}
            ).encode()
        ),
        b"garbage\r\n\r\n",
        None,
    ],
    ids=str,
)
@pytest.mark.parametrize("method", ["watch", "poll"])
def test_failed_poll_is_reported_once_and_the_next_succeeds(response: bytes | None, method: str) -> None:
    async def main() -> None:
        async def fail_once(request: ReceivedRequest) -> bytes:
            server.script = http_response(json.dumps(VALID_LIST).encode())
            if response is None:
                request.writer.transport.abort()
                return b""
            return response

        server = await ScriptedServer(fail_once).start()
        client = RecordedClient(server)

        def start_poll() -> None:
            if method == "watch":
                client.discovery.watch(is_enabled=True)
            else:
                client.discovery.poll()

        start_poll()
        assert await client.next() is None
        assert client.events.empty()
        start_poll()
        endpoint_list = await client.next()
        assert endpoint_list is not None and endpoint_list.version == 7
        client.discovery.close()
        server.stop()

    run_async(main)


def test_polls_fail_while_discovery_is_down() -> None:
    async def main() -> None:
        server = await ScriptedServer(None).start()
        client = RecordedClient(server)
        server.stop()
        client.discovery.watch(is_enabled=True)
        assert await client.next() is None
        client.discovery.poll()
        assert await client.next() is None

    run_async(main)


def test_watch_enabled_again_before_its_response_keeps_its_poll() -> None:
    # Guards against polls that are restarted while discovery is slow, so that none is ever answered.
    async def main() -> None:
        release = asyncio.Event()

        async def respond_on_release(request: ReceivedRequest) -> bytes:
            await release.wait()
            return http_response(json.dumps(VALID_LIST).encode())

        server = await ScriptedServer(respond_on_release).start()
        client = RecordedClient(server)
        for _ in range(3):
            client.discovery.watch(is_enabled=True)
        await wait_until(lambda: len(server.requests) == 1)
        client.discovery.watch(is_enabled=True)
        release.set()
        assert await client.next() is not None
        assert server.connection_count == 1
        client.discovery.close()
        server.stop()

    run_async(main)


def test_pushed_lists_are_received_after_a_restart_of_the_agent() -> None:
    async def main() -> None:
        server = ScriptedDiscovery()
        await server.start()
        port = int(server.address.rpartition(":")[2])
        client = RecordedClient(server, is_pushed=True)
        client.discovery.start()
        assert await client.next() is not None
        server.stop()
        restarted_server = ScriptedDiscovery()
        restarted_server.version = 9
        restarted_server.servers = [endpoint_entry("s-1", f"{HOST}:80")]
        await restarted_server.start(port)
        restarted_server.send_changes(endpoint_entry("s-2", f"{HOST}:80"))
        endpoint_list = await client.next()
        assert endpoint_list is not None and endpoint_list.version == 10
        assert client.events.empty()
        client.discovery.close()
        restarted_server.stop()

    run_async(main)


class NumberedDiscovery(ScriptedServer):
    """A discovery service whose responses are made by a function of the request and its number, from 0."""

    def __init__(self, respond: Callable[[int, ReceivedRequest], bytes | None]) -> None:
        super().__init__(self._respond_by_number)
        self._respond_to = respond

    async def _respond_by_number(self, request: ReceivedRequest) -> bytes | None:
        return self._respond_to(len(self.requests) - 1, request)


def complete_list(version: int, **states: str) -> bytes:
    servers = [endpoint_entry(name, "127.0.0.2:80", state=state) for name, state in states.items()]
    return http_response(json.dumps({"version": version, "full": True, "servers": servers}).encode())


@pytest.fixture
def short_watch_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    """Set the wait of a watch to 20 ms, and watches and hedges to be overdue after another 10 ms each.

    Polls without a wait are not overdue any earlier, so the first poll of a watch is not hedged on a busy
    machine, and a test may number the requests.
    """
    monkeypatch.setattr("sidecar.discovery.watcher._MAX_WAIT_MS", 20)
    for name in ("WATCH_OVERDUE_S", "HEDGE_OVERDUE_S"):
        monkeypatch.setattr(f"sidecar.discovery.hedged_poll.{name}", 0.01)
    monkeypatch.setattr("sidecar.discovery.hedged_poll.POLL_TIMEOUT_S", WAIT_TIMEOUT_S)


@pytest.fixture
def short_waits(short_watch_waits: None, monkeypatch: pytest.MonkeyPatch) -> None:
    """Set polls without a wait to be overdue after 10 ms, too."""
    monkeypatch.setattr("sidecar.discovery.hedged_poll.POLL_OVERDUE_S", 0.01)


@pytest.mark.parametrize("silent_count", [1, 2])
@pytest.mark.parametrize("is_pushed", [False, True])
def test_unanswered_watch_is_hedged_before_it_fails(
    short_waits: None, is_pushed: bool, silent_count: int
) -> None:
    # Guards against a request to a draining server because of a stalled watch: a change counts as
    # notified 2 s after the wait of the watch, and without hedging the watch only fails later.  The second
    # connection may stall too.
    async def main() -> None:
        # Distinguished by version, not by number: on a busy machine the first poll may be hedged as well.
        later_requests: list[ReceivedRequest] = []

        def respond(_: int, request: ReceivedRequest) -> bytes | None:
            if "after=1&" not in request.target:
                return complete_list(1, s="active")
            later_requests.append(request)
            is_silent = len(later_requests) <= silent_count or not request.target.endswith("=0")
            return None if is_silent else complete_list(2, s="leaving")

        server = await NumberedDiscovery(respond).start()
        client = RecordedClient(server, 0, is_pushed)
        client.discovery.start() if is_pushed else client.discovery.watch(is_enabled=True)
        assert (initial_list := await client.next()) is not None and initial_list.version == 1
        assert (changes := await client.next()) is not None and changes.version == 2
        watch_request, hedge_request = later_requests[0], later_requests[silent_count]
        assert not watch_request.target.endswith("wait_ms=0") and hedge_request.target.endswith(
            "after=1&wait_ms=0"
        )
        assert watch_request.connection != hedge_request.connection
        # The stalled connection was closed.
        await wait_until(lambda: watch_request.connection in server.closed_connections)
        client.discovery.close()
        server.stop()

    run_async(main)


def test_first_poll_without_a_response_is_hedged(short_waits: None) -> None:
    async def main() -> None:
        server = await NumberedDiscovery(
            lambda number, _: None if number == 0 else complete_list(3, s="active")
        ).start()
        client = RecordedClient(server)
        client.discovery.watch(is_enabled=True)
        assert (endpoint_list := await client.next()) is not None and endpoint_list.version == 3
        client.discovery.close()
        server.stop()

    run_async(main)


def test_watch_and_poll_that_fail_together_are_reported_once_each() -> None:
    async def main() -> None:
        unavailable = http_response(b"", "503 Busy")
        server = await NumberedDiscovery(
            lambda number, _: unavailable if number < 2 else complete_list(4, s="active")
        ).start()
        client = RecordedClient(server)
        client.discovery.watch(is_enabled=True)
        client.discovery.poll()
        assert [await client.next(), await client.next()] == [None, None]
        assert client.events.empty()
        client.discovery.watch(is_enabled=True)
        assert (endpoint_list := await client.next()) is not None and endpoint_list.version == 4
        client.discovery.close()
        server.stop()

    run_async(main)


def test_watch_with_a_truncated_response_is_hedged(short_watch_waits: None) -> None:
    async def main() -> None:
        def respond(number: int, request: ReceivedRequest) -> bytes | None:
            if number == 1:
                return complete_list(2, s="leaving")[:-10]
            return (
                complete_list(1, s="active")
                if number == 0
                else complete_list(2, s="leaving")
                if number == 2
                else None
            )

        server = await NumberedDiscovery(respond).start()
        client = RecordedClient(server)
        client.discovery.watch(is_enabled=True)
        assert await client.next() is not None
        assert (changes := await client.next()) is not None and changes.version == 2
        client.discovery.close()
        server.stop()

    run_async(main)


def test_unanswered_watch_fails_once_and_closes_its_connections(
    short_watch_waits: None, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        monkeypatch.setattr("sidecar.discovery.hedged_poll.POLL_TIMEOUT_S", 0.1)
        server = await NumberedDiscovery(lambda number, _: complete_list(1) if number == 0 else None).start()
        client = RecordedClient(server)
        client.discovery.watch(is_enabled=True)
        assert await client.next() is not None
        assert await client.next() is None
        await wait_until(lambda: len(server.closed_connections) == server.connection_count)
        assert server.connection_count <= 3 and client.events.empty()
        server.stop()

    run_async(main)


def test_failed_hedges_of_an_overdue_watch_are_one_failure(short_watch_waits: None) -> None:
    async def main() -> None:
        def respond(number: int, request: ReceivedRequest) -> bytes | None:
            return (complete_list(1), None)[number] if number < 2 else http_response(b"", "503 Busy")

        server = await NumberedDiscovery(respond).start()
        client = RecordedClient(server)
        client.discovery.watch(is_enabled=True)
        assert await client.next() is not None
        assert await client.next() is None
        assert len(server.requests) == 4 and client.events.empty()
        server.stop()

    run_async(main)


def test_poll_overtaken_by_a_watch_reports_no_older_list(short_waits: None) -> None:
    # Guards against an older list that makes a draining server available again.
    async def main() -> None:
        release = asyncio.Event()
        # Distinguished by target, not by number: on a busy machine the poll may be hedged before the watch.
        watch_requests: list[ReceivedRequest] = []

        async def respond(request: ReceivedRequest) -> bytes | None:
            if "?" not in request.target:
                await release.wait()
                return complete_list(4, s="active")
            watch_requests.append(request)
            return complete_list(9, s="leaving") if len(watch_requests) == 1 else None

        server = await ScriptedServer(respond).start()
        client = RecordedClient(server, 3)
        client.discovery.poll()
        await wait_until(lambda: len(server.requests) >= 1)
        assert all("?" not in request.target for request in server.requests)
        client.discovery.watch(is_enabled=True)
        assert (changes := await client.next()) is not None and changes.version == 9
        release.set()
        poll_result = await client.next()
        assert poll_result is not None and (poll_result.version, poll_result.endpoints) == (9, ())
        client.discovery.close()
        server.stop()

    run_async(main)


def test_poll_answered_after_an_address_change_is_repeated_at_the_new_address() -> None:
    async def main() -> None:
        release = asyncio.Event()

        async def respond_on_release(request: ReceivedRequest) -> bytes:
            await release.wait()
            return complete_list(4, s="active")

        old_server, new_server = (
            await ScriptedServer(respond_on_release).start(),
            await NumberedDiscovery(lambda *_: complete_list(6, s="leaving")).start(),
        )
        client = RecordedClient(old_server, 3)
        client.discovery.poll()
        await wait_until(lambda: len(old_server.requests) == 1)
        client.discovery.change_address(parse_address(new_server.address))
        release.set()
        endpoint_list = await client.next()
        assert endpoint_list is not None and endpoint_list.version == 6 and len(new_server.requests) == 1
        client.discovery.close()
        old_server.stop()
        new_server.stop()

    run_async(main)


def test_watch_enabled_again_after_an_address_change_keeps_its_poll() -> None:
    # Guards against restarting the poll at the new address: that the old address has answered says nothing
    # about whether the new one has.
    async def main() -> None:
        old_server, new_server = ScriptedDiscovery(), await ScriptedServer(None).start()
        await old_server.start()
        client = RecordedClient(old_server)
        client.discovery.watch(is_enabled=True)
        assert await client.next() is not None
        client.discovery.change_address(parse_address(new_server.address))
        await wait_until(lambda: len(new_server.requests) == 1)
        client.discovery.watch(is_enabled=True)
        client.discovery.poll()  # arrives after the poll that a restarted watch would send
        await wait_until(lambda: len(new_server.requests) == 2)
        assert "?" not in new_server.requests[1].target and new_server.closed_connections == []
        client.discovery.close()
        old_server.stop()
        new_server.stop()

    run_async(main)


def test_endpoint_list_is_decoded_with_times_in_microseconds() -> None:
    endpoint_list = parse_endpoint_list(
        {
            "version": 3,
            "full": False,
            "servers": [endpoint_entry("a", "127.0.0.1:80", started_ms=1_700_000_000_123)],
        }
    )
    entry = endpoint_list.endpoints[0].entry
    assert entry.started_at == 1_700_000_000_123_000
    list_with_gone_server = parse_endpoint_list(
        {"version": 3, "full": False, "servers": [{"id": "a", "state": "left"}]}
    )
    assert list_with_gone_server.endpoints[0].address is None


def test_retry_delays_end_before_changes_count_as_notified() -> None:
    # The longest times from when discovery becomes reachable until it receives the first poll.  The rest of
    # the 6 s until changes count as notified is for its queue: polls of a cluster are answered one by one.
    max_backoff_s = discovery_polling.MAX_BACKOFF_RECOVERY_FRACTION * discovery_polling.MAX_RECOVERY_US / 1e6
    last_hedge_s = hedged_poll.POLL_OVERDUE_S + hedged_poll.HEDGE_OVERDUE_S
    delays_s = {
        "a backoff had just started": max_backoff_s,
        "a connection attempt had just started and times out": connection.CONNECT_TIMEOUT_S + max_backoff_s,
        "a poll had just been accepted and is never answered": hedged_poll.POLL_OVERDUE_S,
        "the last hedge had just been accepted and is never answered": hedged_poll.POLL_TIMEOUT_S
        - last_hedge_s
        + max_backoff_s,
    }
    assert hedged_poll.MAX_CONNECTIONS == 3  # assumed above: a poll and two hedges
    assert max(delays_s.values()) <= discovery_polling.MAX_RECOVERY_US / 1e6 - 1.2
