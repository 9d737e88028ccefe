"""Streamed request bodies: buffering, backpressure, and how they end, over loopback sockets."""

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


class _Outlet:
    def __init__(self) -> None:
        self.body, self.is_open, self.is_ended = b"", True, False

    def send_body(self, data: bytes) -> bool:
        self.body += data
        return self.is_open

    def end_body(self) -> None:
        self.is_ended = True


def test_upload_buffers_its_beginning_and_pauses_its_client() -> None:
    told: list[str] = []
    upload = Upload(None, lambda: told.append("hold"), lambda: told.append("go on"))
    upload.feed(b"a" * 60_000)
    assert told == [] and not upload.is_consumed
    upload.feed(b"b" * 60_000)
    assert told == ["hold"]
    outlet = _Outlet()
    upload.attach(outlet)
    assert told == ["hold", "go on"] and upload.is_consumed
    outlet.is_open = False
    upload.feed(b"c")
    upload.end()
    assert told[-1] == "hold"
    assert (len(outlet.body), outlet.body[-1:], outlet.is_ended) == (120_001, b"c", True)


def test_request_is_not_pending_while_its_body_arrives() -> None:
    async def work() -> None:
        taker = Taker()
        server = await taker.start()
        async with running_sidecar(is_listed=False) as harness:
            await list_only(harness, f"{HOST}:{server.sockets[0].getsockname()[1]}")
            sender = await harness.client()
            sender.send(request_bytes("lodge", body=LONG_BODY)[:-1])
            await wait_until(lambda: taker.begun == 1)
            assert harness.sidecar.administration.metrics()["pending"] == 0
            sender.send(LONG_BODY[-1:])
            assert (await sender.read_response()).status == 200
        server.close()

    run_async(work)


class Taker:
    """A server that takes long bodies: what it read, whole or not."""

    def __init__(self, answer: bytes = OK) -> None:
        self.answer, self.bodies, self.begun = answer, list[bytes](), 0
        self.may_read = asyncio.Event()
        self.may_read.set()

    async def start(self) -> asyncio.Server:
        return await asyncio.start_server(self._serve, HOST, 0)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                _, headers = await read_head(reader)
                self.begun += 1
                await self.may_read.wait()
                if "content-length" in headers:
                    body = await reader.readexactly(int(headers["content-length"]))
                else:
                    body = await read_chunked_body(reader)
                self.bodies.append(body)
                writer.write(self.answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def upload_of(body: bytes, form: str) -> bytes:
    if form == "length":
        return request_bytes("lodge", body=body)
    head = request_bytes("lodge", Content_Length="", Transfer_Encoding="chunked", Trailer="t")
    pieces = (body[at : at + 30_000] for at in range(0, len(body), 30_000))
    return head + b"".join(b"%x;e=1\r\n%s\r\n" % (len(each), each) for each in pieces) + b"0\r\nt: 1\r\n\r\n"


@pytest.mark.parametrize("form", ["length", "chunks"])
def test_long_body_is_forwarded_completely_and_connection_is_reused(form: str) -> None:
    async def work() -> None:
        taker = Taker()
        server = await taker.start()
        address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        async with running_sidecar(is_listed=False, has_admin_interface=True) as harness:
            await list_only(harness, address)
            client = await harness.client()
            for _ in range(2):
                client.send(upload_of(LONG_BODY, form))
                assert (await client.read_response()).status == 200
            assert taker.bodies == [LONG_BODY, LONG_BODY]
            figures = await harness.metrics()
            assert figures["downstream_requests"]["lodge"]["completed"] == 2
            assert figures["upstream_requests"] == 2
        server.close()

    run_async(work)


async def list_only(harness: SidecarHarness, address: str) -> None:
    harness.discovery.send_changes(endpoint_entry("s-0", address))
    await wait_until(lambda: harness.sidecar.administration.metrics()["members"] == 1)


def test_server_that_stops_reading_pauses_client() -> None:
    async def work() -> None:
        taker = Taker()
        taker.may_read.clear()
        server = await taker.start()
        address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        body = bytes(24 << 20)
        async with running_sidecar(is_listed=False) as harness:
            await list_only(harness, address)
            client = await harness.client()
            client.send(upload_of(body, "length"))
            sides = harness.sidecar.downstream._connections
            await wait_until(lambda: any(side.receive_progress.paused_since is not None for side in sides))
            harness.sidecar.downstream.close_overdue(asyncio.get_running_loop().time() + 15.0)
            taker.may_read.set()  # the time that it was held back is not the client's
            assert (await client.read_response()).status == 200
            assert taker.bodies == [body]
        server.close()

    run_async(work)


@pytest.mark.parametrize("end", ["silence", "leaving", "broken chunk", "more than one request"])
def test_incomplete_long_body_never_runs(end: str) -> None:
    async def work() -> None:
        taker = Taker()
        server = await taker.start()
        address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        async with running_sidecar(is_listed=False) as harness:
            await list_only(harness, address)
            client = await harness.client()
            head = request_bytes("lodge", Content_Length="", Transfer_Encoding="chunked")
            client.send(head + b"%x\r\n%s\r\n" % (100_000, bytes(100_000)))
            await wait_until(lambda: taker.begun == 1)
            if end == "silence":
                harness.sidecar.downstream.close_overdue(asyncio.get_running_loop().time() + 5.0)
                assert (await client.read_response()).status == 408
            elif end == "leaving":
                client.close()
            elif end == "broken chunk":
                client.send(b"zz\r\n")
                assert (await client.read_response()).status == 400
            else:
                client.send(b"0\r\n\r\n" + request_bytes("lodge"))
                assert (await client.read_response()).status == 400
            await wait_until(lambda: harness.sidecar.open_requests == 0)
            assert taker.bodies == [] or end == "more than one request"
            assert len(taker.bodies) <= 1
        server.close()

    run_async(work)


def test_expect_100_continue_is_answered() -> None:
    async def work() -> None:
        taker = Taker()
        server = await taker.start()
        address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        async with running_sidecar(is_listed=False) as harness:
            await list_only(harness, address)
            client = await harness.client()
            client.send(request_bytes("lodge", Content_Length=str(len(LONG_BODY)), Expect="100-continue"))
            assert (await within_timeout(client.reader.readuntil(b"\r\n\r\n"))).startswith(b"HTTP/1.1 100 ")
            client.send(LONG_BODY)
            assert (await client.read_response()).status == 200 and taker.bodies == [LONG_BODY]
        server.close()

    run_async(work)


def test_long_request_without_servers_is_rejected_before_its_body_arrives() -> None:
    async def work() -> None:
        async with running_sidecar(is_listed=False) as harness:
            client = await harness.client()
            client.send(request_bytes("lodge", Content_Length=str(len(LONG_BODY))) + bytes(70_000))
            answer = await client.read_response()
            assert (answer.status, answer.headers["connection"]) == (503, "close")

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
