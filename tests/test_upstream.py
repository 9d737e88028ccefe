"""Attempts and the pool, over loopback sockets."""

from __future__ import annotations

import asyncio

import pytest
from loopback import (
    ERROR,
    FULL,
    OK,
    ReceivedRequest,
    ScriptedServer,
    SidecarHarness,
    endpoint_entry,
    run_async,
    running_sidecar,
    wait_until,
)

from balancer.events import Outcome
from balancer.settings import Limits
from sidecar.clock import Clock
from sidecar.discovery.endpoint_list import parse_endpoint_list
from sidecar.upstream.attempt import Attempt
from sidecar.upstream.http_exchange import OutgoingRequest
from sidecar.upstream.upstream import Upstream


def at_the_sidecar(harness: SidecarHarness) -> int:
    return harness.sidecar.open_requests


@pytest.mark.parametrize(
    ("answer", "status"),
    [
        (ERROR, 502),
        (FULL, 503),  # it never ran, and nobody else is there
        (b"HTTP/1.1 503 Odd\r\nContent-Length: 0\r\n\r\n", 502),
        (b"HTTP/1.1 404 Odd\r\nContent-Length: 0\r\n\r\n", 502),
        (b"HTTP/1.1 504 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", 503),
        (b"garbage\r\n\r\n", 502),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 502),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n" + b"x" * 70_000, 200),
        (b"HTTP/1.1 500 No\r\nContent-Length: 70000\r\n\r\n" + b"x" * 70_000, 502),
        (b"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 70000\r\n\r\n" + b"x" * 70_000, 503),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + OK, 200),
    ],
)
def test_non_idempotent_request_maps_response_to_status(answer: bytes, status: int) -> None:
    async def work() -> None:
        async with running_sidecar(answer) as harness:
            assert (await harness.request("lodge")).status == status
            assert len(harness.requests) == 1
            assert at_the_sidecar(harness) == 0

    run_async(work)


@pytest.mark.parametrize("part", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"])
def test_non_idempotent_request_is_not_retried_after_connection_loss(part: bytes) -> None:
    async def work() -> None:
        async def hang_up(heard: ReceivedRequest) -> None:
            heard.writer.write(part)
            heard.writer.close()

        async with running_sidecar(hang_up, hang_up) as harness:
            assert (await harness.request("lodge")).status == 502
            assert len(harness.requests) == 1

    run_async(work)


def test_response_delimited_by_close_is_complete() -> None:
    async def work() -> None:
        async def until_eof(heard: ReceivedRequest) -> None:
            heard.writer.write(b"HTTP/1.1 200 OK\r\n\r\nserved")
            heard.writer.close()

        async with running_sidecar(until_eof) as harness:
            assert (await harness.request("lodge")).body == b"served"

    run_async(work)


def test_refused_connection_is_retried_elsewhere() -> None:
    async def work() -> None:
        async with running_sidecar(OK, OK, OK) as harness:
            harness.servers[0].stop()
            harness.servers[1].stop()
            answers = [await harness.request("lodge") for _ in range(4)]
            assert [each.status for each in answers] == [200] * 4

    run_async(work)


def test_silent_server_times_out_and_its_connection_is_closed() -> None:
    async def work() -> None:
        async with running_sidecar(None) as harness:
            assert (await harness.request("lodge", timeout="0.3")).status == 504
            await wait_until(lambda: harness.servers[0].closed_connections == [0])
            assert at_the_sidecar(harness) == 0

    run_async(work)


def test_open_connection_is_reused_and_closed_one_is_not() -> None:
    # Guards against writing to a connection whose end lies unread in the socket: that may have run.
    async def work() -> None:
        async with running_sidecar(OK) as harness:
            client = await harness.client()
            for _ in range(3):
                assert (await client.request("lodge")).status == 200
            assert harness.servers[0].connection_count == 1
            for _ in range(20):
                harness.servers[0].close_connections()
                assert (await client.request("lodge")).status == 200

    run_async(work)


def test_connection_near_its_idle_timeout_is_not_reused() -> None:
    async def work() -> None:
        async with running_sidecar(OK, bounds={"idleCloseUs": 50_000}) as harness:
            client = await harness.client()
            assert (await client.request("lodge")).status == 200
            await wait_until(lambda: harness.servers[0].closed_connections == [0])
            assert (await client.request("lodge")).status == 200
            assert harness.servers[0].connection_count == 2

    run_async(work)


@pytest.mark.parametrize("change", ["addr", "started_ms"])
def test_connections_to_replaced_server_are_closed(change: str) -> None:
    async def work() -> None:
        async with running_sidecar(OK, OK, is_listed=False) as harness:
            first, second = (each.address for each in harness.servers)
            await wait_until(lambda: len(harness.discovery.requests) >= 2)
            harness.discovery.send_changes(endpoint_entry("s", first))
            await wait_until(lambda: len(harness.discovery.requests) >= 3)
            assert (await harness.request()).status == 200
            if change == "addr":
                harness.discovery.send_changes(endpoint_entry("s", second))
            else:
                harness.discovery.send_changes(endpoint_entry("s", first, started_ms=1))
            await wait_until(lambda: harness.servers[0].closed_connections == [0])
            assert (await harness.request()).status == 200
            assert len(harness.servers[1].requests) == (1 if change == "addr" else 0)

    run_async(work)


def test_idle_connections_to_draining_server_are_closed() -> None:
    # Guards against holding places, of which a server has few, where nothing new may go.
    async def work() -> None:
        async with running_sidecar(OK, bounds={"idleCloseUs": 600_000_000}) as harness:
            await wait_until(lambda: len(harness.discovery.requests) >= 2)
            assert (await harness.request()).status == 200
            harness.discovery.send_changes(endpoint_entry("s-0", harness.servers[0].address, state="leaving"))
            await wait_until(lambda: harness.servers[0].closed_connections == [0])

    run_async(work)


def test_connections_are_limited_and_surplus_attempts_not_sent() -> None:
    # Guards against running out of descriptors; what finds no room was not sent.
    async def work() -> None:
        release = asyncio.Event()

        async def hold(heard: ReceivedRequest) -> bytes:
            await release.wait()
            return OK

        server = await ScriptedServer(hold).start()
        upstream = Upstream(Clock(), Limits(connect_timeout_us=1_000_000), 4, lambda: None)
        listed = endpoint_entry("s-0", server.address)
        upstream.update_endpoints(parse_endpoint_list({"version": 1, "full": True, "servers": [listed]}))
        ends: list[Outcome] = []

        def message(left_us: int) -> OutgoingRequest:
            return OutgoingRequest(b"GET", b"/", [(b"host", b"x")])

        for _ in range(6):
            upstream.start(Attempt("s-0", 2**60, message, lambda outcome, _: ends.append(outcome)))
        await wait_until(lambda: len(server.requests) == 4)
        assert ends == [Outcome.NOT_SENT] * 2
        release.set()
        await wait_until(lambda: len(ends) == 6)
        assert ends[2:] == [Outcome.DELIVERED] * 4
        upstream.close()
        server.stop()

    run_async(work)
