"""Requests of clients over loopback sockets: forwarding, rejection, timeouts and connection limits."""

from __future__ import annotations

import asyncio
import socket
import time
from pathlib import Path

import pytest
from loopback import HOST, OK, Heard, play, request, soon, stage, until

from sidecar.downstream import connection


@pytest.mark.parametrize(
    ("kind", "body"), [("check", b""), ("amend", b'{"a":1}'), ("lodge", b"x" * 65_536)], ids=str
)
def test_request_is_forwarded_unchanged_and_response_returned(kind: str, body: bytes) -> None:
    async def work() -> None:
        async with stage(OK) as scene:
            response = await scene.ask(kind, body=body, timeout="1.5", Request_Id="9b1f03aa5c7e2d41")
            assert (response.status, response.body) == (200, b"served")
            (heard,) = scene.heard
            assert heard.method == ("GET" if kind == "check" else "POST")
            assert heard.target == "/api/7f3a?x=1"
            assert heard.body == body
            assert heard.headers["request-id"] == "9b1f03aa5c7e2d41"
            assert heard.headers.get("idempotency-key") == ("5c0f" if kind == "amend" else None)
            assert 0.0 < float(heard.headers["request-timeout"]) <= 1.5

    play(work)


@pytest.mark.parametrize(
    "raw",
    [
        b"nonsense\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: x\r\nbroken line\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: -4\r\n\r\n",
        b"GET / HTTP/1.1\r\n\r\n",
        request(Request_Class=""),
        request(Request_Class="unheard-of"),
        request(Request_Id=""),
        request(Request_Id="two words"),
        request(Request_Id="a\r\nRequest-Id: b"),
        request(Request_Timeout=""),
        request(timeout="soon"),
        request(timeout="-1"),
        request(timeout="0"),
        request(timeout="nan"),
        request(timeout="1e999"),
        request(Work_Hint="much"),
        request("amend", Idempotency_Key=""),
        request("lodge", Idempotency_Key="5c0f"),
        request("lodge").replace(b"POST", b"PUT", 1),
        request("check").replace(b"GET", b"HEAD", 1),
        request("lodge").replace(b"POST", b"GET", 1),
        request(target="http://elsewhere/api"),
        request(Host="").replace(b"HTTP/1.1", b"HTTP/1.0"),
    ],
)
def test_invalid_request_gets_400_and_reaches_no_server(raw: bytes) -> None:
    async def work() -> None:
        async with stage(OK) as scene:
            client = await scene.client()
            client.send(raw)
            assert (await client.answer()).status == 400
            assert scene.heard == []
            assert (await scene.ask()).status == 200  # other requests are still served

    play(work)


@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_body_over_the_limit_gets_413(framing: str, monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a reset that loses the response while the client is still sending.
    monkeypatch.setattr(connection, "MAX_BODY_BYTES", 150_000)

    async def work() -> None:
        async with stage(OK) as scene:
            client = await scene.client()
            body = b"x" * 200_000
            if framing == "length":
                client.send(request("lodge", body=body))
            else:
                head = request("lodge", Content_Length="", Transfer_Encoding="chunked")
                client.send(head + b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body))
            assert (await client.answer()).status == 413
            assert framing == "chunked" or scene.heard == []  # a chunked body is forwarded until the limit
            await until(lambda: scene.sidecar.open_requests == 0)

    play(work)


@pytest.mark.parametrize("framing", ["chunked with a length", "chunked in HTTP/1.0"])
def test_request_smuggled_by_ambiguous_framing_reaches_no_server(framing: str) -> None:
    # Guards against request smuggling: by its chunks, the body ends before the inner request; by its length,
    # after it.
    async def work() -> None:
        async with stage(OK) as scene:
            client = await scene.client()
            body = b"0\r\n\r\n" + request("check")
            length = str(len(body)) if framing == "chunked with a length" else ""
            raw = request("lodge", Content_Length=length, Transfer_Encoding="chunked") + body
            client.send(raw if length else raw.replace(b"HTTP/1.1", b"HTTP/1.0", 1))
            assert (await client.answer()).status == 400
            assert await soon(client.reader.read()) == b""  # closed, so nothing more is read
            assert scene.heard == []

    play(work)


