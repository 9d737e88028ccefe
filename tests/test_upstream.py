"""Attempts and the connection pool over loopback sockets."""

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


def open_requests(harness: SidecarHarness) -> int:
    return harness.sidecar.open_requests


@pytest.mark.parametrize(
    ("response", "status"),
    [
        (ERROR, 502),
        (FULL, 503),  # it was not started, and there is no other server
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
def test_response_to_non_idempotent_request_is_mapped_to_status(response: bytes, status: int) -> None:
    async def work() -> None:
        async with running_sidecar(response) as harness:
            assert (await harness.request("lodge")).status == status
            assert len(harness.requests) == 1
            assert open_requests(harness) == 0

    run_async(work)


@pytest.mark.parametrize("partial_response", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"])
def test_non_idempotent_request_is_not_retried_after_connection_loss(partial_response: bytes) -> None:
    async def work() -> None:
        async def hang_up(heard: ReceivedRequest) -> None:
            heard.writer.write(partial_response)
            heard.writer.close()

        async with running_sidecar(hang_up, hang_up) as harness:
            assert (await harness.request("lodge")).status == 502
            assert len(harness.requests) == 1

    run_async(work)


def test_response_delimited_by_close_is_complete() -> None:
    async def work() -> None:
        async def respond_and_close(heard: ReceivedRequest) -> None:
            heard.writer.write(b"HTTP/1.1 200 OK\r\n\r\nserved")
            heard.writer.close()

        async with running_sidecar(respond_and_close) as harness:
            assert (await harness.request("lodge")).body == b"served"

    run_async(work)


def test_refused_connection_is_retried_on_another_server() -> None:
    async def work() -> None:
        async with running_sidecar(OK, OK, OK) as harness:
            harness.servers[0].stop()
            harness.servers[1].stop()
            responses = [await harness.request("lodge") for _ in range(4)]
            assert [response.status for response in responses] == [200] * 4

    run_async(work)


def test_silent_server_times_out_and_its_connection_is_closed() -> None:
    async def work() -> None:
        async with running_sidecar(None) as harness:
            assert (await harness.request("lodge", timeout="0.3")).status == 504
            await wait_until(lambda: harness.servers[0].closed_connections == [0])
            assert open_requests(harness) == 0

    run_async(work)


def test_open_connection_is_reused_and_closed_one_is_not() -> None:
    # Guards against writing a request to a connection that the server has closed: it may or may not have run.
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
            first, second = (server.address for server in harness.servers)
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
    # Guards against using up the few connections that a server accepts, when it gets no new requests.
    async def work() -> None:
        async with running_sidecar(OK, bounds={"idleCloseUs": 600_000_000}) as harness:
            await wait_until(lambda: len(harness.discovery.requests) >= 2)
            assert (await harness.request()).status == 200
            harness.discovery.send_changes(endpoint_entry("s-0", harness.servers[0].address, state="leaving"))
            await wait_until(lambda: harness.servers[0].closed_connections == [0])

    run_async(work)


def test_connections_are_limited_and_surplus_attempts_not_sent() -> None:
    # Guards against running out of descriptors; an attempt over the limit is reported as not sent.
    async def work() -> None:
        release = asyncio.Event()

        async def hold(heard: ReceivedRequest) -> bytes:
            await release.wait()
            return OK

        server = await ScriptedServer(hold).start()
        upstream = Upstream(Clock(), Limits(connect_timeout_us=1_000_000), 4, lambda: None)
        listed = endpoint_entry("s-0", server.address)
        upstream.update_endpoints(parse_endpoint_list({"version": 1, "full": True, "servers": [listed]}))
        outcomes: list[Outcome] = []

        def make_request(time_left_us: int) -> OutgoingRequest:
            return OutgoingRequest(b"GET", b"/", [(b"host", b"x")])

        for _ in range(6):
            upstream.start(Attempt("s-0", 2**60, make_request, lambda outcome, _: outcomes.append(outcome)))
        await wait_until(lambda: len(server.requests) == 4)
        assert outcomes == [Outcome.NOT_SENT] * 2
        release.set()
        await wait_until(lambda: len(outcomes) == 6)
        assert outcomes[2:] == [Outcome.DELIVERED] * 4
        upstream.close()
        server.stop()

    run_async(work)
