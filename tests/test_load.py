"""Connections of the load generator: how a close while a request is in flight is handled."""

from __future__ import annotations

import asyncio
import json
import random
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec
import pytest
from loopback import run_async, wait_until, within_timeout
from test_testbed_models import make_run

from testbed import events as log
from testbed.clock import RunClock
from testbed.load.client import ClientRequest, Connection, LoadGenerator
from testbed.load.worker import Plan
from testbed.scenario import Arrival

ARRIVAL = Arrival(0, 0, 0, 0, -1, 7, 1_000)
Act = Callable[[LoadGenerator, Connection, socket.socket], Awaitable[None]]


def run_with_connection(folder: Path, act: Act) -> list[log.Event]:
    """Run a test on a connection of the load generator and the server's socket; return the logged events."""

    async def work() -> None:
        loop = asyncio.get_running_loop()
        with (
            socket.create_server(("127.0.0.1", 0)) as listener,
            log.EventLogWriter(folder / "part.jsonl") as writer,
        ):
            listener.setblocking(False)
            clock = RunClock()
            clock.set_origin(0)
            address = listener.getsockname()
            generator = LoadGenerator(make_run(), 0, address, clock, writer, 1_000_000, random.Random(1))
            client_socket = socket.socket()
            client_socket.setblocking(False)
            await loop.sock_connect(client_socket, address)
            server_socket, _ = await within_timeout(loop.sock_accept(listener))
            connection = Connection(generator, client_socket)
            await loop.create_connection(lambda: connection, sock=client_socket)
            try:
                await act(generator, connection, server_socket)
            finally:
                server_socket.close()
                generator.close()
                connection.close()

    run_async(work)
    return log.load(folder / "part.jsonl")


def make_request(generator: LoadGenerator) -> ClientRequest:
    request = ClientRequest(ARRIVAL, 0)
    request.timeout_at_us = generator.clock.now() + 60_000_000
    generator.unfinished += 1
    return request


def test_request_that_crosses_a_close_is_resent_once(tmp_path: Path) -> None:
    async def act(generator: LoadGenerator, connection: Connection, server_socket: socket.socket) -> None:
        request = make_request(generator)
        server_socket.close()
        connection.send(request)  # the kernel has the end of stream, but the event loop has not seen it yet
        await wait_until(lambda: request.was_resent)

    events = run_with_connection(tmp_path, act)
    assert not any(isinstance(event, log.ResponseReceived) for event in events)


@pytest.mark.parametrize(
    "response", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"], ids=["silent", "half"]
)
def test_close_after_the_request_was_read_fails_the_request(response: bytes, tmp_path: Path) -> None:
    async def act(generator: LoadGenerator, connection: Connection, server_socket: socket.socket) -> None:
        request = make_request(generator)
        connection.send(request)
        server_socket.setblocking(False)
        loop = asyncio.get_running_loop()
        received = b""
        while b"\r\n\r\n" not in received:
            received += await within_timeout(loop.sock_recv(server_socket, 4_096))
        await loop.sock_sendall(server_socket, response)
        server_socket.close()
        await wait_until(lambda: request.is_finished)
        assert not request.was_resent

    responses = [
        event for event in run_with_connection(tmp_path, act) if isinstance(event, log.ResponseReceived)
    ]
    assert [(event.status, event.timed_out) for event in responses] == [(0, False)]


def test_response_of_another_request_has_no_attempt_number(tmp_path: Path) -> None:
    async def act(generator: LoadGenerator, connection: Connection, server_socket: socket.socket) -> None:
        request = make_request(generator)
        connection.send(request)
        body = b"%x %x" % (request.number + 16, 5)
        server_socket.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        await wait_until(lambda: request.is_finished)

    responses = [
        event for event in run_with_connection(tmp_path, act) if isinstance(event, log.ResponseReceived)
    ]
    assert [(event.status, event.attempt) for event in responses] == [(200, -1)]


def test_worker_plan_keeps_its_field_names_in_json() -> None:
    plan = Plan(make_run(), 0, 1, [("127.0.0.1", 80)], "part-load-0.jsonl", 600_000)
    encoded = msgspec.json.encode(plan)
    assert list(json.loads(encoded)) == ["day", "worker", "workers", "addresses", "part", "grace_us"]
    assert msgspec.json.decode(encoded, type=Plan) == plan
