"""Streamed request bodies over loopback sockets: buffering, backpressure, completion and failure."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from loopback import (
    HOST,
    LONG_BODY,
    OK,
    SidecarHarness,
    endpoint_entry,
    read_chunked_body,
    read_head,
    request_bytes,
    run_async,
    running_sidecar,
    wait_until,
    within_timeout,
)

from sidecar.downstream import flow_control
from sidecar.downstream.body_streaming import Upload


class _Sink:
    def __init__(self) -> None:
        self.body, self.is_open, self.is_ended = b"", True, False

    def send_body(self, data: bytes) -> bool:
        self.body += data
        return self.is_open

    def end_body(self) -> None:
        self.is_ended = True


def test_upload_buffers_its_beginning_and_pauses_reading_from_client() -> None:
    calls: list[str] = []
    upload = Upload(None, lambda: calls.append("pause"), lambda: calls.append("resume"))
    upload.feed(b"a" * 60_000)
    assert calls == [] and not upload.is_consumed
    upload.feed(b"b" * 60_000)
    assert calls == ["pause"]
    sink = _Sink()
    upload.attach(sink)
    assert calls == ["pause", "resume"] and upload.is_consumed
    sink.is_open = False
    upload.feed(b"c")
    upload.end()
    assert calls[-1] == "pause"
    assert (len(sink.body), sink.body[-1:], sink.is_ended) == (120_001, b"c", True)


def test_request_is_not_pending_while_its_body_arrives() -> None:
    async def work() -> None:
        server = UploadServer()
        listener = await server.start()
        async with running_sidecar(is_listed=False) as harness:
            await list_server(harness, f"{HOST}:{listener.sockets[0].getsockname()[1]}")
            sender = await harness.client()
            sender.send(request_bytes("lodge", body=LONG_BODY)[:-1])
            await wait_until(lambda: server.requests == 1)
            assert harness.sidecar.administration.metrics()["pending"] == 0
            sender.send(LONG_BODY[-1:])
            assert (await sender.read_response()).status == 200
        listener.close()

    run_async(work)


class UploadServer:
    """A server that receives long bodies; it keeps those that arrive completely, and counts requests."""

    def __init__(self, response: bytes = OK) -> None:
        self.response, self.bodies, self.requests = response, list[bytes](), 0
        self.may_read = asyncio.Event()
        self.may_read.set()

    async def start(self) -> asyncio.Server:
        return await asyncio.start_server(self._serve, HOST, 0)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                _, headers = await read_head(reader)
                self.requests += 1
                await self.may_read.wait()
                if "content-length" in headers:
                    body = await reader.readexactly(int(headers["content-length"]))
                else:
                    body = await read_chunked_body(reader)
                self.bodies.append(body)
                writer.write(self.response)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def upload_request(body: bytes, framing: str) -> bytes:
    if framing == "length":
        return request_bytes("lodge", body=body)
    head = request_bytes("lodge", Content_Length="", Transfer_Encoding="chunked", Trailer="t")
    pieces = (body[start : start + 30_000] for start in range(0, len(body), 30_000))
    return (
        head + b"".join(b"%x;e=1\r\n%s\r\n" % (len(piece), piece) for piece in pieces) + b"0\r\nt: 1\r\n\r\n"
    )


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_long_body_is_forwarded_completely_and_connection_is_reused(framing: str) -> None:
    async def work() -> None:
        server = UploadServer()
        listener = await server.start()
        address = f"{HOST}:{listener.sockets[0].getsockname()[1]}"
        async with running_sidecar(is_listed=False, has_admin_interface=True) as harness:
            await list_server(harness, address)
            client = await harness.client()
            for _ in range(2):
                client.send(upload_request(LONG_BODY, framing))
                assert (await client.read_response()).status == 200
            assert server.bodies == [LONG_BODY, LONG_BODY]
            metrics = await harness.metrics()
            assert metrics["downstream_requests"]["lodge"]["completed"] == 2
            assert metrics["upstream_requests"] == 2
        listener.close()

    run_async(work)


async def list_server(harness: SidecarHarness, address: str) -> None:
    harness.discovery.send_changes(endpoint_entry("s-0", address))
    await wait_until(lambda: harness.sidecar.administration.metrics()["members"] == 1)


def test_server_that_stops_reading_pauses_client() -> None:
    async def work() -> None:
        server = UploadServer()
        server.may_read.clear()
        listener = await server.start()
        address = f"{HOST}:{listener.sockets[0].getsockname()[1]}"
        body = bytes(24 << 20)
        async with running_sidecar(is_listed=False) as harness:
            await list_server(harness, address)
            client = await harness.client()
            client.send(upload_request(body, "length"))
            connections = harness.sidecar.downstream._connections
            await wait_until(
                lambda: any(
                    connection.receive_progress.paused_since is not None for connection in connections
                )
            )
            harness.sidecar.downstream.close_overdue(asyncio.get_running_loop().time() + 15.0)
            server.may_read.set()  # a pause by the server does not count as the client's time
            assert (await client.read_response()).status == 200
            assert server.bodies == [body]
        listener.close()

    run_async(work)


@pytest.mark.parametrize("failure", ["timeout", "disconnect", "malformed chunk", "pipelined request"])
def test_incomplete_long_body_is_never_executed(failure: str) -> None:
    async def work() -> None:
        server = UploadServer()
        listener = await server.start()
        address = f"{HOST}:{listener.sockets[0].getsockname()[1]}"
        async with running_sidecar(is_listed=False) as harness:
            await list_server(harness, address)
            client = await harness.client()
            head = request_bytes("lodge", Content_Length="", Transfer_Encoding="chunked")
            client.send(head + b"%x\r\n%s\r\n" % (100_000, bytes(100_000)))
            await wait_until(lambda: server.requests == 1)
            if failure == "timeout":
                harness.sidecar.downstream.close_overdue(asyncio.get_running_loop().time() + 5.0)
                assert (await client.read_response()).status == 408
            elif failure == "disconnect":
                client.close()
            elif failure == "malformed chunk":
                client.send(b"zz\r\n")
                assert (await client.read_response()).status == 400
            else:
                client.send(b"0\r\n\r\n" + request_bytes("lodge"))
                assert (await client.read_response()).status == 400
            await wait_until(lambda: harness.sidecar.open_requests == 0)
            assert server.bodies == [] or failure == "pipelined request"
            assert len(server.bodies) <= 1
        listener.close()

    run_async(work)


def test_expect_100_continue_is_answered() -> None:
    async def work() -> None:
        server = UploadServer()
        listener = await server.start()
        address = f"{HOST}:{listener.sockets[0].getsockname()[1]}"
        async with running_sidecar(is_listed=False) as harness:
            await list_server(harness, address)
            client = await harness.client()
            client.send(request_bytes("lodge", Content_Length=str(len(LONG_BODY)), Expect="100-continue"))
            assert (await within_timeout(client.reader.readuntil(b"\r\n\r\n"))).startswith(b"HTTP/1.1 100 ")
            client.send(LONG_BODY)
            assert (await client.read_response()).status == 200 and server.bodies == [LONG_BODY]
        listener.close()

    run_async(work)


def test_long_request_without_servers_is_rejected_before_its_body_is_complete() -> None:
    async def work() -> None:
        async with running_sidecar(is_listed=False) as harness:
            client = await harness.client()
            client.send(request_bytes("lodge", Content_Length=str(len(LONG_BODY))) + bytes(70_000))
            response = await client.read_response()
            assert (response.status, response.headers["connection"]) == (503, "close")

    run_async(work)


@pytest.mark.parametrize(
    ("changes", "status"),
    [
        ({"Request_Class": "unheard-of"}, 400),
        ({"Request_Id": ""}, 400),
        ({"Content_Length": str(flow_control.MAX_BODY_BYTES + 1)}, 413),
    ],
    ids=["unknown class", "no request id", "too long"],
)
def test_invalid_head_of_long_request_reaches_no_server(changes: dict[str, Any], status: int) -> None:
    async def work() -> None:
        async with running_sidecar(OK) as harness:
            client = await harness.client()
            client.send(request_bytes("lodge", **{"Content_Length": str(len(LONG_BODY)), **changes}))
            assert (await client.read_response()).status == status
            assert harness.requests == []

    run_async(work)
