"""Idle clients at the limit of sockets: discovery, servers and new clients still get connections."""

from __future__ import annotations

import asyncio
import errno
import socket

import pytest
from loopback import HOST, OK, endpoint_entry, request_bytes, run_async, running_sidecar, wait_until

import sidecar.sidecar
from sidecar.address import Address
from sidecar.sidecar import Sidecar
from sidecar.socket_binding import bind_listener


@pytest.mark.parametrize(
    "sent_data",
    [
        request_bytes("check"),
        b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n",
        b"",
        b"GET /api HT",
        request_bytes("lodge", body=b"xx")[:-1],
    ],
    ids=["served", "health checked", "silent", "incomplete request line", "incomplete body"],
)
def test_idle_clients_at_the_socket_limit_block_no_other_connection(sent_data: bytes) -> None:
    async def main() -> None:
        async with running_sidecar(OK, OK, configuration={"limits": {"sockets": 72}}) as harness:
            downstream = harness.sidecar.downstream
            # The first poll, and a watch that waits.
            await wait_until(lambda: len(harness.discovery.requests) == 2)
            port = int(harness.discovery.address.rpartition(":")[2])
            harness.discovery.stop()
            idle_clients = []
            for _ in range(3 * downstream._max_connections):
                idle_clients.append(socket.create_connection((HOST, downstream.port)))
                idle_clients[-1].sendall(sent_data)
                await asyncio.sleep(0)
            await wait_until(lambda: downstream.open_connections == downstream._max_connections)
            # A server connection was opened for a new client.
            assert (await harness.request("lodge")).status == 200
            harness.discovery.servers = [endpoint_entry("s-1", harness.servers[1].address)]
            await harness.discovery.start(port)
            # The list of the restarted discovery service was received.
            await wait_until(lambda: harness.sidecar._balancer.endpoint_counts().listed == 1)
            assert downstream.open_connections <= downstream._max_connections
            assert (await harness.request("lodge")).status == 200
            for client in idle_clients:
                client.close()

    run_async(main)


class LimitedListener(socket.socket):
    """A listening socket that fails to accept more than `max_clients`, as if descriptors ran out."""

    max_clients = 4
    failed_count = 0
    sidecar: Sidecar | None = None

    def accept(self) -> tuple[socket.socket, Address]:
        if self.sidecar is not None and self.sidecar.downstream.open_connections >= self.max_clients:
            self.failed_count += 1
            raise OSError(errno.EMFILE, "Too many open files")
        return super().accept()


def test_idle_client_is_closed_when_the_system_has_no_descriptor(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    listeners: list[LimitedListener] = []

    def bind_limited_listener(address: Address) -> socket.socket:
        listener = bind_listener(address)
        listeners.append(LimitedListener(listener.family, listener.type, listener.proto, listener.detach()))
        return listeners[0]

    monkeypatch.setattr(sidecar.sidecar, "bind_listener", bind_limited_listener)

    async def main() -> None:
        async with running_sidecar(OK) as harness:
            listeners[0].sidecar = harness.sidecar
            for _ in range(3 * LimitedListener.max_clients):
                assert (await harness.request("lodge")).status == 200  # its connection stays open, idle
            assert listeners[0].failed_count > 0
            assert harness.sidecar.downstream.open_connections <= LimitedListener.max_clients

    run_async(main)
