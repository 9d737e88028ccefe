"""Starts with a damaged state directory, a port in use or unreachable peers, over loopback sockets."""

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

START_TIMEOUT_S = 10.0  # within which nine in ten restarted processes must be ready


def _remove_directory(directory: Path) -> None:
    directory.rmdir()


def _replace_by_file(directory: Path) -> None:
    directory.rmdir()
    directory.write_bytes(b"")


def _create_directories(directory: Path) -> None:
    (directory / "excluded.json").mkdir()
    (directory / "excluded.lock").mkdir()


def _write_truncated_file(directory: Path) -> None:
    (directory / "excluded.json").write_bytes(b'{"excluded": ["s-')


def _write_invalid_file(directory: Path) -> None:
    (directory / "excluded.json").write_bytes(b"[" * 100_000 + b"\xff\x00")


def _create_symlink_loop(directory: Path) -> None:
    (directory / "excluded.json").symlink_to("excluded.json")


def _create_named_pipe(directory: Path) -> None:
    os.mkfifo(directory / "excluded.json")


async def start_and_serve(
    changes: dict[str, Any], settings: dict[str, Any], directory: Path | None = None
) -> list[str]:
    """Start a sidecar, let it serve a request and exclude a server, and close it; return its log."""
    server = await ScriptedServer(OK).start()
    log: list[str] = []
    document = {
        "name": "n0",
        "listen": f"{HOST}:0",
        "discovery": f"{HOST}:1",
        "seed": "8c1f",
        "known": {"version": 1, "full": True, "servers": [endpoint_entry("s-0", server.address)]},
        "settings": {"lanes": SERVICE_CLASSES, "zone": "a", "discovery": "on_request", **settings},
        "console": f"{HOST}:0",
        **changes,
    }
    environment = {"TMPDIR": str(directory)} if directory else {}
    sidecar = Sidecar(parse(document, environment), lambda event: log.append(str(event)))
    try:
        async with asyncio.timeout(START_TIMEOUT_S):
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


@pytest.mark.parametrize(
    "damage",
    [
        _remove_directory,
        _replace_by_file,
        _create_directories,
        _write_truncated_file,
        _write_invalid_file,
        _create_symlink_loop,
        _create_named_pipe,
    ],
)
def test_damaged_state_directory_delays_no_start(damage: Callable[[Path], None], tmp_path: Path) -> None:
    directory = tmp_path / "state"
    directory.mkdir()
    damage(directory)
    run_async(lambda: start_and_serve({}, {}, directory))


CLUSTER_SETTINGS = {"bounds": {"mayTell": True}, "groupSize": 2, "me": 0}


def test_peer_port_in_use_delays_no_start() -> None:
    async def main() -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp_socket:
            udp_socket.bind((HOST, 0))
            port = udp_socket.getsockname()[1]
            log = await start_and_serve(
                {
                    "peer_listen": f"{HOST}:{port}",
                    "peers": [f"{HOST}:{port}", f"{HOST}:9"],
                    "membership": {"on": True},
                },
                CLUSTER_SETTINGS,
            )
            assert any(log_line.startswith("peer_listen_failed: ") for log_line in log)

    run_async(main)


@pytest.mark.parametrize("discovery", ["on_request", "pushed"])
def test_unreachable_peers_and_discovery_delay_no_start(discovery: str) -> None:
    async def main() -> None:
        own_address, peer_address = free_udp_addresses(2)
        peers = [f"{HOST}:{own_address[1]}", f"{HOST}:{peer_address[1]}"]
        await start_and_serve(
            {"peer_listen": peers[0], "peers": peers, "membership": {"on": True}},
            {**CLUSTER_SETTINGS, "discovery": discovery},
        )

    run_async(main)
