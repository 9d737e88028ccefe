"""Clients sent away and taken again, over loopback sockets."""

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

HEALTH = b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"


async def health_status(client: Client) -> int:
    client.send(HEALTH)
    return (await client.read_response()).status


def test_draining_loses_no_request_and_resuming_accepts_clients() -> None:
    async def work() -> None:
        release = asyncio.Event()

        async def hold(heard: ReceivedRequest) -> bytes:
            await release.wait()
            return OK

        async with running_sidecar(hold, has_admin_interface=True) as harness:
            resting, asking = await harness.client(), await harness.client()
            assert await health_status(resting) == 200
            asking.send(request_bytes("lodge"))
            await wait_until(lambda: len(harness.requests) == 1)
            for _ in range(2):  # repeating it changes nothing
                assert (await harness.admin_request("POST", "/api/evacuate"))[0] == 200
            assert (await harness.admin_request("GET", "/api/ready"))[0] == 503
            assert await within_timeout(resting.reader.read()) == b""  # one at rest is let go
            newcomer = await harness.client()  # its sender has not heard yet: it is served
            newcomer.send(request_bytes("lodge"))
            await wait_until(lambda: len(harness.requests) == 2)
            release.set()
            for client in (asking, newcomer):
                answer = await client.read_response()
                assert (answer.status, answer.headers["connection"]) == (200, "close")
                assert await within_timeout(client.reader.read()) == b""
            assert await health_status(await harness.client()) == 503
            assert (await harness.admin_request("POST", "/api/rejoin"))[0] == 200
            back = await harness.client()
            assert await health_status(back) == 200
            answer = await back.request("lodge")
            assert answer.status == 200 and "connection" not in answer.headers

    run_async(work)


def test_resume_during_draining_and_shutdown_during_draining() -> None:
    async def work() -> None:
        async with running_sidecar(OK, has_admin_interface=True) as harness:
            assert (await harness.admin_request("POST", "/api/rejoin"))[0] == 200  # it was not away
            await harness.admin_request("POST", "/api/evacuate")
            await harness.admin_request("POST", "/api/rejoin")
            assert await health_status(await harness.client()) == 200
            await harness.admin_request("POST", "/api/evacuate")
            ending = asyncio.create_task(harness.sidecar.shut_down())
            await wait_until(lambda: harness.sidecar.is_shutting_down)
            assert (await harness.admin_request("POST", "/api/rejoin"))[0] == 409
            assert (await harness.admin_request("POST", "/api/evacuate"))[0] == 409
            assert (await harness.request()).status == 200
            await within_timeout(ending)

    run_async(work)


def test_draining_keeps_a_new_connection_until_its_first_request() -> None:
    # Guards against requests that cross the close: their sender has opened a connection, and writes next.
    async def work() -> None:
        async with running_sidecar(OK, has_admin_interface=True) as harness:
            young = await harness.client()
            await wait_until(lambda: harness.sidecar.downstream.open_connections == 1)
            harness.sidecar.administration.drain_clients()
            assert (await young.request()).status == 200

    run_async(work)
