"""Requests of clients over loopback sockets: forwarding, rejection, timeouts and connection limits."""

from __future__ import annotations

import asyncio
import socket
import time
from pathlib import Path

import pytest
from loopback import (
    HOST,
    OK,
    ReceivedRequest,
    request_bytes,
    run_async,
    running_sidecar,
    wait_until,
    within_timeout,
)

from sidecar.downstream import connection


@pytest.mark.parametrize(
    ("kind", "body"), [("check", b""), ("amend", b'{"a":1}'), ("lodge", b"x" * 65_536)], ids=str
)
def test_request_is_forwarded_unchanged_and_response_returned(kind: str, body: bytes) -> None:
    async def work() -> None:
        async with running_sidecar(OK) as harness:
            response = await harness.request(kind, body=body, timeout="1.5", Request_Id="9b1f03aa5c7e2d41")
            assert (response.status, response.body) == (200, b"served")
            (request,) = harness.requests
            assert request.method == ("GET" if kind == "check" else "POST")
            assert request.target == "/api/7f3a?x=1"
            assert request.body == body
            assert request.headers["request-id"] == "9b1f03aa5c7e2d41"
            assert request.headers.get("idempotency-key") == ("5c0f" if kind == "amend" else None)
            assert 0.0 < float(request.headers["request-timeout"]) <= 1.5

    run_async(work)


@pytest.mark.parametrize(
    "raw",
    [
        b"nonsense\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: x\r\nbroken line\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: -4\r\n\r\n",
        b"GET / HTTP/1.1\r\n\r\n",
        request_bytes(Request_Class=""),
        request_bytes(Request_Class="unheard-of"),
        request_bytes(Request_Id=""),
        request_bytes(Request_Id="two words"),
        request_bytes(Request_Id="a\r\nRequest-Id: b"),
        request_bytes(Request_Timeout=""),
        request_bytes(timeout="soon"),
        request_bytes(timeout="-1"),
        request_bytes(timeout="0"),
        request_bytes(timeout="nan"),
        request_bytes(timeout="1e999"),
        request_bytes(Work_Hint="much"),
        request_bytes("amend", Idempotency_Key=""),
        request_bytes("lodge", Idempotency_Key="5c0f"),
        request_bytes("lodge").replace(b"POST", b"PUT", 1),
        request_bytes("check").replace(b"GET", b"HEAD", 1),
        request_bytes("lodge").replace(b"POST", b"GET", 1),
        request_bytes(target="http://elsewhere/api"),
        request_bytes(Host="").replace(b"HTTP/1.1", b"HTTP/1.0"),
    ],
)
def test_invalid_request_gets_400_and_reaches_no_server(raw: bytes) -> None:
    async def work() -> None:
        async with running_sidecar(OK) as harness:
            client = await harness.client()
            client.send(raw)
            assert (await client.read_response()).status == 400
            assert harness.requests == []
            assert (await harness.request()).status == 200  # other requests are still served

    run_async(work)


@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_body_over_the_limit_gets_413(framing: str, monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a reset that loses the response while the client is still sending.
    monkeypatch.setattr(connection, "MAX_BODY_BYTES", 150_000)

    async def wait_for_body(_request: ReceivedRequest) -> None:
        await asyncio.Event().wait()  # an early response could overtake the part beyond the limit

    async def work() -> None:
        async with running_sidecar(wait_for_body) as harness:
            client = await harness.client()
            body = b"x" * 200_000
            if framing == "length":
                client.send(request_bytes("lodge", body=body))
            else:
                head = request_bytes("lodge", Content_Length="", Transfer_Encoding="chunked")
                client.send(head + b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body))
            assert (await client.read_response()).status == 413
            assert (
                framing == "chunked" or harness.requests == []
            )  # a chunked body is forwarded until the limit
            await wait_until(lambda: harness.sidecar.open_requests == 0)

    run_async(work)


