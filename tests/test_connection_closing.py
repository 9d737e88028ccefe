"""How connections of clients end, and what may cross that end."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
from pathlib import Path
from typing import Any

import pytest
from loopback import (
    ERROR,
    HOST,
    OK,
    ReceivedRequest,
    ScriptedServer,
    SidecarHarness,
    request_bytes,
    run_async,
    running_sidecar,
    wait_until,
    within_timeout,
)
from test_program import VALID_CONFIGURATION, running_program, start_program

from sidecar.downstream.connection import DownstreamConnection
from sidecar.downstream.connection_state import TRANSITIONS, ConnectionState


class Raw:
    """A client's bare socket: no event loop reads from it, or ends it, of its own accord."""

    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection((HOST, port))
        self.socket.setblocking(False)
        self._loop = asyncio.get_running_loop()

    def send(self, data: bytes) -> None:
        assert self.socket.send(data) == len(data)

    async def read_all(self) -> bytes:
        """What comes until the other side ends; raise ConnectionResetError if it was cut."""
        whole = b""
        while piece := await within_timeout(self._loop.sock_recv(self.socket, 65_536)):
            whole += piece
        return whole

    def is_reset(self) -> bool:
        return self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0

    def close(self) -> None:
        self.socket.close()


def states(harness: SidecarHarness) -> list[ConnectionState]:
    """The states of all client connections."""
    return [connection.state for connection in harness.sidecar.downstream._connections]


async def a_round_trip(harness: SidecarHarness) -> None:
    """By its end the event loop has seen all that was sent before."""
    _, writer = await asyncio.open_connection(HOST, harness.servers[0].address.rpartition(":")[2])
    writer.close()
    for _ in range(20):
        await asyncio.sleep(0)
    await asyncio.sleep(0.02)


@pytest.mark.parametrize("why", ["asked for", "http 1.0", "drained", "refused", "more beside it"])
def test_bytes_that_cross_the_last_response_do_not_truncate_it(why: str) -> None:
    # Guards against a close over unread bytes: it resets the connection, and the answer goes with it.
    async def work() -> None:
        async def answer(heard: ReceivedRequest) -> bytes:
            if why == "drained":
                harness.sidecar.downstream.drain()
            return OK

        async with running_sidecar(answer) as harness:
            raw = Raw(harness.sidecar.downstream.port)
            asked = request_bytes("lodge")
            if why == "asked for":
                asked = request_bytes("lodge", Connection="close")
            elif why == "http 1.0":
                asked = asked.replace(b"HTTP/1.1", b"HTTP/1.0")
            elif why == "refused":
                asked = request_bytes("lodge", Request_Class="unheard-of")
            elif why == "more beside it":
                asked += request_bytes("lodge")
            raw.send(asked)
            whole = await raw.read_all()
            assert whole.startswith(
                b"HTTP/1.1 4" if why in ("refused", "more beside it") else b"HTTP/1.1 200"
            )
            (connection,) = harness.sidecar.downstream._connections
            assert connection.state is ConnectionState.LINGERING
            before = len(harness.requests)
            for _ in range(3):
                raw.send(request_bytes("lodge"))
                await a_round_trip(harness)
            assert not raw.is_reset() and len(harness.requests) == before
            raw.close()
            await wait_until(lambda: harness.sidecar.downstream.is_empty)

    run_async(work)


@pytest.mark.parametrize("why", ["drain", "evacuation", "at rest too long"])
def test_request_that_crosses_close_of_idle_connection_is_not_forwarded(why: str) -> None:
    # Guards rule 1: what is read after the shutdown and sent on is lost; the client sends it again elsewhere.
    async def work() -> None:
        async with running_sidecar(OK) as harness:
            raw = Raw(harness.sidecar.downstream.port)
            raw.send(request_bytes("lodge"))
            await wait_until(lambda: len(harness.sidecar.downstream._idle_since) == 1)
            if why == "drain":
                harness.sidecar.downstream.drain()
            elif why == "evacuation":
                harness.sidecar.administration.drain_clients()
            else:
                harness.sidecar.downstream.close_overdue(asyncio.get_running_loop().time() + 3_600)
            raw.send(request_bytes("lodge"))  # in that very moment: nothing has run since
            assert (await raw.read_all()).count(b"HTTP/1.1 200") == 1
            raw.send(request_bytes("lodge"))
            await a_round_trip(harness)
            assert not raw.is_reset() and len(harness.requests) == 1
            raw.close()
            await wait_until(lambda: harness.sidecar.downstream.is_empty)

    run_async(work)


