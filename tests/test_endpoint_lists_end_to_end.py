"""Effects of endpoint lists on requests, in a whole sidecar over loopback sockets."""

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


def pushed_sidecar(agent_address: str, server_address: str, log: list[str]) -> Sidecar:
    """Create a sidecar whose agent pushes lists, and whose last known list has the server as active."""
    return Sidecar(
        parse(
            {
                "name": "n0",
                "listen": f"{HOST}:0",
                "discovery": agent_address,
                "seed": "8c1f",
                "known": {"version": 1, "full": True, "servers": [endpoint_entry("s-0", server_address)]},
                "settings": {"lanes": SERVICE_CLASSES, "zone": "a", "discovery": "pushed"},
            }
        ),
        lambda event: log.append(str(event)),
    )


DRAIN_GRACE_S = 2.0


@pytest.mark.parametrize("delay_s", [0.0, DRAIN_GRACE_S + 0.5], ids=["soon", "after the drain grace"])
def test_pushed_list_is_awaited_before_clients_are_accepted(delay_s: float) -> None:
    # Guards against a request to a draining server after a start: changes that the agent has received count
    # as notified from the start of the process, also if it answers only when the drain grace is over.
    async def main() -> None:
        release = asyncio.Event()

        async def respond_as_agent(request: ReceivedRequest) -> bytes | None:
            if not request.target.endswith("=0"):
                return None
            await release.wait()
            draining_entry = endpoint_entry("s-0", server.address, state="leaving")
            return http_response(
                json.dumps({"version": 2, "full": True, "servers": [draining_entry]}).encode()
            )

        server, agent = await ScriptedServer(OK).start(), await ScriptedServer(respond_as_agent).start()
        sidecar = pushed_sidecar(agent.address, server.address, [])
        start = asyncio.get_running_loop().create_task(sidecar.start())
        await wait_until(lambda: len(agent.requests) == 1)
        await asyncio.sleep(delay_s)
        assert not sidecar.administration.is_ready() and not start.done()
        release.set()
        await within_timeout(start)
        reader, writer = await asyncio.open_connection(HOST, sidecar.downstream.port)
        writer.write(request_bytes("lodge"))
        assert (await within_timeout(reader.readline())).startswith(b"HTTP/1.1 503")
        assert server.requests == []
        writer.close()
        sidecar.close()
        server.stop()
        agent.stop()

    run_async(main)


@pytest.mark.parametrize("agent_state", ["unreachable", "silent", "failing"])
def test_unavailable_agent_delays_a_start_by_a_bounded_time(
    agent_state: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        if agent_state == "silent":
            monkeypatch.setattr("sidecar.sidecar._FIRST_LIST_TIMEOUT_S", 0.05)
        else:
            # Not used up: the first poll fails at once.
            monkeypatch.setattr("sidecar.sidecar._FIRST_LIST_TIMEOUT_S", 3_600.0)
        script: Script = http_response(b"", "503 Busy") if agent_state == "failing" else None
        server, agent = await ScriptedServer(OK).start(), await ScriptedServer(script).start()
        address = agent.address
        if agent_state == "unreachable":
            agent.stop()
        sidecar = pushed_sidecar(address, server.address, [])
        await within_timeout(sidecar.start())
        reader, writer = await asyncio.open_connection(HOST, sidecar.downstream.port)
        writer.write(request_bytes("lodge"))
        assert (await within_timeout(reader.readline())).startswith(b"HTTP/1.1 200")
        writer.close()
        sidecar.close()
        server.stop()
        if agent_state != "unreachable":
            agent.stop()

    run_async(main)


def test_delayed_list_does_not_make_a_draining_server_available() -> None:
    # Guards the path from discovery to the server's socket against requests to a draining server.
    async def main() -> None:
        async with running_sidecar(OK, OK) as harness:
            first_address, second_address = (server.address for server in harness.servers)
            await wait_until(lambda: len(harness.discovery.requests) >= 2)
            harness.discovery.version = 5
            harness.discovery.send_changes(endpoint_entry("s-0", first_address, state="leaving"))
            await wait_until(lambda: len(harness.discovery.requests) >= 3)
            harness.discovery.version = 2
            harness.discovery.send_changes(
                endpoint_entry("s-0", first_address), endpoint_entry("s-1", second_address)
            )
            await wait_until(lambda: len(harness.discovery.requests) >= 4)
            for _ in range(12):
                assert (await harness.request()).status == 200
            assert harness.servers[0].requests == []

    run_async(main)
