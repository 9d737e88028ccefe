"""Closing client connections, and data that arrives at the same time."""

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


class RawClient:
    """A client's socket without a transport, so that only the test reads from it and closes it."""

    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection((HOST, port))
        self.socket.setblocking(False)
        self._loop = asyncio.get_running_loop()

    def send(self, data: bytes) -> None:
        assert self.socket.send(data) == len(data)

    async def read_all(self) -> bytes:
        """Read to the end of the stream; raise ConnectionResetError if the connection was reset."""
        received = b""
        while piece := await within_timeout(self._loop.sock_recv(self.socket, 65_536)):
            received += piece
        return received

    def is_reset(self) -> bool:
        return self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0

    def close(self) -> None:
        self.socket.close()


def connection_states(harness: SidecarHarness) -> list[ConnectionState]:
    return [connection.state for connection in harness.sidecar.downstream._connections]


async def process_sent_data(harness: SidecarHarness) -> None:
    """Run the event loop until it has processed all data that was sent before."""
    _, writer = await asyncio.open_connection(HOST, harness.servers[0].address.rpartition(":")[2])
    writer.close()
    for _ in range(20):
        await asyncio.sleep(0)
    await asyncio.sleep(0.02)


@pytest.mark.parametrize(
    "cause", ["connection: close", "HTTP/1.0", "drain", "invalid request", "pipelined request"]
)
def test_bytes_that_arrive_with_the_last_response_do_not_truncate_it(cause: str) -> None:
    # Guards against closing a socket with unread data: that resets the connection, and the response is lost.
    async def work() -> None:
        async def respond(request: ReceivedRequest) -> bytes:
            if cause == "drain":
                harness.sidecar.downstream.drain()
            return OK

        async with running_sidecar(respond) as harness:
            client = RawClient(harness.sidecar.downstream.port)
            message = request_bytes("lodge")
            if cause == "connection: close":
                message = request_bytes("lodge", Connection="close")
            elif cause == "HTTP/1.0":
                message = message.replace(b"HTTP/1.1", b"HTTP/1.0")
            elif cause == "invalid request":
                message = request_bytes("lodge", Request_Class="unheard-of")
            elif cause == "pipelined request":
                message += request_bytes("lodge")
            client.send(message)
            response = await client.read_all()
            is_rejected = cause in ("invalid request", "pipelined request")
            assert response.startswith(b"HTTP/1.1 4" if is_rejected else b"HTTP/1.1 200")
            (connection,) = harness.sidecar.downstream._connections
            assert connection.state is ConnectionState.LINGERING
            before = len(harness.requests)
            for _ in range(3):
                client.send(request_bytes("lodge"))
                await process_sent_data(harness)
            assert not client.is_reset() and len(harness.requests) == before
            client.close()
            await wait_until(lambda: harness.sidecar.downstream.is_empty)

    run_async(work)


@pytest.mark.parametrize("cause", ["drain", "evacuation", "idle timeout"])
def test_request_sent_while_idle_connection_is_closed_is_not_forwarded(cause: str) -> None:
    # Guards against running a request twice: its client gets no response and sends it again elsewhere.
    async def work() -> None:
        async with running_sidecar(OK) as harness:
            client = RawClient(harness.sidecar.downstream.port)
            client.send(request_bytes("lodge"))
            await wait_until(lambda: len(harness.sidecar.downstream._idle_since) == 1)
            if cause == "drain":
                harness.sidecar.downstream.drain()
            elif cause == "evacuation":
                harness.sidecar.administration.drain_clients()
            else:
                harness.sidecar.downstream.close_overdue(asyncio.get_running_loop().time() + 3_600)
            client.send(request_bytes("lodge"))  # before the event loop has run again
            assert (await client.read_all()).count(b"HTTP/1.1 200") == 1
            client.send(request_bytes("lodge"))
            await process_sent_data(harness)
            assert not client.is_reset() and len(harness.requests) == 1
            client.close()
            await wait_until(lambda: harness.sidecar.downstream.is_empty)

    run_async(work)


def test_lingering_client_that_never_closes_is_closed_in_time() -> None:
    async def work() -> None:
        async with running_sidecar(OK) as harness:
            client = RawClient(harness.sidecar.downstream.port)
            client.send(request_bytes("lodge", Connection="close"))
            assert (await client.read_all()).startswith(b"HTTP/1.1 200")
            now = asyncio.get_running_loop().time()

            def is_closed_at_next_timeout() -> bool:
                nonlocal now
                now += 2.5
                harness.sidecar.downstream.close_overdue(now)
                return harness.sidecar.downstream.is_empty

            await wait_until(is_closed_at_next_timeout)
            client.close()

    run_async(work)