def test_client_that_never_hangs_up_is_closed_in_time() -> None:
    async def work() -> None:
        async with running_sidecar(OK) as harness:
            raw = Raw(harness.sidecar.downstream.port)
            raw.send(request_bytes("lodge", Connection="close"))
            assert (await raw.read_all()).startswith(b"HTTP/1.1 200")
            now = asyncio.get_running_loop().time()

            def is_let_go() -> bool:
                nonlocal now
                now += 2.5
                harness.sidecar.downstream.close_overdue(now)
                return harness.sidecar.downstream.is_empty

            await wait_until(is_let_go)
            raw.close()

    run_async(work)


def test_slow_reader_gets_the_complete_last_response() -> None:
    # Guards against a bounded time to hang up that would cut whoever is still reading.
    async def work() -> None:
        body = b"x" * 65_000

        async with running_sidecar(b"HTTP/1.1 200 OK\r\nContent-Length: 65000\r\n\r\n" + body) as harness:
            raw = Raw(harness.sidecar.downstream.port)
            raw.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            raw.send(request_bytes("lodge", Connection="close"))
            await wait_until(
                lambda: (
                    [each.state for each in harness.sidecar.downstream._connections]
                    == [ConnectionState.LINGERING]
                )
            )
            (connection,) = harness.sidecar.downstream._connections
            now, got, steps = asyncio.get_running_loop().time(), b"", 0
            while before := connection._undelivered_bytes():
                while connection._undelivered_bytes() >= before:
                    got += await within_timeout(asyncio.get_running_loop().sock_recv(raw.socket, 2_048))
                if not connection._undelivered_bytes():
                    break  # all is with its machine: nothing can cut it any more
                now += 2.5  # it has taken some, so it may go on
                harness.sidecar.downstream.close_overdue(now)
                assert connection.state is ConnectionState.LINGERING
                steps += 1
            assert steps > 0
            got += await raw.read_all()
            assert got.endswith(body)
            raw.close()

    run_async(work)


def test_room_is_made_by_silent_connection_not_by_one_that_takes_its_response() -> None:
    async def work() -> None:
        body = b"x" * 65_000
        limits = {"limits": {"sockets": 72}}
        async with running_sidecar(
            b"HTTP/1.1 200 OK\r\nContent-Length: 65000\r\n\r\n" + body, configuration=limits
        ) as harness:
            most = harness.sidecar.downstream._max_connections
            slow = socket.socket()
            slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            slow.connect((HOST, harness.sidecar.downstream.port))
            slow.setblocking(False)
            slow.send(request_bytes("lodge", Connection="close"))
            await wait_until(
                lambda: (
                    [each.state for each in harness.sidecar.downstream._connections]
                    == [ConnectionState.LINGERING]
                )
            )
            (connection,) = harness.sidecar.downstream._connections
            assert connection.has_undelivered_bytes
            silent = [Raw(harness.sidecar.downstream.port) for _ in range(most - 1)]
            await wait_until(lambda: harness.sidecar.downstream.open_connections == most)
            harness.sidecar.downstream._awaited_since[connection] -= 10.0  # it waits for longest
            for each in harness.sidecar.downstream._awaited_since:
                harness.sidecar.downstream._awaited_since[each] -= 1.0
            newcomer = await harness.client()
            newcomer.send(request_bytes("lodge"))
            await wait_until(lambda: len(harness.requests) == 2)
            assert connection.state is ConnectionState.LINGERING
            for raw in silent:
                raw.close()
            slow.close()

    run_async(work)


def test_connections_queued_before_listener_closes_are_served() -> None:
    # Guards rule 1 at SIGTERM: the end of a listening socket resets all that waits in its queue.
    async def work() -> None:
        async with running_sidecar(OK) as harness:
            raws = [Raw(harness.sidecar.downstream.port) for _ in range(20)]
            for raw in raws:
                raw.send(request_bytes("lodge"))
            harness.sidecar.downstream.drain()
            harness.sidecar.downstream.stop_listening(accept_queued=True)
            assert not harness.sidecar.downstream.is_empty
            for raw in raws:
                assert (await raw.read_all()).startswith(b"HTTP/1.1 200")
                raw.close()
            assert len(harness.requests) == 20
            await wait_until(lambda: harness.sidecar.downstream.is_empty)

    run_async(work)


