"""Clients sent away and taken again, over loopback sockets."""

from __future__ import annotations

import asyncio

from loopback import OK, Client, Heard, play, request, soon, stage, until

HEALTH = b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"


async def health(client: Client) -> int:
    client.send(HEALTH)
    return (await client.answer()).status


def test_draining_loses_no_request_and_resuming_accepts_clients() -> None:
    async def work() -> None:
        release = asyncio.Event()

        async def hold(heard: Heard) -> bytes:
            await release.wait()
            return OK

        async with stage(hold, console=True) as scene:
            resting, asking = await scene.client(), await scene.client()
            assert await health(resting) == 200
            asking.send(request("lodge"))
            await until(lambda: len(scene.heard) == 1)
            for _ in range(2):  # repeating it changes nothing
                assert (await scene.call("POST", "/api/evacuate"))[0] == 200
            assert (await scene.call("GET", "/api/ready"))[0] == 503
            assert await soon(resting.reader.read()) == b""  # one at rest is let go
            newcomer = await scene.client()  # its sender has not heard yet: it is served
            newcomer.send(request("lodge"))
            await until(lambda: len(scene.heard) == 2)
            release.set()
            for client in (asking, newcomer):
                answer = await client.answer()
                assert (answer.status, answer.headers["connection"]) == (200, "close")
                assert await soon(client.reader.read()) == b""
            assert await health(await scene.client()) == 503
            assert (await scene.call("POST", "/api/rejoin"))[0] == 200
            back = await scene.client()
            assert await health(back) == 200
            answer = await back.ask("lodge")
            assert answer.status == 200 and "connection" not in answer.headers

    play(work)


def test_resume_during_draining_and_shutdown_during_draining() -> None:
    async def work() -> None:
        async with stage(OK, console=True) as scene:
            assert (await scene.call("POST", "/api/rejoin"))[0] == 200  # it was not away
            await scene.call("POST", "/api/evacuate")
            await scene.call("POST", "/api/rejoin")
            assert await health(await scene.client()) == 200
            await scene.call("POST", "/api/evacuate")
            ending = asyncio.create_task(scene.sidecar.shut_down())
            await until(lambda: scene.sidecar.is_shutting_down)
            assert (await scene.call("POST", "/api/rejoin"))[0] == 409
            assert (await scene.call("POST", "/api/evacuate"))[0] == 409
            assert (await scene.ask()).status == 200
            await soon(ending)

    play(work)


def test_draining_keeps_a_new_connection_until_its_first_request() -> None:
    # Guards against requests that cross the close: their sender has opened a connection, and writes next.
    async def work() -> None:
        async with stage(OK, console=True) as scene:
            young = await scene.client()
            await until(lambda: scene.sidecar.downstream.open_connections == 1)
            scene.sidecar.administration.drain_clients()
            assert (await young.ask()).status == 200

    play(work)
