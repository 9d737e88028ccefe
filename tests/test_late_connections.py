"""Attempts whose conditions change while their connection is being established.

Before its first byte is written, an attempt is checked again.  The tests make the change first and then
complete the connection by `SlowAcceptServer.accept`, so the order of events is fixed.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

import pytest
from loopback import (
    FULL,
    HOST,
    OK,
    ReceivedRequest,
    SidecarHarness,
    SlowAcceptServer,
    endpoint_entry,
    request_bytes,
    run_async,
    running_sidecar,
    wait_until,
)

from balancer.actions import SendAttempt
from balancer.events import Outcome
from balancer.settings import Limits
from sidecar.clock import Clock
from sidecar.discovery.endpoint_list import parse_endpoint_list
from sidecar.upstream.attempt import Attempt
from sidecar.upstream.http_exchange import OutgoingRequest
from sidecar.upstream.upstream import Upstream

LONG_CONNECT_TIMEOUT = {"dialTimeoutUs": 60_000_000}  # longer than any test runs


def open_requests(harness: SidecarHarness) -> int:
    return harness.sidecar.open_requests


@pytest.mark.parametrize("cause", ["server draining", "server removed", "client disconnected"])
def test_nothing_is_written_when_connection_is_established_too_late(cause: str) -> None:
    # Guards against sending a request to a server whose drain is announced while connecting, and against
    # writing an attempt that was cancelled meanwhile.
    async def work() -> None:
        slow = SlowAcceptServer()
        await slow.fill_accept_queue()
        async with running_sidecar(bounds={"dialTimeoutUs": 15_000_000}) as harness:
            await wait_until(lambda: len(harness.discovery.requests) >= 2)
            harness.discovery.send_changes(endpoint_entry("s", slow.address))
            await wait_until(lambda: len(harness.discovery.requests) >= 3)
            client = await harness.client()
            client.send(request_bytes("lodge", timeout="15"))
            await wait_until(lambda: open_requests(harness) == 1)
            if cause == "client disconnected":
                client.close()
                await wait_until(lambda: open_requests(harness) == 0)
            else:
                state = "leaving" if cause == "server draining" else "left"
                harness.discovery.send_changes(endpoint_entry("s", slow.address, state=state))
                await wait_until(lambda: len(harness.discovery.requests) >= 4)
            accepted = await slow.accept()
            if cause == "client disconnected":
                harness.sidecar.close()  # the connection is usable and was kept in the pool
            else:
                assert (await client.read_response()).status == 503
            assert await asyncio.get_running_loop().sock_recv(accepted, 1_000) == b""
            accepted.close()
        slow.close()

    run_async(work)


async def assert_nothing_is_written(harness: SidecarHarness, slow: SlowAcceptServer) -> None:
    """Let the late connection be established; check that it gets no bytes before the sidecar closes it."""
    accepted = await slow.accept()
    harness.sidecar.close()
    assert await asyncio.get_running_loop().sock_recv(accepted, 1_000) == b""
    accepted.close()


@dataclass
class LateConnectionSetup:
    """An `Upstream` with one server that accepts connections late, and the outcomes of its attempts."""

    upstream: Upstream
    clock: Clock
    slow: SlowAcceptServer
    outcomes: list[Outcome]

    def update_list(self, **changes: Any) -> None:
        entry = endpoint_entry("s-0", self.slow.address, **changes)
        self.upstream.update_endpoints(parse_endpoint_list({"version": 1, "full": True, "servers": [entry]}))

    def start_attempt(self, **options: Any) -> Attempt:
        def make_request(time_left_us: int) -> OutgoingRequest:
            return OutgoingRequest(b"GET", b"/", [(b"host", b"x")])

        attempt = Attempt(
            "s-0", 2**60, make_request, lambda outcome, _: self.outcomes.append(outcome), **options
        )
        self.upstream.start(attempt)
        return attempt

    async def first_bytes(self) -> bytes:
        """Return the first bytes written after the connection is established; empty if there are none."""
        accepted = await self.slow.accept()
        loop = asyncio.get_running_loop()
        loop.call_later(0.05, self.upstream.close)
        with contextlib.closing(accepted):
            return await loop.sock_recv(accepted, 1_000)


@contextlib.asynccontextmanager
async def late_connection_setup(max_connections: int = 4) -> AsyncIterator[LateConnectionSetup]:
    slow = SlowAcceptServer()
    await slow.fill_accept_queue()
    clock = Clock()
    upstream = Upstream(clock, Limits(connect_timeout_us=60_000_000), max_connections, lambda: None)
    setup = LateConnectionSetup(upstream, clock, slow, [])
    setup.update_list()
    try:
        yield setup
    finally:
        setup.upstream.close()
        slow.close()


def test_attempt_whose_connection_is_established_in_time_is_written() -> None:
    async def work() -> None:
        async with late_connection_setup() as setup:
            setup.start_attempt(send_by=2**59)
            assert (await setup.first_bytes()).startswith(b"GET / HTTP/1.1")

    run_async(work)


def test_retry_whose_window_ends_while_connecting_is_never_written() -> None:
    # Guards against a retry with an idempotency key that is decided within its window and written after it,
    # when the server may have forgotten the key.
    async def work() -> None:
        async with late_connection_setup() as setup:
            setup.start_attempt(send_by=setup.clock.now() + 30_000)
            # The request did not run, which is reported at once and not at the end of the connect timeout.
            await wait_until(lambda: setup.outcomes == [Outcome.NOT_SENT])
            assert await setup.first_bytes() == b""
            assert setup.outcomes == [Outcome.NOT_SENT]

    run_async(work)


@pytest.mark.parametrize(
    ("send_by", "outcome"), [(2**61, Outcome.CONNECT_FAILED), (2**59, Outcome.NOT_SENT)], ids=str
)
def test_outcome_of_connect_timeout_does_not_depend_on_timer_precision(
    send_by: int, outcome: Outcome
) -> None:
    # Guards against a server that accepts no connections and is never ejected, because a timer that fires
    # early would hide the failure.
    async def work() -> None:
        async with late_connection_setup() as setup:
            setup.upstream._expire(setup.start_attempt(send_by=send_by))
            assert setup.outcomes == [outcome]

    run_async(work)


def test_attempt_whose_window_is_over_does_not_connect() -> None:
    async def work() -> None:
        async with late_connection_setup() as setup:
            setup.start_attempt(send_by=setup.clock.now())
            await wait_until(lambda: setup.outcomes == [Outcome.NOT_SENT])
            assert not setup.upstream._pool._tasks

    run_async(work)


def test_server_that_changes_its_cell_while_connecting_gets_no_request() -> None:
    async def work() -> None:
        async with late_connection_setup() as setup:
            setup.start_attempt()
            setup.update_list(cell=2)
            assert await setup.first_bytes() == b""
            assert setup.outcomes == [Outcome.NOT_SENT]

    run_async(work)


def test_unwanted_attempt_is_not_written_when_connected() -> None:
    async def work() -> None:
        async with late_connection_setup() as setup:
            is_client_connected = [True]
            setup.start_attempt(is_wanted=lambda: is_client_connected[0])
            is_client_connected[0] = False
            assert await setup.first_bytes() == b""
            assert setup.outcomes == [Outcome.NOT_SENT]

    run_async(work)


def test_cancelled_attempt_that_was_not_written_is_reported_as_not_sent() -> None:
    async def work() -> None:
        async with late_connection_setup() as setup:
            attempt = setup.start_attempt()
            setup.upstream.cancel(attempt)
            setup.upstream.withdraw(attempt)
            await wait_until(lambda: setup.outcomes == [Outcome.NOT_SENT])
            assert await setup.first_bytes() == b""

    run_async(work)


def test_connection_that_outlives_its_attempt_counts_against_the_limit_and_is_kept() -> None:
    async def work() -> None:
        async with late_connection_setup(max_connections=1) as setup:
            setup.upstream.withdraw(setup.start_attempt())
            setup.start_attempt()  # at the limit: the first connection is still being established
            await wait_until(lambda: setup.outcomes == [Outcome.NOT_SENT] * 2)
            accepted = await setup.slow.accept()
            await wait_until(
                lambda: not setup.upstream._pool._tasks and len(setup.upstream._pool._endpoint_of) == 1
            )
            setup.start_attempt()  # is written to the established connection
            assert (await asyncio.get_running_loop().sock_recv(accepted, 1_000)).startswith(b"GET /")
            accepted.close()

    run_async(work)


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("disconnect", ["close", "reset"])
def test_request_is_not_forwarded_after_disconnect_while_connecting(
    may_cancel: bool, disconnect: str
) -> None:
    # Guards the operators' limit of 0.3 s for forwarding after a disconnect.  An attempt that is not written
    # may be dropped even where the settings forbid to cancel attempts.
    async def work() -> None:
        slow = SlowAcceptServer()
        await slow.fill_accept_queue()
        async with running_sidecar(bounds={**LONG_CONNECT_TIMEOUT, "mayCancel": may_cancel}) as harness:
            await wait_until(lambda: len(harness.discovery.requests) >= 2)
            harness.discovery.send_changes(endpoint_entry("s", slow.address))
            await wait_until(lambda: len(harness.discovery.requests) >= 3)
            client = await harness.client()
            client.send(request_bytes("lodge", timeout="50"))
            await wait_until(lambda: open_requests(harness) == 1)
            if disconnect == "close":
                client.close()
            else:
                client.writer.transport.abort()
            await wait_until(lambda: open_requests(harness) == 0)
            await assert_nothing_is_written(harness, slow)
        slow.close()

    run_async(work)


def test_burst_of_disconnects_while_connecting_leaves_no_open_requests() -> None:
    async def work() -> None:
        slow = SlowAcceptServer()
        await slow.fill_accept_queue()
        async with running_sidecar(OK, bounds={**LONG_CONNECT_TIMEOUT, "mayCancel": False}) as harness:
            await wait_until(lambda: len(harness.discovery.requests) >= 2)
            harness.discovery.send_changes(
                endpoint_entry("s", slow.address),
                endpoint_entry("s-0", harness.servers[0].address, state="leaving"),
            )
            await wait_until(lambda: len(harness.discovery.requests) >= 3)
            for _ in range(20):
                (await harness.client()).send(request_bytes("lodge", timeout="50"))
            await wait_until(lambda: open_requests(harness) == 20)
            for client in harness.clients:
                client.close()
            await wait_until(lambda: open_requests(harness) == 0)
            assert harness.sidecar.unanswered_requests == 0 and harness.requests == []
            harness.discovery.send_changes(endpoint_entry("s-0", harness.servers[0].address, started_ms=1))
            await wait_until(lambda: len(harness.discovery.requests) >= 4)
            harness.discovery.send_changes(endpoint_entry("s", slow.address, state="left"))
            await wait_until(lambda: len(harness.discovery.requests) >= 5)
            assert (await harness.request("lodge")).status == 200
        slow.close()

    run_async(work)


def test_disconnect_of_paused_upload_is_noticed() -> None:
    # Guards against a request that waits for a connection after its client, whose upload is paused, has left.
    async def work() -> None:
        slow = SlowAcceptServer()
        await slow.fill_accept_queue()
        async with running_sidecar(bounds=LONG_CONNECT_TIMEOUT) as harness:
            await wait_until(lambda: len(harness.discovery.requests) >= 2)
            harness.discovery.send_changes(endpoint_entry("s", slow.address))
            await wait_until(lambda: len(harness.discovery.requests) >= 3)
            client = await harness.client()
            client.send(request_bytes("lodge", timeout="50", body=b"x" * 70_000, Content_Length="200000"))
            connections = harness.sidecar.downstream._connections
            await wait_until(
                lambda: [connection.receive_progress.paused_since for connection in connections] != [None]
            )
            client.close()
            await wait_until(lambda: open_requests(harness) == 0)
            await assert_nothing_is_written(harness, slow)
        slow.close()

    run_async(work)


def test_response_cancels_hedged_request_that_is_connecting() -> None:
    # Guards against a duplicate: the hedged request would be written after its request was answered.
    async def work() -> None:
        slow = SlowAcceptServer()
        await slow.fill_accept_queue()
        release = asyncio.Event()

        async def hold(request: ReceivedRequest) -> bytes:
            await release.wait()
            return OK

        def is_hedge_connecting(harness: SidecarHarness) -> bool:
            return bool(harness.requests) and harness.sidecar._upstream._pool._connecting > 0

        bounds = {**LONG_CONNECT_TIMEOUT, "mayCancel": False, "secondCopies": True, "sendCap": 2}
        async with running_sidecar(hold, hold, hold, bounds=bounds) as harness:
            await wait_until(lambda: len(harness.discovery.requests) >= 2)
            balancer = harness.sidecar._balancer
            response = asyncio.get_running_loop().create_task(harness.request("check", timeout="20"))
            await wait_until(lambda: len(harness.requests) == 1)
            (number,) = harness.sidecar._requests.numbers()
            harness.discovery.send_changes(endpoint_entry("s", slow.address))
            await wait_until(lambda: balancer.knows_endpoint("s"))
            # The balancer sends the same action for an attempt that exceeds its expected response time.
            harness.sidecar._executor.execute(SendAttempt(number, "s", 2**60))
            await wait_until(lambda: is_hedge_connecting(harness))
            release.set()
            assert (await response).status == 200
            await wait_until(lambda: open_requests(harness) == 0)
            await assert_nothing_is_written(harness, slow)
        slow.close()

    run_async(work)


def test_retry_with_key_whose_window_ends_while_connecting_fails_the_request() -> None:
    # End to end: the first attempt is reset, so it may have run, and its retry is connecting until the
    # idempotency window is over.
    async def work() -> None:
        slow = SlowAcceptServer()
        await slow.fill_accept_queue()
        is_listed = asyncio.Event()

        async def reset_when_listed(request: ReceivedRequest) -> None:
            await is_listed.wait()
            request.writer.transport.abort()

        service_class = {
            "name": "amend",
            "giveUpUs": 60_000_000,
            "promiseUs": 10_000_000,
            "repeat": "idempotency_key",
            "group": "all",
            "memorySpanUs": 2_000_000,
        }
        async with running_sidecar(
            reset_when_listed, bounds=LONG_CONNECT_TIMEOUT, lanes=[service_class]
        ) as harness:
            await wait_until(lambda: len(harness.discovery.requests) >= 2)
            client = await harness.client()
            client.send(request_bytes("amend", timeout="50"))
            await wait_until(lambda: len(harness.requests) == 1)
            harness.discovery.send_changes(endpoint_entry("s", slow.address))
            await wait_until(lambda: harness.sidecar._balancer.knows_endpoint("s"))
            is_listed.set()
            await wait_until(lambda: harness.sidecar._upstream._pool._connecting == 1)
            response = (
                await client.read_response()
            )  # at the end of the window, long before the client's timeout
            assert response.status in (502, 503, 504)
            await wait_until(lambda: open_requests(harness) == 0)
            assert len(harness.requests) == 1
            await assert_nothing_is_written(harness, slow)
        slow.close()

    run_async(work)


def test_no_retry_is_written_after_disconnect_that_is_not_processed_yet() -> None:
    # Guards the operators' limit of 0.1 s for forwarding after a disconnect.  A busy process may read a
    # server's rejection before an older disconnect, and would retry at once on an idle connection.
    async def work() -> None:
        may_respond = asyncio.Event()
        leaving_clients: list[socket.socket] = []

        async def script(request: ReceivedRequest) -> bytes | None:
            if not leaving_clients:
                await may_respond.wait()
                return OK
            # Both happen at once and in this order, so the event loop gets them in one iteration.
            os.write(request.writer.get_extra_info("socket").fileno(), FULL)
            leaving_clients[0].close()
            return None

        async with running_sidecar(script, script) as harness:
            for count in (1, 2):
                (await harness.client()).send(request_bytes("lodge", timeout="50"))
                await wait_until(lambda sent=count: len(harness.requests) == sent)  # type: ignore[misc]
            may_respond.set()
            await wait_until(lambda: open_requests(harness) == 0)
            assert [len(server.requests) for server in harness.servers] == [
                1,
                1,
            ]  # an idle connection to each
            leaving_clients.append(socket.create_connection((HOST, harness.sidecar.downstream.port)))
            leaving_clients[0].sendall(request_bytes("lodge", timeout="50"))
            await wait_until(lambda: len(harness.requests) >= 3)
            await wait_until(lambda: open_requests(harness) == 0)
            await asyncio.sleep(0.05)
            assert len(harness.requests) == 3

    run_async(work)
