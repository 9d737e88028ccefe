"""The datagram endpoint between sidecars, over loopback sockets."""

from __future__ import annotations

import asyncio
import socket

from loopback import free_udp_addresses, run_async, within_timeout

from sidecar.peers import Peers


def test_peers_receive_datagrams_only_from_each_other() -> None:
    # Also detects an endpoint that never opens, which the sidecar itself only reports by a log line.
    async def work() -> None:
        addresses = free_udp_addresses(2)
        received: asyncio.Queue[tuple[int, int, bytes]] = asyncio.Queue()  # receiver, sender, payload

        def endpoint(number: int) -> Peers:
            def on_datagram(sender: int, payload: bytes) -> None:
                received.put_nowait((number, sender, payload))

            return Peers(addresses, None, number, on_datagram)

        first, second = endpoint(0), endpoint(1)
        await first.listen(addresses[0])
        await second.listen(addresses[1])
        assert first.send(1, b"to one")
        assert await within_timeout(received.get()) == (1, 0, b"to one")
        assert second.send(None, b"to all")
        assert await within_timeout(received.get()) == (0, 1, b"to all")
        assert first.send(1, b"x" * 256) and not first.send(1, b"x" * 257) and not first.send(2, b"nobody")
        assert await within_timeout(received.get()) == (1, 0, b"x" * 256)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            stranger.sendto(b"from a stranger", addresses[1])
        assert first.send(1, b"after it")
        assert await within_timeout(received.get()) == (1, 0, b"after it")
        first.close()
        second.close()

    run_async(work)
