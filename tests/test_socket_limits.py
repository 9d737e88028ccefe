"""Clients that fill the descriptors: discovery, servers and new clients get theirs all the same."""

from __future__ import annotations

import asyncio
import errno
import socket

import pytest
from loopback import HOST, OK, endpoint_entry, request_bytes, run_async, running_sidecar, wait_until

import sidecar.sidecar
from sidecar.address import Address
from sidecar.downstream.listener import bind_listener
from sidecar.sidecar import Sidecar


@pytest.mark.parametrize(
    "sent",
    [
        request_bytes("check"),
        b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n",
        b"",
        b"GET /api HT",
        request_bytes("lodge", body=b"xx")[:-1],
    ],
    ids=["at rest", "asked for health", "silent", "half a line", "half a body"],
)
def test_idle_clients_at_the_socket_limit_block_nobody(sent: bytes) -> None:
    async def main() -> None:
        async with running_sidecar(OK, OK, configuration={"limits": {"sockets": 72}}) as harness:
            downstream = harness.sidecar.downstream
            await wait_until(lambda: len(harness.discovery.requests) == 2)  # the list, and a watch behind it
            port = int(harness.discovery.address.rpartition(":")[2])
            harness.discovery.stop()
            idle = []
            for _ in range(3 * downstream._max_connections):
                idle.append(socket.create_connection((HOST, downstream.port)))
                idle[-1].sendall(sent)
                await asyncio.sleep(0)
            await wait_until(lambda: downstream.open_connections == downstream._max_connections)
            assert (await harness.request("lodge")).status == 200  # a server is dialled, a newcomer is served
            harness.discovery.servers = [endpoint_entry("s-1", harness.servers[1].address)]
            await harness.discovery.start(port)
            await wait_until(
                lambda: harness.sidecar._balancer.endpoint_counts().listed == 1
            )  # the list is heard again
            assert downstream.open_connections <= downstream._max_connections
            assert (await harness.request("lodge")).status == 200
            for each in idle:
                each.close()

    run_async(main)


class Crowded(socket.socket):
    """A listening socket on a machine that has descriptors for so many clients only."""

    room = 4
    refused = 0
    sidecar: Sidecar | None = None

    def accept(self) -> tuple[socket.socket, Address]:
        if self.sidecar is not None and self.sidecar.downstream.open_connections >= self.room:
            self.refused += 1
            raise OSError(errno.EMFILE, "Too many open files")
        return super().accept()


def test_idle_client_is_closed_when_the_system_has_no_descriptor(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    crowded: list[Crowded] = []

    def crowd(address: Address) -> socket.socket:
        own = bind_listener(address)
        crowded.append(Crowded(own.family, own.type, own.proto, own.detach()))
        return crowded[0]

    monkeypatch.setattr(sidecar.sidecar, "bind_listener", crowd)

    async def main() -> None:
        async with running_sidecar(OK) as harness:
            crowded[0].sidecar = harness.sidecar
            for _ in range(3 * Crowded.room):
                assert (await harness.request("lodge")).status == 200  # and its connection rests
            assert crowded[0].refused > 0
            assert harness.sidecar.downstream.open_connections <= Crowded.room

    run_async(main)
