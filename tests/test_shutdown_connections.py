"""Client connections at a shutdown: idle ones are closed, and requests that are arriving are answered."""

from __future__ import annotations

import asyncio

import pytest
from loopback import (
    OK,
    ReceivedRequest,
    request_bytes,
    run_async,
    running_sidecar,
    wait_until,
    within_timeout,
)


def test_idle_and_silent_clients_are_closed_while_another_awaits_its_response() -> None:
    async def work() -> None:
        release = asyncio.Event()

        async def hold(request: ReceivedRequest) -> bytes:
            if len(harness.requests) > 1:
                await release.wait()
            return OK

        async with running_sidecar(hold) as harness:
            idle, waiting = await harness.client(), await harness.client()
            assert (await idle.request("lodge")).status == 200
            waiting.send(request_bytes("lodge"))
            await wait_until(lambda: len(harness.requests) == 2)
            silent = await harness.client()
            await wait_until(lambda: harness.sidecar.downstream.open_connections == 3)
            draining = asyncio.get_running_loop().create_task(harness.sidecar.shut_down())
            for client in (idle, silent):
                assert await within_timeout(client.reader.read()) == b""
                client.close()
            assert not draining.done()
            release.set()
            assert (await waiting.read_response()).status == 200
            assert await within_timeout(waiting.reader.read()) == b""
            waiting.close()
            await within_timeout(draining)

    run_async(work)


@pytest.mark.parametrize("is_first_request", [True, False])
def test_request_whose_head_is_arriving_at_a_shutdown_is_answered(is_first_request: bool) -> None:
    # Guards against taking a connection on which part of a head has arrived for an idle one.
    async def work() -> None:
        async with running_sidecar(OK) as harness:
            client, downstream = await harness.client(), harness.sidecar.downstream
            if not is_first_request:
                assert (await client.request("lodge")).status == 200
            message = request_bytes("lodge")
            client.send(message[:40])
            await wait_until(
                lambda: [not connection._reader.is_idle for connection in downstream._connections] == [True]
            )
            for connection in downstream._awaited_since:
                downstream._awaited_since[connection] -= 1.0  # it is no new connection any more
            shutdown = asyncio.create_task(harness.sidecar.shut_down())
            await wait_until(lambda: harness.sidecar.is_shutting_down)
            client.send(message[40:])
            response = await client.read_response()
            assert (response.status, response.headers["connection"]) == (200, "close")
            assert await within_timeout(client.reader.read()) == b""
            client.close()
            await within_timeout(shutdown)

    run_async(work)


@pytest.mark.parametrize("is_completed", [True, False])
def test_partial_body_at_drain_is_accepted_if_it_is_completed_in_time(is_completed: bool) -> None:
    async def work() -> None:
        async with running_sidecar(OK) as harness:
            client = await harness.client()
            message = request_bytes("lodge", body=b"x" * 30_000)
            client.send(message[:-20_000])
            await wait_until(
                lambda: (
                    [connection.is_sending_body for connection in harness.sidecar.downstream._connections]
                    == [True]
                )
            )
            harness.sidecar.downstream.drain()
            if is_completed:
                client.send(message[-20_000:])
                assert (await client.read_response()).status == 200
                assert [len(request.body) for request in harness.requests] == [30_000]
            else:
                harness.sidecar.downstream.close_overdue(asyncio.get_running_loop().time() + 10.0)
                assert (await client.read_response()).status == 408
                assert harness.requests == []
            assert await within_timeout(client.reader.read()) == b""

    run_async(work)


@pytest.mark.parametrize("missing_bytes", [20, 20_000], ids=["head", "body"])
def test_request_that_is_incomplete_at_the_end_of_a_shutdown_is_rejected(missing_bytes: int) -> None:
    # Guards against ending the process, which resets the connection, on a client that is owed an answer.
    async def work() -> None:
        short_deadline = {
            "name": "lodge",
            "giveUpUs": 50_000,
            "promiseUs": 50_000,
            "repeat": "non_idempotent",
        }
        async with running_sidecar(OK, lanes=[short_deadline]) as harness:
            client, downstream = await harness.client(), harness.sidecar.downstream
            message = request_bytes("lodge", body=b"x" * (30_000 if missing_bytes > 20 else 0))
            client.send(message[:-missing_bytes])
            await wait_until(
                lambda: [not connection._reader.is_idle for connection in downstream._connections] == [True]
            )
            shutdown = asyncio.create_task(harness.sidecar.shut_down())
            response = await client.read_response()
            assert (response.status, response.headers["connection"]) == (503, "close")
            assert await within_timeout(client.reader.read()) == b""
            client.close()
            await within_timeout(shutdown)
            assert harness.requests == []

    run_async(work)
