"""Connections that end before the coroutine that established them continues."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest
from loopback import OK, ScriptedServer, endpoint_entry, run_async, wait_until

from balancer.events import Outcome
from balancer.settings import Limits
from sidecar.address import parse_address
from sidecar.clock import Clock
from sidecar.discovery.connection import DiscoveryConnection, PollFailedError
from sidecar.discovery.endpoint_list import parse_endpoint_list
from sidecar.upstream.attempt import Attempt
from sidecar.upstream.http_exchange import OutgoingRequest, UpstreamConnection
from sidecar.upstream.upstream import Upstream

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
        server = await ScriptedServer(OK).start()
        upstream = Upstream(Clock(), Limits(connect_timeout_us=60_000_000), MAX_CONNECTIONS, lambda: None)
        listed = endpoint_entry("s-0", server.address)
        upstream.update_endpoints(parse_endpoint_list({"version": 1, "full": True, "servers": [listed]}))
        outcomes: list[Outcome] = []

        async def attempt() -> Outcome:
            count = len(outcomes)
            upstream.start(
                Attempt(
                    "s-0",
                    2**60,
                    lambda _time_left_us: OutgoingRequest(b"GET", b"/", [(b"host", b"x")]),
                    lambda outcome, _response: outcomes.append(outcome),
                )
            )
            await wait_until(lambda: len(outcomes) > count)
            return outcomes[-1]

        ends_connections(True)
        for _ in range(MAX_CONNECTIONS + 1):
            assert await attempt() is Outcome.CONNECT_FAILED
        ends_connections(False)
        assert await attempt() is Outcome.DELIVERED
        upstream.close()
        server.stop()

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
