"""Datagrams between sidecars, over loopback sockets."""

from __future__ import annotations

import asyncio
import socket

from loopback import free_udp_addresses, run_async, within_timeout

from sidecar.peers import Peers


def test_peers_receive_from_each_other_and_nobody_else() -> None:
    # Guards against an endpoint that never comes up: its failure is only a line in the log.
    async def work() -> None:
        addresses = free_udp_addresses(2)
        heard: asyncio.Queue[tuple[int, int, bytes]] = asyncio.Queue()

        def ear(me: int) -> Peers:
            return Peers(addresses, None, me, lambda by, what: heard.put_nowait((me, by, what)))

        first, second = ear(0), ear(1)
        await first.listen(addresses[0])
        await second.listen(addresses[1])
        assert first.send(1, b"to one")
        assert await within_timeout(heard.get()) == (1, 0, b"to one")
        assert second.send(None, b"to all")
        assert await within_timeout(heard.get()) == (0, 1, b"to all")
        assert first.send(1, b"x" * 256) and not first.send(1, b"x" * 257) and not first.send(2, b"nobody")
        assert await within_timeout(heard.get()) == (1, 0, b"x" * 256)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            stranger.sendto(b"from a stranger", addresses[1])
        assert first.send(1, b"after it")
        assert await within_timeout(heard.get()) == (1, 0, b"after it")
        first.close()
        second.close()

    run_async(work)