def test_idle_and_silent_clients_are_closed_while_another_awaits_its_response() -> None:
    async def work() -> None:
        release = asyncio.Event()

        async def hold(heard: ReceivedRequest) -> bytes:
            if len(harness.requests) > 1:
                await release.wait()
            return OK

        async with running_sidecar(hold) as harness:
            resting, owed = await harness.client(), await harness.client()
            assert (await resting.request("lodge")).status == 200
            owed.send(request_bytes("lodge"))
            await wait_until(lambda: len(harness.requests) == 2)
            silent = await harness.client()
            await wait_until(lambda: harness.sidecar.downstream.open_connections == 3)
            draining = asyncio.get_running_loop().create_task(harness.sidecar.shut_down())
            for each in (resting, silent):
                assert await within_timeout(each.reader.read()) == b""
                each.close()
            assert not draining.done()
            release.set()
            assert (await owed.read_response()).status == 200
            assert await within_timeout(owed.reader.read()) == b""
            owed.close()
            await within_timeout(draining)

    run_async(work)


@pytest.mark.parametrize("ends", [True, False])
def test_partial_body_at_drain_is_accepted_if_it_ends_in_time(ends: bool) -> None:
    async def work() -> None:
        async with running_sidecar(OK) as harness:
            client = await harness.client()
            whole = request_bytes("lodge", body=b"x" * 30_000)
            client.send(whole[:-20_000])
            await wait_until(
                lambda: [each.is_sending_body for each in harness.sidecar.downstream._connections] == [True]
            )
            harness.sidecar.downstream.drain()
            if ends:
                client.send(whole[-20_000:])
                assert (await client.read_response()).status == 200
                assert [len(each.body) for each in harness.requests] == [30_000]
            else:
                harness.sidecar.downstream.close_overdue(asyncio.get_running_loop().time() + 10.0)
                assert (await client.read_response()).status == 408
                assert harness.requests == []
            assert await within_timeout(client.reader.read()) == b""

    run_async(work)


def test_half_close_counts_as_disconnect() -> None:
    # On the wire both are the same end; nothing is sent on for either.
    async def work() -> None:
        async with running_sidecar(None) as harness:
            client = await harness.client()
            client.send(request_bytes("lodge"))
            await wait_until(lambda: len(harness.requests) == 1)
            client.writer.write_eof()
            await wait_until(lambda: harness.sidecar.open_requests == 0)
            await wait_until(lambda: harness.servers[0].closed_connections == [0])

    run_async(work)


def test_disconnect_at_the_moment_of_the_response_harms_nobody() -> None:
    async def work() -> None:
        faults: list[Any] = []
        asyncio.get_running_loop().set_exception_handler(lambda _, what: faults.append(what))

        async def leave_first(heard: ReceivedRequest) -> bytes:
            client.writer.transport.abort()
            return OK

        async with running_sidecar(leave_first) as harness:
            for _ in range(20):
                client = await harness.client()
                client.send(request_bytes("lodge"))
                await wait_until(
                    lambda: harness.sidecar.downstream.is_empty and harness.sidecar.open_requests == 0
                )
            assert len(harness.requests) == 20 and harness.sidecar.unanswered_requests == 0
            assert not [each for each in harness.log if "internal" in each]
        assert not [each for each in faults if "sidecar" in repr(each)]

    run_async(work)


def test_floods_that_disconnect_leave_other_clients_served() -> None:
    async def work() -> None:
        async with running_sidecar(OK, configuration={"limits": {"sockets": 180}}) as harness:
            for _ in range(5):
                floods = [Raw(harness.sidecar.downstream.port) for _ in range(30)]
                for number, raw in enumerate(floods):
                    raw.send((request_bytes("lodge") * 40)[: 3_000 + number])
                legal = await harness.client()
                assert (await legal.request("lodge")).status == 200
                for raw in floods:
                    raw.close()
                legal.close()
            await wait_until(
                lambda: harness.sidecar.downstream.is_empty and harness.sidecar.open_requests == 0
            )

    run_async(work)


@pytest.mark.parametrize("late", [b"HTTP/1.1 20", OK, b"\r\n"])
def test_bytes_on_idle_upstream_connection_are_no_response(late: bytes) -> None:
    async def work() -> None:
        async with running_sidecar(OK) as harness:
            client = await harness.client()
            assert (await client.request("lodge")).status == 200
            harness.requests[0].writer.write(late)
            answer = await client.request("lodge")
            assert (answer.status, answer.body) == (200, b"served")
            await wait_until(lambda: 0 in harness.servers[0].closed_connections)

    run_async(work)


