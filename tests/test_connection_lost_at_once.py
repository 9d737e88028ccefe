"""Connections that end before the coroutine that established them continues."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest
from loopback import OK, ScriptedServer, run_async
from upstream_harness import UpstreamHarness

from balancer.events import Outcome
from sidecar.address import parse_address
from sidecar.discovery.connection import DiscoveryConnection, PollFailedError
from sidecar.upstream.http_exchange import UpstreamConnection

MAX_CONNECTIONS = 3

EndConnections = Callable[[bool], None]


@pytest.fixture
def ends_connections(monkeypatch: pytest.MonkeyPatch) -> EndConnections:
    """Return a function that sets whether the event loop reports the end of connections with their start."""
    connection_made = UpstreamConnection.connection_made
    is_ended_at_once = [False]

    def report_end_at_once(connection: UpstreamConnection, transport: asyncio.BaseTransport) -> None:
        connection_made(connection, transport)
        if is_ended_at_once[0]:
            connection.eof_received()

    def set_ended_at_once(is_ended: bool) -> None:
        is_ended_at_once[0] = is_ended

    monkeypatch.setattr(UpstreamConnection, "connection_made", report_end_at_once)
    return set_ended_at_once


def test_connections_that_end_at_once_do_not_use_up_the_pool(ends_connections: EndConnections) -> None:
    # Guards against a sidecar that rejects everything for good, once as many connections as its limit allows
    # have ended in this way.
    async def work() -> None:
        harness = UpstreamHarness(await ScriptedServer(OK).start(), max_connections=MAX_CONNECTIONS)
        ends_connections(True)
        for _ in range(MAX_CONNECTIONS + 1):
            assert await harness.attempt() is Outcome.CONNECT_FAILED
        ends_connections(False)
        assert await harness.attempt() is Outcome.DELIVERED
        harness.close()

    run_async(work)


def test_poll_on_a_connection_that_ends_at_once_fails(ends_connections: EndConnections) -> None:
    # Guards against a poll of discovery that waits for a response on a connection that has ended.
    async def work() -> None:
        discovery = await ScriptedServer(OK).start()
        connection = DiscoveryConnection(parse_address(discovery.address))
        ends_connections(True)
        with pytest.raises(PollFailedError):
            await connection.poll(None, 0)
        connection.close()
        discovery.stop()

    run_async(work)