@pytest.mark.parametrize("framing", ["chunked with a length", "chunked in HTTP/1.0"])
def test_request_smuggled_by_ambiguous_framing_reaches_no_server(framing: str) -> None:
    # Guards against request smuggling: by its chunks, the body ends before the inner request; by its length,
    # after it.
    async def work() -> None:
        async with running_sidecar(OK) as harness:
            client = await harness.client()
            body = b"0\r\n\r\n" + request_bytes("check")
            length = str(len(body)) if framing == "chunked with a length" else ""
            raw = request_bytes("lodge", Content_Length=length, Transfer_Encoding="chunked") + body
            client.send(raw if length else raw.replace(b"HTTP/1.1", b"HTTP/1.0", 1))
            assert (await client.read_response()).status == 400
            assert await within_timeout(client.reader.read()) == b""  # closed, so nothing more is read
            assert harness.requests == []

    run_async(work)


def test_pipelined_request_is_rejected() -> None:
    # Guards against bodies that are longer than their head says; clients send one request at a time.
    async def work() -> None:
        async with running_sidecar(OK) as harness:
            client = await harness.client()
            client.send(request_bytes(target="/api/1") + request_bytes(target="/api/2"))
            assert (await client.read_response()).status == 400
            assert await within_timeout(client.reader.read()) == b""
            assert harness.requests == []

    run_async(work)


def test_bytes_received_while_a_request_is_pending_are_not_read_as_a_request() -> None:
    async def work() -> None:
        release = asyncio.Event()

        async def hold(request: ReceivedRequest) -> bytes:
            await release.wait()
            return OK

        async with running_sidecar(hold) as harness:
            client, other = await harness.client(), await harness.client()
            client.send(request_bytes(target="/api/1"))
            await wait_until(lambda: len(harness.requests) == 1)
            client.send(request_bytes(target="/api/2"))
            other.send(request_bytes(target="/api/3"))  # read after the second request of the first client
            await wait_until(lambda: len(harness.requests) == 2)
            release.set()
            response = await client.read_response()
            assert (response.status, response.headers["connection"]) == (200, "close")
            assert await within_timeout(client.reader.read()) == b""
            assert (await other.read_response()).status == 200
            assert [request.target for request in harness.requests] == ["/api/1", "/api/3"]

    run_async(work)


def test_nothing_is_read_after_a_rejected_request() -> None:
    async def work() -> None:
        async with running_sidecar(OK) as harness:
            client = await harness.client()
            assert (await client.request()).status == 200
            client.send(request_bytes(Request_Class="unheard-of"))
            assert (await client.read_response()).status == 400
            client.send(request_bytes())
            assert await within_timeout(client.reader.read()) == b""
            assert len(harness.requests) == 1

    run_async(work)


def test_disconnect_cancels_the_attempt_and_removes_the_request() -> None:
    async def work() -> None:
        async with running_sidecar(None) as harness:
            client = await harness.client()
            client.send(request_bytes("lodge"))
            await wait_until(lambda: len(harness.requests) == 1)
            client.close()
            await wait_until(lambda: harness.servers[0].closed_connections == [0])
            await wait_until(lambda: harness.sidecar.open_requests == 0)

    run_async(work)


def test_request_of_disconnected_client_is_not_forwarded() -> None:
    # Guards against congestion collapse: an overloaded sidecar would send responses that nobody reads.
    async def work() -> None:
        async with running_sidecar(OK) as harness:
            client = await harness.client()
            assert (await client.request(target="/api/1")).status == 200  # leaves a connection to reuse
            downstream = harness.sidecar.downstream
            with socket.create_connection((HOST, downstream.port)) as closed:
                closed.sendall(request_bytes("check", target="/api/gone"))  # closed before it is accepted
            later = await harness.client()
            assert (await later.request(target="/api/2")).status == 200  # accepted after the closed one
            assert downstream.open_connections == 2
            with socket.create_connection((HOST, downstream.port)) as closed:
                await wait_until(lambda: downstream.open_connections == 3)
                closed.sendall(
                    request_bytes("check", target="/api/gone")
                )  # closed before its request is read
            await wait_until(lambda: downstream.open_connections == 2)
            assert (await client.request(target="/api/3")).status == 200
            assert [request.target for request in harness.requests] == ["/api/1", "/api/2", "/api/3"]

    run_async(work)