def test_pipelined_request_is_rejected() -> None:
    # Guards against bodies that are longer than their head says; clients send one request at a time.
    async def work() -> None:
        async with stage(OK) as scene:
            client = await scene.client()
            client.send(request(target="/api/1") + request(target="/api/2"))
            assert (await client.answer()).status == 400
            assert await soon(client.reader.read()) == b""
            assert scene.heard == []

    play(work)


def test_bytes_received_while_a_request_is_pending_are_not_read_as_a_request() -> None:
    async def work() -> None:
        release = asyncio.Event()

        async def hold(heard: Heard) -> bytes:
            await release.wait()
            return OK

        async with stage(hold) as scene:
            client, other = await scene.client(), await scene.client()
            client.send(request(target="/api/1"))
            await until(lambda: len(scene.heard) == 1)
            client.send(request(target="/api/2"))
            other.send(request(target="/api/3"))  # read after the second request of the first client
            await until(lambda: len(scene.heard) == 2)
            release.set()
            response = await client.answer()
            assert (response.status, response.headers["connection"]) == (200, "close")
            assert await soon(client.reader.read()) == b""
            assert (await other.answer()).status == 200
            assert [heard.target for heard in scene.heard] == ["/api/1", "/api/3"]

    play(work)


def test_nothing_is_read_after_a_rejected_request() -> None:
    async def work() -> None:
        async with stage(OK) as scene:
            client = await scene.client()
            assert (await client.ask()).status == 200
            client.send(request(Request_Class="unheard-of"))
            assert (await client.answer()).status == 400
            client.send(request())
            assert await soon(client.reader.read()) == b""
            assert len(scene.heard) == 1

    play(work)


def test_disconnect_cancels_the_attempt_and_removes_the_request() -> None:
    async def work() -> None:
        async with stage(None) as scene:
            client = await scene.client()
            client.send(request("lodge"))
            await until(lambda: len(scene.heard) == 1)
            client.close()
            await until(lambda: scene.servers[0].closed == [0])
            await until(lambda: scene.sidecar.open_requests == 0)

    play(work)


def test_request_of_disconnected_client_is_not_forwarded() -> None:
    # Guards against congestion collapse: an overloaded sidecar would send responses that nobody reads.
    async def work() -> None:
        async with stage(OK) as scene:
            client = await scene.client()
            assert (await client.ask(target="/api/1")).status == 200  # leaves a connection to reuse
            downstream = scene.sidecar.downstream
            with socket.create_connection((HOST, downstream.port)) as closed:
                closed.sendall(request("check", target="/api/gone"))  # closed before it is accepted
            later = await scene.client()
            assert (await later.ask(target="/api/2")).status == 200  # accepted after the closed one
            assert downstream.open_connections == 2
            with socket.create_connection((HOST, downstream.port)) as closed:
                await until(lambda: downstream.open_connections == 3)
                closed.sendall(request("check", target="/api/gone"))  # closed before its request is read
            await until(lambda: downstream.open_connections == 2)
            assert (await client.ask(target="/api/3")).status == 200
            assert [heard.target for heard in scene.heard] == ["/api/1", "/api/2", "/api/3"]

    play(work)


def test_time_that_a_request_was_unread_counts_against_its_deadline() -> None:
    # Guards against responses after the client has given up, when the event loop was blocked.
    async def work() -> None:
        async with stage(OK) as scene:
            client = await scene.client()
            assert (await client.ask()).status == 200
            client.send(request("check", timeout="1.0"))
            time.sleep(0.4)  # blocks the event loop, which reads the request only afterwards
            assert (await client.answer()).status == 200
            assert float(scene.heard[1].headers["request-timeout"]) <= 0.61

    play(work)


