"""How connections of clients end, and what may cross that end."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
from pathlib import Path
from typing import Any

import pytest
from loopback import ERROR, HOST, OK, Heard, ScriptedServer, Stage, play, request, soon, stage, until
from test_program import GOOD, program, started

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
        while piece := await soon(self._loop.sock_recv(self.socket, 65_536)):
            whole += piece
        return whole

    def is_reset(self) -> bool:
        return self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0

    def close(self) -> None:
        self.socket.close()


def states(scene: Stage) -> list[ConnectionState]:
    """The states of all client connections."""
    return [connection.state for connection in scene.sidecar.downstream._connections]


async def a_round_trip(scene: Stage) -> None:
    """By its end the event loop has seen all that was sent before."""
    _, writer = await asyncio.open_connection(HOST, scene.servers[0].address.rpartition(":")[2])
    writer.close()
    for _ in range(20):
        await asyncio.sleep(0)
    await asyncio.sleep(0.02)


@pytest.mark.parametrize("why", ["asked for", "http 1.0", "drained", "refused", "more beside it"])
def test_bytes_that_cross_the_last_response_do_not_truncate_it(why: str) -> None:
    # Guards against a close over unread bytes: it resets the connection, and the answer goes with it.
    async def work() -> None:
        async def answer(heard: Heard) -> bytes:
            if why == "drained":
                scene.sidecar.downstream.drain()
            return OK

        async with stage(answer) as scene:
            raw = Raw(scene.sidecar.downstream.port)
            asked = request("lodge")
            if why == "asked for":
                asked = request("lodge", Connection="close")
            elif why == "http 1.0":
                asked = asked.replace(b"HTTP/1.1", b"HTTP/1.0")
            elif why == "refused":
                asked = request("lodge", Request_Class="unheard-of")
            elif why == "more beside it":
                asked += request("lodge")
            raw.send(asked)
            whole = await raw.read_all()
            assert whole.startswith(
                b"HTTP/1.1 4" if why in ("refused", "more beside it") else b"HTTP/1.1 200"
            )
            (connection,) = scene.sidecar.downstream._connections
            assert connection.state is ConnectionState.LINGERING
            before = len(scene.heard)
            for _ in range(3):
                raw.send(request("lodge"))
                await a_round_trip(scene)
            assert not raw.is_reset() and len(scene.heard) == before
            raw.close()
            await until(lambda: scene.sidecar.downstream.is_empty)

    play(work)


@pytest.mark.parametrize("why", ["drain", "evacuation", "at rest too long"])
def test_request_that_crosses_close_of_idle_connection_is_not_forwarded(why: str) -> None:
    # Guards rule 1: what is read after the shutdown and sent on is lost; the client sends it again elsewhere.
    async def work() -> None:
        async with stage(OK) as scene:
            raw = Raw(scene.sidecar.downstream.port)
            raw.send(request("lodge"))
            await until(lambda: len(scene.sidecar.downstream._idle_since) == 1)
            if why == "drain":
                scene.sidecar.downstream.drain()
            elif why == "evacuation":
                scene.sidecar.administration.drain_clients()
            else:
                scene.sidecar.downstream.close_overdue(asyncio.get_running_loop().time() + 3_600)
            raw.send(request("lodge"))  # in that very moment: nothing has run since
            assert (await raw.read_all()).count(b"HTTP/1.1 200") == 1
            raw.send(request("lodge"))
            await a_round_trip(scene)
            assert not raw.is_reset() and len(scene.heard) == 1
            raw.close()
            await until(lambda: scene.sidecar.downstream.is_empty)

    play(work)


def test_client_that_never_hangs_up_is_closed_in_time() -> None:
    async def work() -> None:
        async with stage(OK) as scene:
            raw = Raw(scene.sidecar.downstream.port)
            raw.send(request("lodge", Connection="close"))
            assert (await raw.read_all()).startswith(b"HTTP/1.1 200")
            now = asyncio.get_running_loop().time()

            def is_let_go() -> bool:
                nonlocal now
                now += 2.5
                scene.sidecar.downstream.close_overdue(now)
                return scene.sidecar.downstream.is_empty

            await until(is_let_go)
            raw.close()

    play(work)


def test_slow_reader_gets_the_complete_last_response() -> None:
    # Guards against a bounded time to hang up that would cut whoever is still reading.
    async def work() -> None:
        body = b"x" * 65_000

        async with stage(b"HTTP/1.1 200 OK\r\nContent-Length: 65000\r\n\r\n" + body) as scene:
            raw = Raw(scene.sidecar.downstream.port)
            raw.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            raw.send(request("lodge", Connection="close"))
            await until(
                lambda: (
                    [each.state for each in scene.sidecar.downstream._connections]
                    == [ConnectionState.LINGERING]
                )
            )
            (connection,) = scene.sidecar.downstream._connections
            now, got, steps = asyncio.get_running_loop().time(), b"", 0
            while before := connection._undelivered_bytes():
                while connection._undelivered_bytes() >= before:
                    got += await soon(asyncio.get_running_loop().sock_recv(raw.socket, 2_048))
                if not connection._undelivered_bytes():
                    break  # all is with its machine: nothing can cut it any more
                now += 2.5  # it has taken some, so it may go on
                scene.sidecar.downstream.close_overdue(now)
                assert connection.state is ConnectionState.LINGERING
                steps += 1
            assert steps > 0
            got += await raw.read_all()
            assert got.endswith(body)
            raw.close()

    play(work)


def test_room_is_made_by_silent_connection_not_by_one_that_takes_its_response() -> None:
    async def work() -> None:
        body = b"x" * 65_000
        limits = {"limits": {"sockets": 72}}
        async with stage(b"HTTP/1.1 200 OK\r\nContent-Length: 65000\r\n\r\n" + body, given=limits) as scene:
            most = scene.sidecar.downstream._max_connections
            slow = socket.socket()
            slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            slow.connect((HOST, scene.sidecar.downstream.port))
            slow.setblocking(False)
            slow.send(request("lodge", Connection="close"))
            await until(
                lambda: (
                    [each.state for each in scene.sidecar.downstream._connections]
                    == [ConnectionState.LINGERING]
                )
            )
            (connection,) = scene.sidecar.downstream._connections
            assert connection.has_undelivered_bytes
            silent = [Raw(scene.sidecar.downstream.port) for _ in range(most - 1)]
            await until(lambda: scene.sidecar.downstream.open_connections == most)
            scene.sidecar.downstream._awaited_since[connection] -= 10.0  # it waits for longest
            for each in scene.sidecar.downstream._awaited_since:
                scene.sidecar.downstream._awaited_since[each] -= 1.0
            newcomer = await scene.client()
            newcomer.send(request("lodge"))
            await until(lambda: len(scene.heard) == 2)
            assert connection.state is ConnectionState.LINGERING
            for raw in silent:
                raw.close()
            slow.close()

    play(work)


def test_connections_queued_before_listener_closes_are_served() -> None:
    # Guards rule 1 at SIGTERM: the end of a listening socket resets all that waits in its queue.
    async def work() -> None:
        async with stage(OK) as scene:
            raws = [Raw(scene.sidecar.downstream.port) for _ in range(20)]
            for raw in raws:
                raw.send(request("lodge"))
            scene.sidecar.downstream.drain()
            scene.sidecar.downstream.stop_listening(accept_queued=True)
            assert not scene.sidecar.downstream.is_empty
            for raw in raws:
                assert (await raw.read_all()).startswith(b"HTTP/1.1 200")
                raw.close()
            assert len(scene.heard) == 20
            await until(lambda: scene.sidecar.downstream.is_empty)

    play(work)


def test_idle_and_silent_clients_are_closed_while_another_awaits_its_response() -> None:
    async def work() -> None:
        release = asyncio.Event()

        async def hold(heard: Heard) -> bytes:
            if len(scene.heard) > 1:
                await release.wait()
            return OK

        async with stage(hold) as scene:
            resting, owed = await scene.client(), await scene.client()
            assert (await resting.ask("lodge")).status == 200
            owed.send(request("lodge"))
            await until(lambda: len(scene.heard) == 2)
            silent = await scene.client()
            await until(lambda: scene.sidecar.downstream.open_connections == 3)
            draining = asyncio.get_running_loop().create_task(scene.sidecar.shut_down())
            for each in (resting, silent):
                assert await soon(each.reader.read()) == b""
                each.close()
            assert not draining.done()
            release.set()
            assert (await owed.answer()).status == 200
            assert await soon(owed.reader.read()) == b""
            owed.close()
            await soon(draining)

    play(work)


@pytest.mark.parametrize("ends", [True, False])
def test_partial_body_at_drain_is_accepted_if_it_ends_in_time(ends: bool) -> None:
    async def work() -> None:
        async with stage(OK) as scene:
            client = await scene.client()
            whole = request("lodge", body=b"x" * 30_000)
            client.send(whole[:-20_000])
            await until(
                lambda: [each.is_sending_body for each in scene.sidecar.downstream._connections] == [True]
            )
            scene.sidecar.downstream.drain()
            if ends:
                client.send(whole[-20_000:])
                assert (await client.answer()).status == 200
                assert [len(each.body) for each in scene.heard] == [30_000]
            else:
                scene.sidecar.downstream.close_overdue(asyncio.get_running_loop().time() + 10.0)
                assert (await client.answer()).status == 408
                assert scene.heard == []
            assert await soon(client.reader.read()) == b""

    play(work)


def test_half_close_counts_as_disconnect() -> None:
    # On the wire both are the same end; nothing is sent on for either.
    async def work() -> None:
        async with stage(None) as scene:
            client = await scene.client()
            client.send(request("lodge"))
            await until(lambda: len(scene.heard) == 1)
            client.writer.write_eof()
            await until(lambda: scene.sidecar.open_requests == 0)
            await until(lambda: scene.servers[0].closed == [0])

    play(work)


def test_disconnect_at_the_moment_of_the_response_harms_nobody() -> None:
    async def work() -> None:
        faults: list[Any] = []
        asyncio.get_running_loop().set_exception_handler(lambda _, what: faults.append(what))

        async def leave_first(heard: Heard) -> bytes:
            client.writer.transport.abort()
            return OK

        async with stage(leave_first) as scene:
            for _ in range(20):
                client = await scene.client()
                client.send(request("lodge"))
                await until(lambda: scene.sidecar.downstream.is_empty and scene.sidecar.open_requests == 0)
            assert len(scene.heard) == 20 and scene.sidecar.unanswered_requests == 0
            assert not [each for each in scene.log if "internal" in each]
        assert not [each for each in faults if "sidecar" in repr(each)]

    play(work)


def test_floods_that_disconnect_leave_other_clients_served() -> None:
    async def work() -> None:
        async with stage(OK, given={"limits": {"sockets": 180}}) as scene:
            for _ in range(5):
                floods = [Raw(scene.sidecar.downstream.port) for _ in range(30)]
                for number, raw in enumerate(floods):
                    raw.send((request("lodge") * 40)[: 3_000 + number])
                legal = await scene.client()
                assert (await legal.ask("lodge")).status == 200
                for raw in floods:
                    raw.close()
                legal.close()
            await until(lambda: scene.sidecar.downstream.is_empty and scene.sidecar.open_requests == 0)

    play(work)


@pytest.mark.parametrize("late", [b"HTTP/1.1 20", OK, b"\r\n"])
def test_bytes_on_idle_upstream_connection_are_no_response(late: bytes) -> None:
    async def work() -> None:
        async with stage(OK) as scene:
            client = await scene.client()
            assert (await client.ask("lodge")).status == 200
            scene.heard[0].writer.write(late)
            answer = await client.ask("lodge")
            assert (answer.status, answer.body) == (200, b"served")
            await until(lambda: 0 in scene.servers[0].closed)

    play(work)


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
        async def reset(heard: Heard) -> None:
            heard.writer.write(cut)
            await asyncio.sleep(0.01)  # it has left; then unread or not, it is cut
            heard.writer.transport.abort()

        async with stage(reset) as scene:
            sock = None

            async def cut_off(heard: Heard) -> None:
                nonlocal sock
                sock = heard.writer.get_extra_info("socket")
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, (1).to_bytes(4, "little") + (0).to_bytes(4, "little")
                )
                await reset(heard)

            scene.servers[0].script = cut_off
            assert (await scene.ask("lodge")).status == status
            assert len(scene.heard) == 1

    play(work)


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

        async def hold(heard: Heard) -> bytes:
            await release.wait()
            return OK

        async with program(hold, tmp_path) as running:
            taken = await running.client()
            taken.send(request("lodge"))
            await until(lambda: len(running.server.heard) == 1)
            assert running.process.stderr is not None
            running.process.send_signal(signal.SIGTERM)
            assert await soon(running.process.stderr.readline()) == b"shutdown_started: draining\n"
            running.process.send_signal(signal.SIGTERM)
            running.process.send_signal(signal.SIGHUP)
            assert (await soon(running.process.stderr.readline())).startswith(b"configuration_reloaded: ")
            release.set()
            assert (await taken.answer()).status == 200
            assert await soon(taken.reader.read()) == b""
            taken.close()
            assert await soon(running.process.wait()) == 0

    play(work)


def test_sigterm_before_ready_exits_with_0(tmp_path: Path) -> None:
    async def work() -> None:
        agent = await ScriptedServer(None).start()  # pushes lists, and is silent: the start waits for it
        path = tmp_path / "config.json"
        settings = {**GOOD["settings"], "discovery": "pushed"}
        path.write_text(json.dumps({**GOOD, "discovery": agent.address, "settings": settings}))
        process = await started(path)
        await until(lambda: len(agent.heard) == 1)
        process.send_signal(signal.SIGTERM)
        assert await soon(process.wait()) == 0
        agent.stop()

    play(work)


def test_last_response_reaches_client_that_goes_on_sending(tmp_path: Path) -> None:
    # Servers hang just at SIGTERM, and the client has sent more than is read.
    async def work() -> None:
        async def silent(heard: Heard) -> None:
            return None

        async with program(silent, tmp_path) as running:
            taken = await running.client()
            taken.send(request("lodge", timeout="30") + b"x" * 100_000)
            running.process.send_signal(signal.SIGTERM)
            first = await soon(taken.reader.readline())
            assert first.split()[1] in (b"400", b"502", b"503", b"504")
            assert await soon(running.process.wait()) == 0

    play(work)


def test_server_error_and_drain_at_once_are_one_response() -> None:
    async def work() -> None:
        async def fail(heard: Heard) -> bytes:
            scene.sidecar.downstream.drain()
            return ERROR

        async with stage(fail) as scene:
            raw = Raw(scene.sidecar.downstream.port)
            raw.send(request("lodge"))
            assert (await raw.read_all()).count(b"HTTP/1.1 ") == 1
            raw.close()

    play(work)
