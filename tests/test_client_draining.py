"""Draining and resuming of clients by the admin interface, over loopback sockets."""

from __future__ import annotations

import asyncio

from loopback import (
    OK,
    Client,
    ReceivedRequest,
    request_bytes,
    run_async,
    running_sidecar,
    wait_until,
    within_timeout,
)

HEALTH_CHECK = b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"


async def health_status(client: Client) -> int:
    client.send(HEALTH_CHECK)
    return (await client.read_response()).status


def test_draining_loses_no_request_and_resuming_accepts_clients() -> None:
    async def main() -> None:
        release = asyncio.Event()

        async def respond_on_release(request: ReceivedRequest) -> bytes:
            await release.wait()
            return OK

        async with running_sidecar(respond_on_release, has_admin_interface=True) as harness:
            idle_client, active_client = await harness.client(), await harness.client()
            assert await health_status(idle_client) == 200
            active_client.send(request_bytes("lodge"))
            await wait_until(lambda: len(harness.requests) == 1)
            for _ in range(2):  # draining twice has no further effect
                assert (await harness.admin_request("POST", "/api/evacuate"))[0] == 200
            assert (await harness.admin_request("GET", "/api/ready"))[0] == 503
            assert await within_timeout(idle_client.reader.read()) == b""  # the idle connection was closed
            late_client = await harness.client()  # it does not know of the draining yet, and is served
            late_client.send(request_bytes("lodge"))
            await wait_until(lambda: len(harness.requests) == 2)
            release.set()
            for client in (active_client, late_client):
                response = await client.read_response()
                assert (response.status, response.headers["connection"]) == (200, "close")
                assert await within_timeout(client.reader.read()) == b""
            assert await health_status(await harness.client()) == 503
            assert (await harness.admin_request("POST", "/api/rejoin"))[0] == 200
            new_client = await harness.client()
            assert await health_status(new_client) == 200
            response = await new_client.request("lodge")
            assert response.status == 200 and "connection" not in response.headers

    run_async(main)


def test_resuming_is_idempotent_and_rejected_during_a_shutdown() -> None:
    async def main() -> None:
        async with running_sidecar(OK, has_admin_interface=True) as harness:
            assert (await harness.admin_request("POST", "/api/rejoin"))[0] == 200  # clients were not drained
            await harness.admin_request("POST", "/api/evacuate")
            await harness.admin_request("POST", "/api/rejoin")
            assert await health_status(await harness.client()) == 200
            await harness.admin_request("POST", "/api/evacuate")
            shutdown = asyncio.create_task(harness.sidecar.shut_down())
            await wait_until(lambda: harness.sidecar.is_shutting_down)
            assert (await harness.admin_request("POST", "/api/rejoin"))[0] == 409
            assert (await harness.admin_request("POST", "/api/evacuate"))[0] == 409
            assert (await harness.request()).status == 200
            await within_timeout(shutdown)

    run_async(main)


def test_draining_keeps_a_new_connection_until_its_first_request() -> None:
    # Guards against closing a connection on which the client is about to send its first request.
    async def main() -> None:
        async with running_sidecar(OK, has_admin_interface=True) as harness:
            client = await harness.client()
            await wait_until(lambda: harness.sidecar.downstream.open_connections == 1)
            harness.sidecar.administration.drain_clients()
            assert (await client.request()).status == 200

    run_async(main)
