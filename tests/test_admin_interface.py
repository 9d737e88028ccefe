"""The admin interface: its requests, its metrics, and clients that are slow, silent or send no HTTP."""

from __future__ import annotations

import asyncio

import pytest
from loopback import ERROR, OK, ReceivedRequest, run_async, running_sidecar, wait_until, within_timeout

from sidecar import admin_interface
from sidecar.metrics import Metrics


def test_ready_succeeds_while_clients_are_accepted() -> None:
    async def work() -> None:
        async with running_sidecar(OK, has_admin_interface=True) as harness:
            assert (await harness.admin_request("GET", "/api/ready"))[0] == 200
            harness.sidecar.downstream.stop_listening()
            assert (await harness.admin_request("GET", "/api/ready"))[0] == 503

    run_async(work)


def test_metrics_count_responses_by_class_attempts_and_pending_requests() -> None:
    async def work() -> None:
        release = asyncio.Event()

        async def script(heard: ReceivedRequest) -> bytes:
            if heard.headers["request-class"] == "lodge":
                return ERROR
            await release.wait()
            return OK

        async with running_sidecar(script, has_admin_interface=True) as harness:
            assert await harness.metrics() == {
                "downstream_requests": {
                    name: {"completed": 0, "rejected": 0, "failed": 0} for name in ("check", "amend", "lodge")
                },
                "upstream_requests": 0,
                "pending": 0,
                "members": 1,
                "members_unavailable": 0,
            }
            assert (await harness.request("lodge")).status == 502
            waiting = asyncio.create_task(harness.request("check"))
            await wait_until(lambda: len(harness.requests) == 2)
            assert (await harness.metrics())["pending"] == 1
            release.set()
            assert (await waiting).status == 200
            figures = await harness.metrics()
            assert figures["downstream_requests"]["lodge"] == {"completed": 0, "rejected": 0, "failed": 1}
            assert figures["downstream_requests"]["check"] == {"completed": 1, "rejected": 0, "failed": 0}
            assert (figures["upstream_requests"], figures["pending"]) == (2, 0)

    run_async(work)


def test_request_over_the_limit_of_open_requests_counts_as_rejected_once() -> None:
    async def work() -> None:
        async def silent(heard: ReceivedRequest) -> None:
            return None

        async with running_sidecar(silent, has_admin_interface=True, bounds={"maxOpen": 1}) as harness:
            held = asyncio.create_task(harness.request("check"))
            await wait_until(lambda: len(harness.requests) == 1)
            assert (await harness.request("check")).status == 503
            figures = await harness.metrics()
            assert figures["downstream_requests"]["check"] == {"completed": 0, "rejected": 1, "failed": 0}
            assert (figures["pending"], figures["upstream_requests"]) == (1, 1)
            held.cancel()

    run_async(work)


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
        async with running_sidecar(OK, has_admin_interface=True) as harness:
            caller = await harness.admin_client()
            caller.send(sent)
            assert (await within_timeout(caller.reader.readexactly(12))).endswith(status)
            assert (await harness.admin_request("GET", "/api/ready"))[0] == 200

    run_async(work)


def test_connections_without_a_request_are_bounded_and_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against idle clients: they must block neither the interface nor descriptors.
    async def work() -> None:
        async with running_sidecar(OK, has_admin_interface=True) as harness:
            idle = [await harness.admin_client() for _ in range(admin_interface.MAX_CONNECTIONS)]
            assert (await harness.admin_request("GET", "/api/ready"))[0] == 200
            assert await within_timeout(idle[0].reader.read()) == b""  # the oldest
            monkeypatch.setattr(admin_interface, "_CONNECTION_TIMEOUT_S", 0.0)
            mute = await harness.admin_client()
            assert await within_timeout(mute.reader.read()) == b""

    run_async(work)


def test_incomplete_request_gets_408() -> None:
    async def work() -> None:
        async with running_sidecar(OK, has_admin_interface=True) as harness:
            caller = await harness.admin_client()
            caller.send(b"GET /api/ready HTTP/1.1\r\nHost: c\r\nContent-Length: 5\r\n\r\nhal")
            assert (await within_timeout(caller.reader.readexactly(12))).endswith(b"408")

    run_async(work)
