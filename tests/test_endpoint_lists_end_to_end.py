"""Lists that cross requests, in a whole sidecar over loopback sockets."""

from __future__ import annotations

import asyncio
import json

import pytest
from loopback import (
    HOST,
    OK,
    SERVICE_CLASSES,
    ReceivedRequest,
    ScriptedServer,
    endpoint_entry,
    http_response,
    request_bytes,
    run_async,
    running_sidecar,
    wait_until,
    within_timeout,
)

from sidecar.configuration import parse
from sidecar.sidecar import Sidecar

Script = bytes | None


def pushed_sidecar(agent: str, server: str, log: list[str]) -> Sidecar:
    """One whose agent pushes lists; it knows the server as active from before."""
    return Sidecar(
        parse(
            {
                "name": "n0",
                "listen": f"{HOST}:0",
                "discovery": agent,
                "seed": "8c1f",
                "known": {"version": 1, "full": True, "servers": [endpoint_entry("s-0", server)]},
                "settings": {"lanes": SERVICE_CLASSES, "zone": "a", "discovery": "pushed"},
            }
        ),
        lambda event: log.append(str(event)),
    )


def test_pushed_list_is_awaited_before_clients_are_accepted() -> None:
    # Guards rule 3: what the agent has counts as told from the first moment of a new process.
    async def work() -> None:
        release = asyncio.Event()

        async def agent_says(heard: ReceivedRequest) -> bytes | None:
            if not heard.target.endswith("=0"):
                return None
            await release.wait()
            leaving = endpoint_entry("s-0", server.address, state="leaving")
            return http_response(json.dumps({"version": 2, "full": True, "servers": [leaving]}).encode())

        server, agent = await ScriptedServer(OK).start(), await ScriptedServer(agent_says).start()
        sidecar = pushed_sidecar(agent.address, server.address, [])
        starting = asyncio.get_running_loop().create_task(sidecar.start())
        await wait_until(lambda: len(agent.requests) == 1)
        assert not sidecar.administration.is_ready() and not starting.done()
        release.set()
        await within_timeout(starting)
        reader, writer = await asyncio.open_connection(HOST, sidecar.downstream.port)
        writer.write(request_bytes("lodge"))
        assert (await within_timeout(reader.readline())).startswith(b"HTTP/1.1 503")
        assert server.requests == []
        writer.close()
        sidecar.close()
        server.stop()
        agent.stop()

    run_async(work)


@pytest.mark.parametrize("agent_is", ["away", "silent", "busy"])
def test_unavailable_agent_delays_a_start_by_a_bounded_time(
    agent_is: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def work() -> None:
        if agent_is == "silent":
            monkeypatch.setattr("sidecar.sidecar._FIRST_LIST_TIMEOUT_S", 0.05)
        else:
            monkeypatch.setattr("sidecar.sidecar._FIRST_LIST_TIMEOUT_S", 3_600.0)  # a "no" is not waited out
        script: Script = http_response(b"", "503 Busy") if agent_is == "busy" else None
        server, agent = await ScriptedServer(OK).start(), await ScriptedServer(script).start()
        address = agent.address
        if agent_is == "away":
            agent.stop()
        sidecar = pushed_sidecar(address, server.address, [])
        await within_timeout(sidecar.start())
        reader, writer = await asyncio.open_connection(HOST, sidecar.downstream.port)
        writer.write(request_bytes("lodge"))
        assert (await within_timeout(reader.readline())).startswith(b"HTTP/1.1 200")
        writer.close()
        sidecar.close()
        server.stop()
        if agent_is != "away":
            agent.stop()

    run_async(work)


def test_late_list_returns_a_draining_server_to_nobody() -> None:
    # Guards rule 3 over everything between discovery and the socket.
    async def work() -> None:
        async with running_sidecar(OK, OK) as harness:
            first, second = (each.address for each in harness.servers)
            await wait_until(lambda: len(harness.discovery.requests) >= 2)
            harness.discovery.version = 5
            harness.discovery.send_changes(endpoint_entry("s-0", first, state="leaving"))
            await wait_until(lambda: len(harness.discovery.requests) >= 3)
            harness.discovery.version = 2
            harness.discovery.send_changes(endpoint_entry("s-0", first), endpoint_entry("s-1", second))
            await wait_until(lambda: len(harness.discovery.requests) >= 4)
            for _ in range(12):
                assert (await harness.request()).status == 200
            assert harness.servers[0].requests == []

    run_async(work)