def test_time_that_a_request_was_unread_counts_against_its_deadline() -> None:
    # Guards against responses after the client has given up, when the event loop was blocked.
    async def work() -> None:
        async with running_sidecar(OK) as harness:
            client = await harness.client()
            assert (await client.request()).status == 200
            client.send(request_bytes("check", timeout="1.0"))
            time.sleep(0.4)  # blocks the event loop, which reads the request only afterwards
            assert (await client.read_response()).status == 200
            assert float(harness.requests[1].headers["request-timeout"]) <= 0.61

    run_async(work)


def test_request_over_max_open_requests_is_rejected_at_once() -> None:
    async def work() -> None:
        release = asyncio.Event()

        async def hold(request: ReceivedRequest) -> bytes:
            await release.wait()
            return OK

        async with running_sidecar(hold, bounds={"maxOpen": 2}) as harness:
            first, second = await harness.client(), await harness.client()
            first.send(request_bytes("lodge"))
            second.send(request_bytes("lodge"))
            await wait_until(lambda: harness.sidecar.open_requests == 2)
            assert (await harness.request("lodge")).status == 503
            release.set()
            assert [(await first.read_response()).status, (await second.read_response()).status] == [200, 200]
            assert len(harness.requests) == 2

    run_async(work)


def test_longest_idle_connection_is_evicted_for_a_new_one() -> None:
    # Guards against running out of descriptors: with a limit of 64, few are left for clients.
    async def work() -> None:
        async with running_sidecar(OK, configuration={"limits": {"sockets": 64}}) as harness:
            clients = []
            for _ in range(20):
                client = await harness.client()
                assert (await client.request()).status == 200
                clients.append(client)
            assert await clients[0].reader.read() == b""
            assert (await clients[-1].request()).status == 200
            await wait_until(lambda: harness.sidecar.downstream.open_connections <= 8)

    run_async(work)


def test_clients_get_at_most_a_third_of_the_descriptors() -> None:
    # Guards against running out of descriptors: without any, nothing would be accepted or sent for a second.
    async def work() -> None:
        release = asyncio.Event()

        async def hold(request: ReceivedRequest) -> bytes:
            await release.wait()
            return OK

        async with running_sidecar(hold, configuration={"limits": {"sockets": 180}}) as harness:
            clients = []
            for number in range(60):
                clients.append(await harness.client())
                clients[-1].send(request_bytes("lodge", timeout="10"))
                await wait_until(lambda sent=number + 1: len(harness.requests) == sent)  # type: ignore[misc]
            surplus = [await harness.client() for _ in range(20)]
            for client in surplus:
                # No connection that waits for a response is evicted.
                assert await within_timeout(client.reader.read()) == b""
            assert harness.sidecar.downstream.open_connections == 60
            release.set()
            assert [(await client.read_response()).status for client in clients] == [200] * 60
            assert (await harness.request()).status == 200

    run_async(work)


def _open_descriptors() -> int:
    return sum(1 for _ in Path("/proc/self/fd").iterdir())


def test_burst_of_silent_connections_does_not_use_up_descriptors() -> None:
    # All wait in the listen queue when the event loop runs next, as when many clients reconnect at once.
    async def work() -> None:
        async with running_sidecar(OK, configuration={"limits": {"sockets": 180}}) as harness:
            before = _open_descriptors()
            address = (HOST, harness.sidecar.downstream.port)
            burst = [socket.create_connection(address) for _ in range(300)]
            peak = 0
            while harness.sidecar.downstream.open_connections < 60 or peak == 0:
                peak = max(peak, _open_descriptors() - before - len(burst))
                await asyncio.sleep(0)
            assert peak <= 100
            assert (await harness.request()).status == 200
            for connection in burst:
                connection.close()

    run_async(work)


def test_connection_header_does_not_remove_host_or_ids() -> None:
    # Guards against removing headers that a request needs: it can't be written to a server, and its client
    # would wait until the deadline.
    async def work() -> None:
        async with running_sidecar(OK) as harness:
            response = await harness.request("amend", Connection="host, request-id, idempotency-key, tenant")
            assert response.status == 200
            headers = harness.requests[0].headers
            assert headers["host"] == "origin.svc" and headers["idempotency-key"] == "5c0f"
            assert "request-id" in headers and "tenant" not in headers

    run_async(work)


