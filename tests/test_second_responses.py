"""Servers that answer a request twice: the second response must not be taken for that of the next request."""

from __future__ import annotations

import asyncio

from loopback import OK, ScriptedServer, run_async, wait_until
from upstream_harness import FakeClock, UpstreamHarness

from balancer.events import Outcome
from sidecar.upstream import connection_pool


class Setup(UpstreamHarness):
    """One server, and a clock that is set by the test."""

    def __init__(self, server: ScriptedServer) -> None:
        self.clock = FakeClock()
        super().__init__(server, self.clock)

    async def connections_after_an_attempt(self) -> int:
        """Send an attempt; return how many connections the server has accepted by then."""
        assert await self.attempt() is Outcome.DELIVERED
        return self.server.connection_count

    async def send_unsolicited(self, data: bytes) -> None:
        """Let the server send something on its last connection, which the sidecar closes then."""
        last = self.server.connection_count - 1
        self.server.requests[-1].writer.write(data)
        await wait_until(lambda: last in self.server.closed_connections)


def test_connections_rest_before_their_reuse_once_a_server_has_answered_twice() -> None:
    # Guards against responses that go to the clients of other requests.
    async def work() -> None:
        setup = Setup(await ScriptedServer(OK).start())
        assert [await setup.connections_after_an_attempt() for _ in range(2)] == [1, 1]
        await setup.send_unsolicited(OK)
        assert [await setup.connections_after_an_attempt() for _ in range(2)] == [2, 3]
        setup.clock.time += connection_pool._REST_US
        assert [await setup.connections_after_an_attempt() for _ in range(3)] == [3, 3, 4]
        setup.clock.time += connection_pool._RESTS_FOR_US
        assert [await setup.connections_after_an_attempt() for _ in range(3)] == [4, 4, 4]
        setup.close()

    run_async(work)


def test_data_on_a_connection_that_was_idle_for_long_is_no_second_response() -> None:
    # Guards against the cost of resting connections where servers announce that they close idle ones.
    async def work() -> None:
        setup = Setup(await ScriptedServer(OK).start())
        assert await setup.connections_after_an_attempt() == 1
        setup.clock.time += connection_pool._MAX_SECOND_RESPONSE_DELAY_US
        await setup.send_unsolicited(b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n")
        assert [await setup.connections_after_an_attempt() for _ in range(2)] == [2, 2]
        setup.close()

    run_async(work)


def test_second_response_that_is_unread_at_the_next_attempt_counts() -> None:
    async def work() -> None:
        setup = Setup(await ScriptedServer(OK).start())
        assert await setup.connections_after_an_attempt() == 1
        idle = setup.upstream._pool.endpoints["s-0"].idle[0].connection
        idle.pause()  # as if the event loop had not come to reading it
        setup.server.requests[-1].writer.write(OK)
        await asyncio.sleep(0)
        await wait_until(idle.has_unsolicited_data)
        assert [await setup.connections_after_an_attempt() for _ in range(2)] == [2, 3]
        setup.close()

    run_async(work)
