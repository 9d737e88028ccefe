"""The admin interface: requests, metrics, and clients that are slow, silent or don't speak HTTP."""

from __future__ import annotations

import asyncio

import pytest
from loopback import ERROR, OK, ReceivedRequest, run_async, running_sidecar, wait_until, within_timeout

from sidecar import admin_interface
from sidecar.metrics import Metrics


def test_ready_succeeds_while_clients_are_accepted() -> None:
    async def main() -> None:
        async with running_sidecar(OK, has_admin_interface=True) as harness:
            assert (await harness.admin_request("GET", "/api/ready"))[0] == 200
            harness.sidecar.downstream.stop_listening()
            assert (await harness.admin_request("GET", "/api/ready"))[0] == 503

    run_async(main)


def test_metrics_count_responses_by_class_attempts_and_pending_requests() -> None:
    async def main() -> None:
        release = asyncio.Event()

        async def respond(request: ReceivedRequest) -> bytes:
            if request.headers["request-class"] == "lodge":
                return ERROR
            await release.wait()
            return OK

        async with running_sidecar(respond, has_admin_interface=True) as harness:
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
            pending_response = asyncio.create_task(harness.request("check"))
            await wait_until(lambda: len(harness.requests) == 2)
            assert (await harness.metrics())["pending"] == 1
            release.set()
            assert (await pending_response).status == 200
            metrics = await harness.metrics()
            assert metrics["downstream_requests"]["lodge"] == {"completed": 0, "rejected": 0, "failed": 1}
            assert metrics["downstream_requests"]["check"] == {"completed": 1, "rejected": 0, "failed": 0}
            assert (metrics["upstream_requests"], metrics["pending"]) == (2, 0)

    run_async(main)


def test_request_over_the_limit_of_open_requests_counts_as_rejected_once() -> None:
    async def main() -> None:
        async def send_no_response(request: ReceivedRequest) -> None:
            return None

        async with running_sidecar(
            send_no_response, has_admin_interface=True, bounds={"maxOpen": 1}
        ) as harness:
            pending_response = asyncio.create_task(harness.request("check"))
            await wait_until(lambda: len(harness.requests) == 1)
            assert (await harness.request("check")).status == 503
            metrics = await harness.metrics()
            assert metrics["downstream_requests"]["check"] == {"completed": 0, "rejected": 1, "failed": 0}
            assert (metrics["pending"], metrics["upstream_requests"]) == (1, 1)
            pending_response.cancel()

    run_async(main)


def test_both_rejection_statuses_count_as_rejected_and_others_as_failed() -> None:
    metrics = Metrics(["look"])
    for status in (200, 429, 503, 502, 504, 500):
        metrics.response_sent("look", status)
    snapshot = metrics.snapshot(0, 0, 0)
    assert snapshot["downstream_requests"] == {"look": {"completed": 1, "rejected": 2, "failed": 3}}


@pytest.mark.parametrize(
    ("request_data", "status"),
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
def test_invalid_request_gets_an_error_and_the_interface_stays_available(
    request_data: bytes, status: bytes
) -> None:
    async def main() -> None:
        async with running_sidecar(OK, has_admin_interface=True) as harness:
            client = await harness.admin_client()
            client.send(request_data)
            assert (await within_timeout(client.reader.readexactly(12))).endswith(status)
            assert (await harness.admin_request("GET", "/api/ready"))[0] == 200

    run_async(main)


def test_idle_connections_are_limited_and_time_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against idle clients that block the admin interface or use up file descriptors.
    async def main() -> None:
        async with running_sidecar(OK, has_admin_interface=True) as harness:
            idle_clients = [await harness.admin_client() for _ in range(admin_interface.MAX_CONNECTIONS)]
            assert (await harness.admin_request("GET", "/api/ready"))[0] == 200
            # The oldest connection was closed.
            assert await within_timeout(idle_clients[0].reader.read()) == b""
            monkeypatch.setattr(admin_interface, "_CONNECTION_TIMEOUT_S", 0.0)
            silent_client = await harness.admin_client()
            assert await within_timeout(silent_client.reader.read()) == b""

    run_async(main)


def test_incomplete_request_gets_408() -> None:
    async def main() -> None:
        async with running_sidecar(OK, has_admin_interface=True) as harness:
            client = await harness.admin_client()
            client.send(b"GET /api/ready HTTP/1.1\r\nHost: c\r\nContent-Length: 5\r\n\r\nhal")
            assert (await within_timeout(client.reader.readexactly(12))).endswith(b"408")

    run_async(main)
