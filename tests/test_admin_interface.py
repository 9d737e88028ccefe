"""The admin interface: its requests, its metrics, and clients that are slow, silent or send no HTTP."""

from __future__ import annotations

import asyncio

import pytest
from loopback import ERROR, OK, Heard, play, soon, stage, until

from sidecar import admin_interface
from sidecar.metrics import Metrics


def test_ready_succeeds_while_clients_are_accepted() -> None:
    async def work() -> None:
        async with stage(OK, console=True) as scene:
            assert (await scene.call("GET", "/api/ready"))[0] == 200
            scene.sidecar.downstream.stop_listening()
            assert (await scene.call("GET", "/api/ready"))[0] == 503

    play(work)


def test_metrics_count_responses_by_class_attempts_and_pending_requests() -> None:
    async def work() -> None:
        release = asyncio.Event()

        async def script(heard: Heard) -> bytes:
            if heard.headers["request-class"] == "lodge":
                return ERROR
            await release.wait()
            return OK

        async with stage(script, console=True) as scene:
            assert await scene.figures() == {
                "downstream_requests": {
                    name: {"completed": 0, "rejected": 0, "failed": 0} for name in ("check", "amend", "lodge")
                },
                "upstream_requests": 0,
                "pending": 0,
                "members": 1,
                "members_unavailable": 0,
            }
            assert (await scene.ask("lodge")).status == 502
            waiting = asyncio.create_task(scene.ask("check"))
            await until(lambda: len(scene.heard) == 2)
            assert (await scene.figures())["pending"] == 1
            release.set()
            assert (await waiting).status == 200
            figures = await scene.figures()
            assert figures["downstream_requests"]["lodge"] == {"completed": 0, "rejected": 0, "failed": 1}
            assert figures["downstream_requests"]["check"] == {"completed": 1, "rejected": 0, "failed": 0}
            assert (figures["upstream_requests"], figures["pending"]) == (2, 0)

    play(work)


def test_request_over_the_limit_of_open_requests_counts_as_rejected_once() -> None:
    async def work() -> None:
        async def silent(heard: Heard) -> None:
            return None

        async with stage(silent, console=True, bounds={"maxOpen": 1}) as scene:
            held = asyncio.create_task(scene.ask("check"))
            await until(lambda: len(scene.heard) == 1)
            assert (await scene.ask("check")).status == 503
            figures = await scene.figures()
            assert figures["downstream_requests"]["check"] == {"completed": 0, "rejected": 1, "failed": 0}
            assert (figures["pending"], figures["upstream_requests"]) == (1, 1)
            held.cancel()

    play(work)


def test_both_rejection_statuses_count_as_rejected_and_others_as_failed() -> None:
    metrics = Metrics(["look"])
    for status in (200, 429, 503, 502, 504, 500):
        metrics.response_sent("look", status)
    figures = metrics.snapshot(0, 0, 0)
    assert figures["downstream_requests"] == {"look": {"completed": 1, "rejected": 2, "failed": 3}}


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"GET /nowhere HTTP/1.1\r\nHost: c\r\n\r\n", b"404"),
        (b"POST /api/ready HTTP/1.1\r\nHost: c\r\n\r\n", b"405"),
        (b"HEAD /api/telemetry HTTP/1.1\r\nHost: c\r\n\r\n", b"405"),
        (b"nonsense\r\n\r\n", b"400"),
        (
            b"GET /api/ready HTTP/1.1\r\nHost: c\r\nContent-Length:1\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"400",
        ),
        (b"GET /api/ready HTTP/1.1\r\nHost: c\r\nContent-Length: 9000\r\n\r\n" + 9000 * b"x", b"413"),
        (b"GET /api/ready HTTP/1.1\r\nHost: c\r\nX: " + 70_000 * b"x", b"431"),
    ],
    ids=lambda value: repr(value)[:40],
)
def test_invalid_request_gets_an_error_and_the_interface_stays_available(sent: bytes, status: bytes) -> None:
    async def work() -> None:
        async with stage(OK, console=True) as scene:
            caller = await scene.operator()
            caller.send(sent)
            assert (await soon(caller.reader.readexactly(12))).endswith(status)
            assert (await scene.call("GET", "/api/ready"))[0] == 200

    play(work)


def test_connections_without_a_request_are_bounded_and_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against idle clients: they must block neither the interface nor descriptors.
    async def work() -> None:
        async with stage(OK, console=True) as scene:
            idle = [await scene.operator() for _ in range(admin_interface.MAX_CONNECTIONS)]
            assert (await scene.call("GET", "/api/ready"))[0] == 200
            assert await soon(idle[0].reader.read()) == b""  # the oldest
            monkeypatch.setattr(admin_interface, "_CONNECTION_TIMEOUT_S", 0.0)
            mute = await scene.operator()
            assert await soon(mute.reader.read()) == b""

    play(work)


def test_incomplete_request_gets_408() -> None:
    async def work() -> None:
        async with stage(OK, console=True) as scene:
            caller = await scene.operator()
            caller.send(b"GET /api/ready HTTP/1.1\r\nHost: c\r\nContent-Length: 5\r\n\r\nhal")
            assert (await soon(caller.reader.readexactly(12))).endswith(b"408")

    play(work)