def test_clients_with_stalled_requests_are_evicted_for_new_ones() -> None:
    # Guards against clients that begin a body and never complete it: each would hold its descriptor forever.
    async def work() -> None:
        async with running_sidecar(OK, configuration={"limits": {"sockets": 64}}) as harness:
            for _ in range(12):
                stalled = await harness.client()
                stalled.send(request_bytes("lodge", body=b"x" * 10)[:-1])
            assert (await harness.request()).status == 200
            await wait_until(lambda: harness.sidecar.downstream.open_connections <= 8)

    run_async(work)


OVERDUE_S = 2.8  # longer than the timeout for a client to send or read


@pytest.mark.parametrize(
    "sent",
    [b"", b"GET /api HT", request_bytes("check")[:-2], request_bytes("lodge", body=b"x" * 10)[:-1]],
    ids=["silent", "half a line", "half a head", "half a body"],
)
def test_client_with_incomplete_request_is_closed_in_time(sent: bytes) -> None:
    async def work() -> None:
        async with running_sidecar(OK) as harness:
            downstream, now = harness.sidecar.downstream, asyncio.get_running_loop().time
            idle = await harness.client()
            assert (await idle.request()).status == 200
            slow = await harness.client()
            await wait_until(lambda: downstream.open_connections == 2)
            slow.send(sent)
            assert (await idle.request()).status == 200  # the bytes sent before are read by now
            downstream.close_overdue(downstream.last_opened_at + OVERDUE_S - 0.6)
            assert downstream.open_connections == 2
            downstream.close_overdue(now() + OVERDUE_S)
            if sent:
                assert (await slow.read_response()).status == 408
            assert await within_timeout(slow.reader.read()) == b""
            downstream.close_overdue(now() + OVERDUE_S)  # aborts it if it lingers after its response
            await wait_until(lambda: downstream.open_connections == 1)
            assert (await idle.request()).status == 200

    run_async(work)


def test_client_with_incomplete_second_request_is_closed_in_time() -> None:
    async def work() -> None:
        async with running_sidecar(OK) as harness:
            client, other = await harness.client(), await harness.client()
            assert (await client.request()).status == 200
            client.send(request_bytes("check")[:-2])
            assert (await other.request()).status == 200
            harness.sidecar.downstream.close_overdue(asyncio.get_running_loop().time() + OVERDUE_S)
            assert (await client.read_response()).status == 408

    run_async(work)


def test_client_that_reads_no_responses_is_closed_in_time() -> None:
    async def work() -> None:
        large = b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + b"x" * 60_000
        async with running_sidecar(large) as harness:
            downstream, now = harness.sidecar.downstream, asyncio.get_running_loop().time
            with socket.socket() as non_reader:
                non_reader.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
                non_reader.connect((HOST, downstream.port))

                def is_forwarded_or_closed(sent: int) -> bool:
                    if sent > 1:
                        downstream.close_overdue(now() + OVERDUE_S)
                    return len(harness.requests) == sent or (sent > 1 and downstream.open_connections == 0)

                for number in range(1, 400):
                    non_reader.sendall(request_bytes("check"))
                    await wait_until(lambda sent=number: is_forwarded_or_closed(sent))  # type: ignore[misc]
                    if downstream.open_connections == 0:
                        break
                assert downstream.open_connections == 0
            await wait_until(lambda: harness.sidecar.open_requests == 0)

    run_async(work)


def test_closing_idle_connections_keeps_one_with_an_unread_request() -> None:
    # Guards against a reset that loses a request at the end of a drain, when a retry finds no listener.
    async def work() -> None:
        async with running_sidecar(OK) as harness:
            client = await harness.client()
            assert (await client.request()).status == 200
            client.send(request_bytes("lodge"))  # in the sidecar's socket; the event loop has not run
            harness.sidecar.downstream.close_idle()
            assert (await client.read_response()).status == 200

    run_async(work)


def test_health_check_is_answered_by_the_sidecar() -> None:
    async def work() -> None:
        async with running_sidecar(OK) as harness:
            client = await harness.client()
            client.send(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (await client.read_response()).status == 200
            assert (await client.request()).status == 200
            assert len(harness.requests) == 1

    run_async(work)
