"""The load's connections: what a close under a request means."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from loopback import run_async, wait_until, within_timeout
from test_testbed_models import make_run

from testbed import events as log
from testbed.clock import RunClock
from testbed.load.client import Application, Ask, Connection
from testbed.scenario import Arrival

ARRIVAL = Arrival(0, 0, 0, 0, -1, 7, 1_000)
Act = Callable[[Application, Connection, socket.socket], Awaitable[None]]


def with_a_connection(folder: Path, act: Act) -> list[log.Event]:
    """Give a connection of the load, and the socket at its other end; then what was written to the log."""

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
            application = Application(make_run(), 0, address, clock, writer, 1_000_000, random.Random(1))
            own = socket.socket()
            own.setblocking(False)
            await loop.sock_connect(own, address)
            other, _ = await within_timeout(loop.sock_accept(listener))
            connection = Connection(application, own)
            await loop.create_connection(lambda: connection, sock=own)
            try:
                await act(application, connection, other)
            finally:
                other.close()
                application.close()
                connection.close()

    run_async(work)
    return log.load(folder / "part.jsonl")


def an_ask(application: Application) -> Ask:
    ask = Ask(ARRIVAL, 0)
    ask.due = application.clock.now() + 60_000_000
    application.owed += 1
    return ask


def test_a_close_that_crosses_a_request_has_it_sent_once_more(tmp_path: Path) -> None:
    async def act(application: Application, connection: Connection, other: socket.socket) -> None:
        ask = an_ask(application)
        other.close()
        connection.ask(ask)  # the end is here already, and not seen yet
        await wait_until(lambda: ask.sent_again)

    written = with_a_connection(tmp_path, act)
    assert not any(isinstance(each, log.ResponseReceived) for each in written)


@pytest.mark.parametrize(
    "begun", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"], ids=["silent", "half"]
)
def test_an_end_after_the_request_was_read_is_no_answer(begun: bytes, tmp_path: Path) -> None:
    async def act(application: Application, connection: Connection, other: socket.socket) -> None:
        ask = an_ask(application)
        connection.ask(ask)
        other.setblocking(False)
        loop = asyncio.get_running_loop()
        got = b""
        while b"\r\n\r\n" not in got:
            got += await within_timeout(loop.sock_recv(other, 4_096))
        await loop.sock_sendall(other, begun)
        other.close()
        await wait_until(lambda: ask.is_over)
        assert not ask.sent_again

    answers = [each for each in with_a_connection(tmp_path, act) if isinstance(each, log.ResponseReceived)]
    assert [(each.status, each.timed_out) for each in answers] == [(0, False)]


def test_an_answer_of_another_request_names_no_attempt(tmp_path: Path) -> None:
    async def act(application: Application, connection: Connection, other: socket.socket) -> None:
        ask = an_ask(application)
        connection.ask(ask)
        body = b"%x %x" % (ask.number + 16, 5)
        other.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        await wait_until(lambda: ask.is_over)

    answers = [each for each in with_a_connection(tmp_path, act) if isinstance(each, log.ResponseReceived)]
    assert [(each.status, each.attempt) for each in answers] == [(200, -1)]
