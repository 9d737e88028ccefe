"""Ended requests hold no memory: nothing that a peer sent outlives its request."""

from __future__ import annotations

import asyncio
import contextlib
import gc
from collections.abc import Iterator
from pathlib import Path

import pytest
from loopback import (
    ERROR,
    LONG_BODY,
    OK,
    ReceivedRequest,
    Script,
    http_response,
    request_bytes,
    run_async,
    running_sidecar,
    wait_until,
)
from memory_use import peak_memory_mb
from test_program import RunningProgram, running_program

from sidecar.downstream.connection import DownstreamConnection
from sidecar.downstream.request_parsing import IncomingRequest
from sidecar.http import RequestHead, RequestReader, ResponseHead
from sidecar.http.chunked import ChunkedBody
from sidecar.open_requests import OpenRequest
from sidecar.upstream.attempt import Attempt

PROCESS_MEMORY_MB = 64
PROCESS_LIMITS = {"cores": 1.0, "memory_mb": PROCESS_MEMORY_MB, "sockets": 1_024}
CLIENTS = 1_024 // 3
REQUESTS_PER_CLIENT = 12
BODY = bytes(64_000)


async def post_repeatedly(program: RunningProgram) -> None:
    """Send requests on one connection, and on another one once the sidecar has closed it.

    As many clients as the descriptors allow are a crowd: while old connections end, idle ones are closed, and
    new ones may be closed unread.
    """
    client = await program.client()
    answered = 0
    while answered < REQUESTS_PER_CLIENT:
        try:
            response = await client.request("lodge", body=BODY, timeout="4")
        except (ConnectionError, asyncio.IncompleteReadError):
            is_closed = True
        else:
            answered += 1
            is_closed = response.headers.get("connection") == "close"
        if is_closed:
            client.close()
            client = await program.client()
    client.close()


def test_crowd_that_posts_bodies_keeps_the_process_within_its_memory_limit(tmp_path: Path) -> None:
    # Guards against bodies of ended requests that stay in memory until the garbage collector finds them.
    async def work() -> None:
        async with running_program(OK, tmp_path, limits=PROCESS_LIMITS) as program:
            await asyncio.gather(*(post_repeatedly(program) for _ in range(CLIENTS)))
            assert program.process.returncode is None
            assert peak_memory_mb(program.process.pid) < PROCESS_MEMORY_MB

    run_async(work)


TYPES_OF_A_REQUEST = (
    Attempt,
    ChunkedBody,
    DownstreamConnection,
    IncomingRequest,
    OpenRequest,
    RequestHead,
    RequestReader,
    ResponseHead,
)


def objects_of_requests() -> list[str]:
    """Return the types of the objects in memory that belong to a request or to its client's connection."""
    return [type(each).__name__ for each in gc.get_objects() if isinstance(each, TYPES_OF_A_REQUEST)]


@contextlib.contextmanager
def without_garbage_collector() -> Iterator[None]:
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


async def answer_in_chunks(_request: ReceivedRequest) -> bytes:
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nserved\r\n0\r\n\r\n"


async def end_connection(request: ReceivedRequest) -> None:
    request.writer.close()


async def send_no_response(_request: ReceivedRequest) -> None:
    await asyncio.Event().wait()


BODY_REQUEST = request_bytes("lodge", body=BODY)
CHUNKED_HEAD = request_bytes("lodge", Content_Length="", Transfer_Encoding="chunked")


@pytest.mark.parametrize(
    ("script", "request_sent", "status"),
    [
        pytest.param(OK, BODY_REQUEST, 200, id="served"),
        pytest.param(OK, CHUNKED_HEAD + b"1\r\nx\r\n0\r\n\r\n", 200, id="body in chunks"),
        pytest.param(answer_in_chunks, BODY_REQUEST, 200, id="response in chunks"),
        pytest.param(OK, request_bytes("lodge", body=LONG_BODY), 200, id="streamed body"),
        pytest.param(http_response(LONG_BODY), request_bytes("check"), 200, id="streamed response"),
        pytest.param(ERROR, request_bytes("check"), 503, id="retried"),
        pytest.param(end_connection, BODY_REQUEST, 502, id="connection lost"),
        pytest.param(b"nonsense\r\n\r\n", BODY_REQUEST, 502, id="malformed response"),
        pytest.param(send_no_response, request_bytes("lodge", timeout="0.05"), 504, id="timed out"),
        pytest.param(OK, request_bytes("unknown"), 400, id="invalid request"),
        pytest.param(OK, CHUNKED_HEAD + b"nonsense", 400, id="malformed request"),
        pytest.param(send_no_response, BODY_REQUEST, None, id="client left"),
        pytest.param(OK, BODY_REQUEST[:-1], None, id="client left in its body"),
        pytest.param(OK, CHUNKED_HEAD + b"9\r\nx", None, id="client left in its chunks"),
        pytest.param(OK, request_bytes("lodge", body=LONG_BODY)[:-1], None, id="client left in a long body"),
        pytest.param(OK, CHUNKED_HEAD[:-1], None, id="client left in its head"),
    ],
)
def test_ended_request_leaves_nothing_for_the_garbage_collector(
    script: Script | bytes, request_sent: bytes, status: int | None
) -> None:
    # Guards against reference cycles and idle connections that keep a request or its body in memory.
    async def work() -> None:
        async with running_sidecar(script) as harness:
            with without_garbage_collector():
                client = await harness.client()
                client.send(request_sent)
                if status is None:
                    await wait_until(lambda: "RequestReader" in objects_of_requests())
                    await asyncio.sleep(0.05)  # lets the sidecar read what was sent
                else:
                    assert (await client.read_response()).status == status
                client.close()
                await wait_until(lambda: not objects_of_requests())

    run_async(work)