def test_slow_reader_gets_the_complete_last_response() -> None:
    # Guards against a timeout for lingering connections that aborts a client which is still reading.
    async def work() -> None:
        body = b"x" * 65_000

        async with running_sidecar(b"HTTP/1.1 200 OK\r\nContent-Length: 65000\r\n\r\n" + body) as harness:
            client = RawClient(harness.sidecar.downstream.port)
            client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            client.send(request_bytes("lodge", Connection="close"))
            await wait_until(lambda: connection_states(harness) == [ConnectionState.LINGERING])
            (connection,) = harness.sidecar.downstream._connections
            now, received, steps = asyncio.get_running_loop().time(), b"", 0
            while undelivered := connection._undelivered_bytes():
                while connection._undelivered_bytes() >= undelivered:
                    received += await within_timeout(
                        asyncio.get_running_loop().sock_recv(client.socket, 2_048)
                    )
                if not connection._undelivered_bytes():
                    break  # the client's machine has all of it, so closing loses nothing
                now += 2.5  # some was delivered, so the connection stays open
                harness.sidecar.downstream.close_overdue(now)
                assert connection.state is ConnectionState.LINGERING
                steps += 1
            assert steps > 0
            received += await client.read_all()
            assert received.endswith(body)
            client.close()

    run_async(work)


def test_silent_connection_is_evicted_rather_than_one_that_reads_its_response() -> None:
    async def work() -> None:
        body = b"x" * 65_000
        limits = {"limits": {"sockets": 72}}
        async with running_sidecar(
            b"HTTP/1.1 200 OK\r\nContent-Length: 65000\r\n\r\n" + body, configuration=limits
        ) as harness:
            limit = harness.sidecar.downstream._max_connections
            slow_reader = socket.socket()
            slow_reader.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            slow_reader.connect((HOST, harness.sidecar.downstream.port))
            slow_reader.setblocking(False)
            slow_reader.send(request_bytes("lodge", Connection="close"))
            await wait_until(lambda: connection_states(harness) == [ConnectionState.LINGERING])
            (connection,) = harness.sidecar.downstream._connections
            assert connection.has_undelivered_bytes
            silent = [RawClient(harness.sidecar.downstream.port) for _ in range(limit - 1)]
            await wait_until(lambda: harness.sidecar.downstream.open_connections == limit)
            harness.sidecar.downstream._awaited_since[connection] -= 10.0  # the one that has waited longest
            for awaited in harness.sidecar.downstream._awaited_since:
                harness.sidecar.downstream._awaited_since[awaited] -= 1.0
            newcomer = await harness.client()
            newcomer.send(request_bytes("lodge"))
            await wait_until(lambda: len(harness.requests) == 2)
            assert connection.state is ConnectionState.LINGERING
            for client in silent:
                client.close()
            slow_reader.close()

    run_async(work)


def test_connections_queued_before_listener_closes_are_served() -> None:
    # Guards against losing requests at SIGTERM: closing a listening socket resets its queued connections.
    async def work() -> None:
        async with running_sidecar(OK) as harness:
            clients = [RawClient(harness.sidecar.downstream.port) for _ in range(20)]
            for client in clients:
                client.send(request_bytes("lodge"))
            harness.sidecar.downstream.drain()
            harness.sidecar.downstream.stop_listening(accept_queued=True)
            assert not harness.sidecar.downstream.is_empty
            for client in clients:
                assert (await client.read_all()).startswith(b"HTTP/1.1 200")
                client.close()
            assert len(harness.requests) == 20
            await wait_until(lambda: harness.sidecar.downstream.is_empty)

    run_async(work)


def test_half_close_counts_as_disconnect() -> None:
    # A FIN looks the same for both, and the request of a disconnected client is not forwarded.
    async def work() -> None:
        async with running_sidecar(None) as harness:
            client = await harness.client()
            client.send(request_bytes("lodge"))
            await wait_until(lambda: len(harness.requests) == 1)
            client.writer.write_eof()
            await wait_until(lambda: harness.sidecar.open_requests == 0)
            await wait_until(lambda: harness.servers[0].closed_connections == [0])

    run_async(work)


def test_disconnect_at_the_time_of_the_response_causes_no_error() -> None:
    async def work() -> None:
        errors: list[Any] = []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: errors.append(context))

        async def disconnect_first(request: ReceivedRequest) -> bytes:
            client.writer.transport.abort()
            return OK

        async with running_sidecar(disconnect_first) as harness:
            for _ in range(20):
                client = await harness.client()
                client.send(request_bytes("lodge"))
                await wait_until(
                    lambda: harness.sidecar.downstream.is_empty and harness.sidecar.open_requests == 0
                )
            assert len(harness.requests) == 20 and harness.sidecar.unanswered_requests == 0
            assert not [entry for entry in harness.log if "internal" in entry]
        assert not [error for error in errors if "sidecar" in repr(error)]

    run_async(work)


def test_clients_are_served_beside_others_that_flood_and_disconnect() -> None:
    async def work() -> None:
        async with running_sidecar(OK, configuration={"limits": {"sockets": 180}}) as harness:
            for _ in range(5):
                flooding = [RawClient(harness.sidecar.downstream.port) for _ in range(30)]
                for number, client in enumerate(flooding):
                    client.send((request_bytes("lodge") * 40)[: 3_000 + number])
                well_behaved = await harness.client()
                assert (await well_behaved.request("lodge")).status == 200
                for client in flooding:
                    client.close()
                well_behaved.close()
            await wait_until(
                lambda: harness.sidecar.downstream.is_empty and harness.sidecar.open_requests == 0
            )

    run_async(work)