def test_request_over_max_open_requests_is_rejected_at_once() -> None:
    async def work() -> None:
        release = asyncio.Event()

        async def hold(heard: Heard) -> bytes:
            await release.wait()
            return OK

        async with stage(hold, bounds={"maxOpen": 2}) as scene:
            first, second = await scene.client(), await scene.client()
            first.send(request("lodge"))
            second.send(request("lodge"))
            await until(lambda: scene.sidecar.open_requests == 2)
            assert (await scene.ask("lodge")).status == 503
            release.set()
            assert [(await first.answer()).status, (await second.answer()).status] == [200, 200]
            assert len(scene.heard) == 2

    play(work)


def test_longest_idle_connection_is_evicted_for_a_new_one() -> None:
    # Guards against running out of descriptors: with a limit of 64, few are left for clients.
    async def work() -> None:
        async with stage(OK, given={"limits": {"sockets": 64}}) as scene:
            clients = []
            for _ in range(20):
                client = await scene.client()
                assert (await client.ask()).status == 200
                clients.append(client)
            assert await clients[0].reader.read() == b""
            assert (await clients[-1].ask()).status == 200
            await until(lambda: scene.sidecar.downstream.open_connections <= 8)

    play(work)


def test_clients_get_at_most_a_third_of_the_descriptors() -> None:
    # Guards against running out of descriptors: without any, nothing would be accepted or sent for a second.
    async def work() -> None:
        release = asyncio.Event()

        async def hold(heard: Heard) -> bytes:
            await release.wait()
            return OK

        async with stage(hold, given={"limits": {"sockets": 180}}) as scene:
            clients = []
            for number in range(60):
                clients.append(await scene.client())
                clients[-1].send(request("lodge", timeout="10"))
                await until(lambda sent=number + 1: len(scene.heard) == sent)  # type: ignore[misc]
            surplus = [await scene.client() for _ in range(20)]
            for client in surplus:
                # No connection that waits for a response is evicted.
                assert await soon(client.reader.read()) == b""
            assert scene.sidecar.downstream.open_connections == 60
            release.set()
            assert [(await client.answer()).status for client in clients] == [200] * 60
            assert (await scene.ask()).status == 200

    play(work)


def _open_descriptors() -> int:
    return sum(1 for _ in Path("/proc/self/fd").iterdir())


def test_burst_of_silent_connections_does_not_use_up_descriptors() -> None:
    # All wait in the listen queue when the event loop runs next, as when many clients reconnect at once.
    async def work() -> None:
        async with stage(OK, given={"limits": {"sockets": 180}}) as scene:
            before = _open_descriptors()
            address = (HOST, scene.sidecar.downstream.port)
            burst = [socket.create_connection(address) for _ in range(300)]
            peak = 0
            while scene.sidecar.downstream.open_connections < 60 or peak == 0:
                peak = max(peak, _open_descriptors() - before - len(burst))
                await asyncio.sleep(0)
            assert peak <= 100
            assert (await scene.ask()).status == 200
            for connection in burst:
                connection.close()

    play(work)


def test_connection_header_does_not_remove_host_or_ids() -> None:
    # Guards against removing headers that a request needs: it can't be written to a server, and its client
    # would wait until the deadline.
    async def work() -> None:
        async with stage(OK) as scene:
            response = await scene.ask("amend", Connection="host, request-id, idempotency-key, tenant")
            assert response.status == 200
            headers = scene.heard[0].headers
            assert headers["host"] == "origin.svc" and headers["idempotency-key"] == "5c0f"
            assert "request-id" in headers and "tenant" not in headers

    play(work)


