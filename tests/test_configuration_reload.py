"""Reloading the configuration, and exclusions by the other process of a hot restart."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
from pathlib import Path

import pytest
from loopback import (
    HOST,
    OK,
    SERVICE_CLASSES,
    ScriptedDiscovery,
    ScriptedServer,
    endpoint_entry,
    request_bytes,
    run_async,
    running_sidecar,
    wait_until,
    within_timeout,
)
from test_program import VALID_CONFIGURATION, running_program

from sidecar.configuration import parse
from sidecar.downstream.listener import listener_from_descriptor
from sidecar.persisted_exclusions import PersistedExclusions
from sidecar.sidecar import Sidecar


def test_reload_leaves_keys_that_require_a_restart_unchanged_and_logs_them(tmp_path: Path) -> None:
    # Guards against requests that are handled by a mixture of old and new settings.
    async def main() -> None:
        path = tmp_path / "config.json"
        async with running_program(OK, tmp_path) as program:
            stderr = program.process.stderr
            assert stderr is not None
            new_discovery = ScriptedDiscovery()
            await new_discovery.start()
            document = json.loads(path.read_text())
            new_discovery.servers = document["known"]["servers"]
            lanes = [
                {**service_class, "name": f"{service_class['name']}-2", "repeat": "read_like"}
                for service_class in SERVICE_CLASSES
            ]
            document["settings"] = {**document["settings"], "lanes": lanes, "zone": "b"}
            document["limits"] = {**document["limits"], "sockets": 200}
            path.write_text(json.dumps({**document, "discovery": new_discovery.address, "seed": "77"}))
            program.process.send_signal(signal.SIGHUP)
            log_line = (await within_timeout(stderr.readline())).decode()
            assert log_line == "restart_required: settings, sockets\n"
            assert (await within_timeout(stderr.readline())).startswith(b"configuration_reloaded: ")
            await wait_until(lambda: len(new_discovery.requests) >= 2)  # the new discovery address is in use
            client = await program.client()
            assert (await client.request("lodge")).status == 200
            client.send(request_bytes("lodge", Request_Class="lodge-2"))
            assert (await client.read_response()).status == 400
            new_discovery.stop()

    run_async(main)


def test_reload_changes_neither_cluster_nor_member_number() -> None:
    async def main() -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp_socket:
            udp_socket.bind((HOST, 0))
            own_address = f"{HOST}:{udp_socket.getsockname()[1]}"
        document = {
            **VALID_CONFIGURATION,
            "peer_listen": own_address,
            "peers": [own_address, own_address],
            "membership": {"on": False},
            "settings": {**VALID_CONFIGURATION["settings"], "tier": 3, "me": 1, "bounds": {"mayTell": True}},
        }
        sidecar = Sidecar(parse(document), print)
        await sidecar.start()
        assert sidecar._cluster.membership is None
        changed_settings = {**document["settings"], "tier": 4, "me": 0}
        unchanged_keys = sidecar.reconfigure(
            parse({**document, "membership": {"on": True}, "settings": changed_settings})
        )
        assert unchanged_keys == ["settings", "tier"]
        assert sidecar._cluster.membership is not None
        assert (sidecar._cluster.membership._cluster, sidecar._cluster.membership._number) == ("3", 1)
        sidecar.close()

    run_async(main)


def test_exclusion_recorded_by_the_other_process_applies_at_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against requests to an excluded server between two polls of the file, which are 0.1 s apart.
    async def main() -> None:
        monkeypatch.setattr("sidecar.persisted_exclusions._POLL_INTERVAL_S", 3_600.0)
        servers = [await ScriptedServer(OK).start() for _ in range(2)]
        entries = [endpoint_entry(f"s-{index}", server.address) for index, server in enumerate(servers)]
        document = {
            **VALID_CONFIGURATION,
            "known": {"version": 1, "full": True, "servers": entries},
            "console": f"{HOST}:0",
            "settings": {**VALID_CONFIGURATION["settings"], "bounds": {"sendCap": 3}},
        }
        with socket.socket() as listener:
            listener.bind((HOST, 0))
            listener.listen(64)
            configuration = parse(document, {"TMPDIR": str(tmp_path)})
            sidecar = Sidecar(configuration, print, listener_from_descriptor(os.dup(listener.fileno())))
            await sidecar.start()
            other_exclusions = PersistedExclusions(tmp_path, print)
            other_exclusions.record("s-0", frozenset(), is_excluded=True)
            reader, writer = await asyncio.open_connection(*listener.getsockname())
            for _ in range(10):
                writer.write(request_bytes("lodge"))
                assert (await within_timeout(reader.readuntil(b"served"))).startswith(b"HTTP/1.1 200")
            assert [len(server.requests) for server in servers] == [0, 10]
            other_exclusions.record("s-0", frozenset(), is_excluded=False)
            other_exclusions.record("s-1", frozenset(), is_excluded=True)
            writer.write(request_bytes("lodge"))
            await within_timeout(reader.readuntil(b"HTTP/1.1 "))
            assert len(servers[1].requests) == 10
            writer.close()
            sidecar.close()
        for server in servers:
            server.stop()

    run_async(main)


@pytest.mark.parametrize("body", [b"x" * 60_000, b'{"member":"unheard-of"}' + b" " * 3_000])
def test_admin_client_that_keeps_sending_still_reads_the_response(body: bytes) -> None:
    async def main() -> None:
        async with running_sidecar(OK, has_admin_interface=True) as harness:
            client = await harness.admin_client()
            head = f"POST /api/exclude HTTP/1.1\r\nHost: console\r\nContent-Length: {len(body)}\r\n\r\n"
            client.send(head.encode() + body)
            assert (await client.read_response()).status in (404, 413)
            client_socket = client.writer.get_extra_info("socket")
            for _ in range(3):
                client.send(b"x" * 1_000)
                await asyncio.sleep(0.005)
            assert client_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
            assert await within_timeout(client.reader.read()) == b""

    run_async(main)