@pytest.mark.parametrize("unsolicited", [b"HTTP/1.1 20", OK, b"\r\n"])
def test_bytes_on_idle_upstream_connection_are_not_read_as_a_response(unsolicited: bytes) -> None:
    async def work() -> None:
        async with running_sidecar(OK) as harness:
            client = await harness.client()
            assert (await client.request("lodge")).status == 200
            harness.requests[0].writer.write(unsolicited)
            response = await client.request("lodge")
            assert (response.status, response.body) == (200, b"served")
            await wait_until(lambda: 0 in harness.servers[0].closed_connections)

    run_async(work)


@pytest.mark.parametrize(
    ("partial_response", "status"),
    [
        (b"HTTP/1.1 200 OK\r\n\r\nser", 502),  # of unknown length: a reset does not delimit it
        (b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nser", 502),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nser\r\n", 502),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nserX", 502),
    ],
)
def test_response_that_is_reset_is_not_forwarded(partial_response: bytes, status: int) -> None:
    async def work() -> None:
        async def reset(request: ReceivedRequest) -> None:
            request.writer.write(partial_response)
            await asyncio.sleep(0.01)  # by then the bytes are sent, and the reset may discard them unread
            request.writer.transport.abort()

        async with running_sidecar(reset) as harness:

            async def send_reset(request: ReceivedRequest) -> None:
                sock = request.writer.get_extra_info("socket")
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, (1).to_bytes(4, "little") + (0).to_bytes(4, "little")
                )
                await reset(request)

            harness.servers[0].script = send_reset
            assert (await harness.request("lodge")).status == status
            assert len(harness.requests) == 1

    run_async(work)


def test_connection_states_all_lead_to_closed() -> None:
    open_states = set(ConnectionState) - {ConnectionState.CLOSED}
    assert set(TRANSITIONS) == set(ConnectionState)
    assert TRANSITIONS[ConnectionState.CLOSED] == set()
    assert all(ConnectionState.CLOSED in TRANSITIONS[state] for state in open_states)
    # After the sidecar has closed its side, nothing is read as a request.
    assert TRANSITIONS[ConnectionState.LINGERING] == {ConnectionState.CLOSED}
    connection = DownstreamConnection(None)  # type: ignore[arg-type]
    connection._enter(ConnectionState.LINGERING)
    with pytest.raises(AssertionError):
        connection._enter(ConnectionState.READING)


# The sidecar process under signals


def test_second_sigterm_and_sighup_during_shutdown_change_nothing(tmp_path: Path) -> None:
    async def work() -> None:
        release = asyncio.Event()

        async def hold(request: ReceivedRequest) -> bytes:
            await release.wait()
            return OK

        async with running_program(hold, tmp_path) as running:
            client = await running.client()
            client.send(request_bytes("lodge"))
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
            assert (await client.read_response()).status == 200
            assert await within_timeout(client.reader.read()) == b""
            client.close()
            assert await within_timeout(running.process.wait()) == 0

    run_async(work)


def test_sigterm_before_ready_exits_with_0(tmp_path: Path) -> None:
    async def work() -> None:
        discovery = await ScriptedServer(None).start()  # never answers, so the start waits for it
        path = tmp_path / "config.json"
        settings = {**VALID_CONFIGURATION["settings"], "discovery": "pushed"}
        path.write_text(
            json.dumps({**VALID_CONFIGURATION, "discovery": discovery.address, "settings": settings})
        )
        process = await start_program(path)
        await wait_until(lambda: len(discovery.requests) == 1)
        process.send_signal(signal.SIGTERM)
        assert await within_timeout(process.wait()) == 0
        discovery.stop()

    run_async(work)


def test_last_response_reaches_client_that_continues_to_send(tmp_path: Path) -> None:
    # The server does not respond at SIGTERM, and the client has sent more data than the sidecar reads.
    async def work() -> None:
        async def silent(request: ReceivedRequest) -> None:
            return None

        async with running_program(silent, tmp_path) as running:
            client = await running.client()
            client.send(request_bytes("lodge", timeout="30") + b"x" * 100_000)
            running.process.send_signal(signal.SIGTERM)
            status_line = await within_timeout(client.reader.readline())
            assert status_line.split()[1] in (b"400", b"502", b"503", b"504")
            assert await within_timeout(running.process.wait()) == 0

    run_async(work)


def test_server_error_during_drain_results_in_one_response() -> None:
    async def work() -> None:
        async def fail(request: ReceivedRequest) -> bytes:
            harness.sidecar.downstream.drain()
            return ERROR

        async with running_sidecar(fail) as harness:
            client = RawClient(harness.sidecar.downstream.port)
            client.send(request_bytes("lodge"))
            assert (await client.read_all()).count(b"HTTP/1.1 ") == 1
            client.close()

    run_async(work)