def test_clients_with_stalled_requests_are_evicted_for_new_ones() -> None:
    # Guards against clients that begin a body and never complete it: each would hold its descriptor forever.
    async def work() -> None:
        async with stage(OK, given={"limits": {"sockets": 64}}) as scene:
            for _ in range(12):
                stalled = await scene.client()
                stalled.send(request("lodge", body=b"x" * 10)[:-1])
            assert (await scene.ask()).status == 200
            await until(lambda: scene.sidecar.downstream.open_connections <= 8)

    play(work)


OVERDUE_S = 2.8  # longer than the timeout for a client to send or read


@pytest.mark.parametrize(
    "sent",
    [b"", b"GET /api HT", request("check")[:-2], request("lodge", body=b"x" * 10)[:-1]],
    ids=["silent", "half a line", "half a head", "half a body"],
)
def test_client_with_incomplete_request_is_closed_in_time(sent: bytes) -> None:
    async def work() -> None:
        async with stage(OK) as scene:
            downstream, now = scene.sidecar.downstream, asyncio.get_running_loop().time
            idle = await scene.client()
            assert (await idle.ask()).status == 200
            slow = await scene.client()
            await until(lambda: downstream.open_connections == 2)
            slow.send(sent)
            assert (await idle.ask()).status == 200  # the bytes sent before are read by now
            downstream.close_overdue(downstream.last_opened_at + OVERDUE_S - 0.6)
            assert downstream.open_connections == 2
            downstream.close_overdue(now() + OVERDUE_S)
            if sent:
                assert (await slow.answer()).status == 408
            assert await soon(slow.reader.read()) == b""
            downstream.close_overdue(now() + OVERDUE_S)  # aborts it if it lingers after its response
            await until(lambda: downstream.open_connections == 1)
            assert (await idle.ask()).status == 200

    play(work)


def test_client_with_incomplete_second_request_is_closed_in_time() -> None:
    async def work() -> None:
        async with stage(OK) as scene:
            client, other = await scene.client(), await scene.client()
            assert (await client.ask()).status == 200
            client.send(request("check")[:-2])
            assert (await other.ask()).status == 200
            scene.sidecar.downstream.close_overdue(asyncio.get_running_loop().time() + OVERDUE_S)
            assert (await client.answer()).status == 408

    play(work)


def test_client_that_reads_no_responses_is_closed_in_time() -> None:
    async def work() -> None:
        large = b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + b"x" * 60_000
        async with stage(large) as scene:
            downstream, now = scene.sidecar.downstream, asyncio.get_running_loop().time
            with socket.socket() as non_reader:
                non_reader.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
                non_reader.connect((HOST, downstream.port))

                def is_forwarded_or_closed(sent: int) -> bool:
                    if sent > 1:
                        downstream.close_overdue(now() + OVERDUE_S)
                    return len(scene.heard) == sent or (sent > 1 and downstream.open_connections == 0)

                for number in range(1, 400):
                    non_reader.sendall(request("check"))
                    await until(lambda sent=number: is_forwarded_or_closed(sent))  # type: ignore[misc]
                    if downstream.open_connections == 0:
                        break
                assert downstream.open_connections == 0
            await until(lambda: scene.sidecar.open_requests == 0)

    play(work)


def test_closing_idle_connections_keeps_one_with_an_unread_request() -> None:
    # Guards against a reset that loses a request at the end of a drain, when a retry finds no listener.
    async def work() -> None:
        async with stage(OK) as scene:
            client = await scene.client()
            assert (await client.ask()).status == 200
            client.send(request("lodge"))  # in the sidecar's socket; the event loop has not run
            scene.sidecar.downstream.close_idle()
            assert (await client.answer()).status == 200

    play(work)


def test_health_check_is_answered_by_the_sidecar() -> None:
    async def work() -> None:
        async with stage(OK) as scene:
            client = await scene.client()
            client.send(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (await client.answer()).status == 200
            assert (await client.ask()).status == 200
            assert len(scene.heard) == 1

    play(work)
