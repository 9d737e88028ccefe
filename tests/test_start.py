"""From start to ready whatever is out of order around a process, over loopback sockets."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from loopback import (
    HOST,
    OK,
    SERVICE_CLASSES,
    ScriptedServer,
    endpoint_entry,
    free_udp_addresses,
    request_bytes,
    run_async,
)

from sidecar.configuration import parse
from sidecar.sidecar import Sidecar

WITHIN_S = 10.0  # nine in ten restarted processes have to be ready by then


def _absent(folder: Path) -> None:
    folder.rmdir()


def _no_folder(folder: Path) -> None:
    folder.rmdir()
    folder.write_bytes(b"")


def _directory(folder: Path) -> None:
    (folder / "excluded.json").mkdir()
    (folder / "excluded.lock").mkdir()


def _half_written(folder: Path) -> None:
    (folder / "excluded.json").write_bytes(b'{"excluded": ["s-')


def _nonsense(folder: Path) -> None:
    (folder / "excluded.json").write_bytes(b"[" * 100_000 + b"\xff\x00")


def _loop(folder: Path) -> None:
    (folder / "excluded.json").symlink_to("excluded.json")


def _pipe(folder: Path) -> None:
    os.mkfifo(folder / "excluded.json")


async def ready(changes: dict[str, Any], settings: dict[str, Any], folder: Path | None = None) -> list[str]:
    """Start a sidecar, have it serve a request, end it; give its log."""
    server = await ScriptedServer(OK).start()
    log: list[str] = []
    config = {
        "name": "n0",
        "listen": f"{HOST}:0",
        "discovery": f"{HOST}:1",
        "seed": "8c1f",
        "known": {"version": 1, "full": True, "servers": [endpoint_entry("s-0", server.address)]},
        "settings": {"lanes": SERVICE_CLASSES, "zone": "a", "discovery": "on_request", **settings},
        "console": f"{HOST}:0",
        **changes,
    }
    environment = {"TMPDIR": str(folder)} if folder else {}
    sidecar = Sidecar(parse(config, environment), lambda event: log.append(str(event)))
    try:
        async with asyncio.timeout(WITHIN_S):
            await sidecar.start()
            reader, writer = await asyncio.open_connection(HOST, sidecar.downstream.port)
            writer.write(request_bytes("lodge"))
            assert (await reader.readline()).startswith(b"HTTP/1.1 200")
            writer.close()
            assert sidecar.administration.exclude("s-0")
            assert sidecar.administration.include("s-0")
    finally:
        sidecar.close()
        server.stop()
    return log


@pytest.mark.parametrize("damage", [_absent, _no_folder, _directory, _half_written, _nonsense, _loop, _pipe])
def test_damaged_state_directory_delays_no_start(damage: Callable[[Path], None], tmp_path: Path) -> None:
    folder = tmp_path / "own"
    folder.mkdir()
    damage(folder)
    run_async(lambda: ready({}, {}, folder))


TIER = {"bounds": {"mayTell": True}, "groupSize": 2, "me": 0}


def test_peer_port_in_use_delays_no_start() -> None:
    async def main() -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
            taken.bind((HOST, 0))
            port = taken.getsockname()[1]
            log = await ready(
                {
                    "peer_listen": f"{HOST}:{port}",
                    "peers": [f"{HOST}:{port}", f"{HOST}:9"],
                    "membership": {"on": True},
                },
                TIER,
            )
            assert any(line.startswith("peer_listen_failed: ") for line in log)

    run_async(main)


@pytest.mark.parametrize("discovery", ["on_request", "pushed"])
def test_unreachable_peers_and_discovery_delay_no_start(discovery: str) -> None:
    async def main() -> None:
        own, other = free_udp_addresses(2)
        peers = [f"{HOST}:{own[1]}", f"{HOST}:{other[1]}"]
        await ready(
            {"peer_listen": peers[0], "peers": peers, "membership": {"on": True}},
            {**TIER, "discovery": discovery},
        )

    run_async(main)
