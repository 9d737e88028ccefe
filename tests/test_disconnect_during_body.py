"""Clients that close their connection while much of a long request has not reached its server."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest
from loopback import (
    HOST,
    LONG_BODY,
    SidecarHarness,
    endpoint_entry,
    request_bytes,
    run_async,
    running_sidecar,
    wait_until,
    within_timeout,
)

BODY = LONG_BODY * 4  # more than the system buffers on the way to a server
RECEIVE_BUFFER_BYTES = 16 << 10  # of the server's socket


class PausedServer:
    """A server that accepts one connection and reads from it when it is told to."""

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.listener.bind((HOST, 0))
        self.listener.listen()
        self.listener.setblocking(False)
        self.connection: socket.socket | None = None

    @property
    def address(self) -> str:
        return f"{HOST}:{self.listener.getsockname()[1]}"

    async def accept(self) -> None:
        self.connection, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        self.connection.setblocking(False)

    async def read_to_end(self) -> int:
        """Read until the connection ends; return the number of bytes."""
        assert self.connection is not None
        received = 0
        with contextlib.suppress(ConnectionError):
            while data := await asyncio.get_running_loop().sock_recv(self.connection, 1 << 16):
                received += len(data)
        return received

    def close(self) -> None:
        self.listener.close()
        if self.connection is not None:
            self.connection.close()


async def list_server(harness: SidecarHarness, server: PausedServer) -> None:
    harness.discovery.send_changes(endpoint_entry("s-0", server.address))
    await wait_until(lambda: harness.sidecar.administration.metrics()["members"] == 1)


def test_unsent_rest_of_a_request_is_discarded_when_its_client_leaves() -> None:
    # Guards against a request that runs long after its client has left, because the system goes on sending
    # what it holds for a server that reads slowly.
    async def work() -> None:
        server = PausedServer()
        async with running_sidecar(is_listed=False) as harness:
            await list_server(harness, server)
            client = await harness.client()
            request = request_bytes("lodge", body=BODY[:500_000], timeout="30")
            client.send(request)
            await within_timeout(server.accept())
            await wait_until(lambda: harness.sidecar.administration.metrics()["upstream_requests"] == 1)
            client.close()
            await wait_until(lambda: harness.sidecar.open_requests == 0)
            assert await within_timeout(server.read_to_end()) < len(request)
        server.close()

    run_async(work)


def test_unread_rest_of_a_request_is_not_forwarded_when_its_client_has_left() -> None:
    # Guards against forwarding a request to its end when the server reads on after the client has left.
    async def work() -> None:
        server = PausedServer()
        async with running_sidecar(is_listed=False) as harness:
            await list_server(harness, server)
            client = socket.create_connection((HOST, harness.sidecar.downstream.port))
            client.setblocking(False)
            request = request_bytes("lodge", body=BODY, timeout="30")
            loop = asyncio.get_running_loop()
            sending = asyncio.ensure_future(loop.sock_sendall(client, request))
            await within_timeout(server.accept())
            reading = asyncio.ensure_future(server.read_to_end())
            await within_timeout(sending)
            client.close()
            assert await within_timeout(reading) < len(request)
            await wait_until(lambda: harness.sidecar.open_requests == 0)
        server.close()

    run_async(work)


@pytest.mark.parametrize("may_cancel", [True, False])
def test_attempt_whose_body_stays_incomplete_ends_with_its_client(may_cancel: bool) -> None:
    # Guards against connections to servers that stay open for good where settings don't allow cancelling: a
    # server that waits for the rest of a request can't execute it.
    async def work() -> None:
        server = PausedServer()
        bounds = {"mayCancel": may_cancel}
        async with running_sidecar(is_listed=False, bounds=bounds) as harness:
            await list_server(harness, server)
            client = await harness.client()
            client.send(request_bytes("lodge", body=BODY[:500_000])[:200_000])
            await within_timeout(server.accept())
            reading = asyncio.ensure_future(server.read_to_end())
            client.close()
            assert await within_timeout(reading) < 500_000
            await wait_until(lambda: harness.sidecar.open_requests == 0)
        server.close()

    run_async(work)
