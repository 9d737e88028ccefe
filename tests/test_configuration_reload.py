"""SIGHUP and the other process of a hot restart: what changes, and what stays exactly as it was."""

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
    endpoint_entry,
    request_bytes,
    run_async,
    running_sidecar,
    wait_until,
    within_timeout,
)
from loopback import ScriptedServer as Server
from test_program import VALID_CONFIGURATION, running_program

from sidecar.configuration import parse
from sidecar.downstream.listener import listener_from_descriptor
from sidecar.persisted_exclusions import PersistedExclusions
from sidecar.sidecar import Sidecar


def test_reload_with_fixed_keys_changes_none_of_them_and_logs_them(tmp_path: Path) -> None:
    # Guards against a request that picks up another customer's settings, in part or in whole.
    async def work() -> None:
        path = tmp_path / "config.json"
        async with running_program(OK, tmp_path) as running:
            stderr = running.process.stderr
            assert stderr is not None
            other = ScriptedDiscovery()
            await other.start()
            given = json.loads(path.read_text())
            other.servers = given["known"]["servers"]
            lanes = [{**each, "name": f"{each['name']}-2", "repeat": "read_like"} for each in SERVICE_CLASSES]
            given["settings"] = {**given["settings"], "lanes": lanes, "zone": "b"}
            given["limits"] = {**given["limits"], "sockets": 200}
            path.write_text(json.dumps({**given, "discovery": other.address, "seed": "77"}))
            running.process.send_signal(signal.SIGHUP)
            told = (await within_timeout(stderr.readline())).decode()
            assert told == "restart_required: settings, sockets\n"
            assert (await within_timeout(stderr.readline())).startswith(b"configuration_reloaded: ")
            await wait_until(lambda: len(other.requests) >= 2)  # and what may change has
            client = await running.client()
            assert (await client.request("lodge")).status == 200
            client.send(request_bytes("lodge", Request_Class="lodge-2"))
            assert (await client.read_response()).status == 400
            other.stop()

    run_async(work)


def test_reload_changes_neither_cluster_nor_number_of_membership() -> None:
    async def work() -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
            free.bind((HOST, 0))
            own = f"{HOST}:{free.getsockname()[1]}"
        given = {
            **VALID_CONFIGURATION,
            "peer_listen": own,
            "peers": [own, own],
            "membership": {"on": False},
            "settings": {**VALID_CONFIGURATION["settings"], "tier": 3, "me": 1, "bounds": {"mayTell": True}},
        }
        sidecar = Sidecar(parse(given), print)
        await sidecar.start()
        assert sidecar._cluster.members is None
        other = {**given["settings"], "tier": 4, "me": 0}
        kept = sidecar.reconfigure(parse({**given, "membership": {"on": True}, "settings": other}))
        assert kept == ["settings", "tier"]
        assert sidecar._cluster.members is not None
        assert (sidecar._cluster.members._cluster, sidecar._cluster.members._number) == ("3", 1)
        sidecar.close()

    run_async(work)


def test_exclusion_confirmed_by_the_other_process_applies_at_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against new work to an excluded server in the tenth of a second between two looks at the file.
    async def work() -> None:
        monkeypatch.setattr("sidecar.persisted_exclusions._POLL_INTERVAL_S", 3_600.0)
        servers = [await Server(OK).start() for _ in range(2)]
        lines = [endpoint_entry(f"s-{index}", each.address) for index, each in enumerate(servers)]
        given = {
            **VALID_CONFIGURATION,
            "known": {"version": 1, "full": True, "servers": lines},
            "console": f"{HOST}:0",
            "settings": {**VALID_CONFIGURATION["settings"], "bounds": {"sendCap": 3}},
        }
        with socket.socket() as held:
            held.bind((HOST, 0))
            held.listen(64)
            config = parse(given, {"TMPDIR": str(tmp_path)})
            sidecar = Sidecar(config, print, listener_from_descriptor(os.dup(held.fileno())))
            await sidecar.start()
            other = PersistedExclusions(tmp_path, print)
            other.record("s-0", frozenset(), is_excluded=True)
            reader, writer = await asyncio.open_connection(*held.getsockname())
            for _ in range(10):
                writer.write(request_bytes("lodge"))
                assert (await within_timeout(reader.readuntil(b"served"))).startswith(b"HTTP/1.1 200")
            assert [len(each.requests) for each in servers] == [0, 10]
            other.record("s-0", frozenset(), is_excluded=False)
            other.record("s-1", frozenset(), is_excluded=True)
            writer.write(request_bytes("lodge"))
            await within_timeout(reader.readuntil(b"HTTP/1.1 "))
            assert len(servers[1].requests) == 10
            writer.close()
            sidecar.close()
        for each in servers:
            each.stop()

    run_async(work)


@pytest.mark.parametrize("body", [b"x" * 60_000, b'{"member":"unheard-of"}' + b" " * 3_000])
def test_admin_client_that_sends_too_much_still_gets_the_response(body: bytes) -> None:
    async def work() -> None:
        async with running_sidecar(OK, has_admin_interface=True) as harness:
            caller = await harness.admin_client()
            head = f"POST /api/exclude HTTP/1.1\r\nHost: console\r\nContent-Length: {len(body)}\r\n\r\n"
            caller.send(head.encode() + body)
            assert (await caller.read_response()).status in (404, 413)
            sock = caller.writer.get_extra_info("socket")
            for _ in range(3):
                caller.send(b"x" * 1_000)
                await asyncio.sleep(0.005)
            assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
            assert await within_timeout(caller.reader.read()) == b""

    run_async(work)