@pytest.mark.parametrize(
    ("cut", "status"),
    [
        (b"HTTP/1.1 200 OK\r\n\r\nser", 502),  # of unknown length: a reset is no end
        (b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nser", 502),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nser\r\n", 502),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nserX", 502),
    ],
)
def test_response_that_is_reset_is_not_forwarded(cut: bytes, status: int) -> None:
    async def work() -> None:
        async def reset(heard: ReceivedRequest) -> None:
            heard.writer.write(cut)
            await asyncio.sleep(0.01)  # it has left; then unread or not, it is cut
            heard.writer.transport.abort()

        async with running_sidecar(reset) as harness:
            sock = None

            async def cut_off(heard: ReceivedRequest) -> None:
                nonlocal sock
                sock = heard.writer.get_extra_info("socket")
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, (1).to_bytes(4, "little") + (0).to_bytes(4, "little")
                )
                await reset(heard)

            harness.servers[0].script = cut_off
            assert (await harness.request("lodge")).status == status
            assert len(harness.requests) == 1

    run_async(work)


def test_connection_states_all_lead_to_closed() -> None:
    open_states = set(ConnectionState) - {ConnectionState.CLOSED}
    assert set(TRANSITIONS) == set(ConnectionState)
    assert TRANSITIONS[ConnectionState.CLOSED] == set()
    assert all(ConnectionState.CLOSED in TRANSITIONS[state] for state in open_states)
    # Nothing is read as a request after our side has ended.
    assert TRANSITIONS[ConnectionState.LINGERING] == {ConnectionState.CLOSED}
    side = DownstreamConnection(None)  # type: ignore[arg-type]
    side._enter(ConnectionState.LINGERING)
    with pytest.raises(AssertionError):
        side._enter(ConnectionState.READING)


# The program, by signals


def test_second_sigterm_and_sighup_during_shutdown_change_nothing(tmp_path: Path) -> None:
    async def work() -> None:
        release = asyncio.Event()

        async def hold(heard: ReceivedRequest) -> bytes:
            await release.wait()
            return OK

        async with running_program(hold, tmp_path) as running:
            taken = await running.client()
            taken.send(request_bytes("lodge"))
            await wait_until(lambda: len(running.server.requests) == 1)
            assert running.process.stderr is not None
            running.process.send_signal(signal.SIGTERM)
            assert await within_timeout(running.process.stderr.readline()) == b"shutdown_started: draining\n"
            running.process.send_signal(signal.SIGTERM)
            running.process.send_signal(signal.SIGHUP)
            assert (await within_timeout(running.process.stderr.readline())).startswith(
                b"configuration_reloaded: "
            )
            release.set()
            assert (await taken.read_response()).status == 200
            assert await within_timeout(taken.reader.read()) == b""
            taken.close()
            assert await within_timeout(running.process.wait()) == 0

    run_async(work)


def test_sigterm_before_ready_exits_with_0(tmp_path: Path) -> None:
    async def work() -> None:
        agent = await ScriptedServer(None).start()  # pushes lists, and is silent: the start waits for it
        path = tmp_path / "config.json"
        settings = {**VALID_CONFIGURATION["settings"], "discovery": "pushed"}
        path.write_text(json.dumps({**VALID_CONFIGURATION, "discovery": agent.address, "settings": settings}))
        process = await start_program(path)
        await wait_until(lambda: len(agent.requests) == 1)
        process.send_signal(signal.SIGTERM)
        assert await within_timeout(process.wait()) == 0
        agent.stop()

    run_async(work)


def test_last_response_reaches_client_that_goes_on_sending(tmp_path: Path) -> None:
    # Servers hang just at SIGTERM, and the client has sent more than is read.
    async def work() -> None:
        async def silent(heard: ReceivedRequest) -> None:
            return None

        async with running_program(silent, tmp_path) as running:
            taken = await running.client()
            taken.send(request_bytes("lodge", timeout="30") + b"x" * 100_000)
            running.process.send_signal(signal.SIGTERM)
            first = await within_timeout(taken.reader.readline())
            assert first.split()[1] in (b"400", b"502", b"503", b"504")
            assert await within_timeout(running.process.wait()) == 0

    run_async(work)


def test_server_error_and_drain_at_once_are_one_response() -> None:
    async def work() -> None:
        async def fail(heard: ReceivedRequest) -> bytes:
            harness.sidecar.downstream.drain()
            return ERROR

        async with running_sidecar(fail) as harness:
            raw = Raw(harness.sidecar.downstream.port)
            raw.send(request_bytes("lodge"))
            assert (await raw.read_all()).count(b"HTTP/1.1 ") == 1
            raw.close()

    run_async(work)
