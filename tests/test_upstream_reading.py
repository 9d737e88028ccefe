"""When a connection to a server is read: pauses by slow clients, and fairness among connections."""

from __future__ import annotations

import asyncio

import pytest
from loopback import (
    HOST,
    LONG_BODY,
    ScriptedServer,
    endpoint_entry,
    http_response,
    request_bytes,
    run_async,
    running_sidecar,
    wait_until,
)
from upstream_harness import UpstreamHarness

from balancer.events import Outcome
from sidecar.downstream.connection import DownstreamConnection
from sidecar.upstream.http_exchange import Response, UpstreamConnection

BODY = LONG_BODY[:70_000]


class SinkThatFillsAtTheEnd:
    """Accepts a response, but wants no more after its last byte."""

    def __init__(self, beginning: bytes) -> None:
        self.received_bytes = len(beginning)

    def write(self, data: bytes) -> bool:
        self.received_bytes += len(data)
        return self.received_bytes < len(BODY)


def test_connection_whose_response_ended_in_a_pause_is_read_again() -> None:
    # Guards against requests that time out because the client of an earlier one had paused their connection.
    async def work() -> None:
        harness = UpstreamHarness(await ScriptedServer(http_response(BODY)).start())

        def start_streaming(
            _source: UpstreamConnection, beginning: Response, _length: int | None
        ) -> SinkThatFillsAtTheEnd:
            return SinkThatFillsAtTheEnd(beginning.body)

        for _ in range(2):
            assert await harness.attempt(start_streaming) is Outcome.DELIVERED
        assert harness.server.connection_count == 1
        harness.close()

    run_async(work)


def test_connection_with_a_flood_of_small_chunks_is_read_once_in_an_iteration(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against clients that get their responses late because another one sends as fast as it can.
    reads_by_iteration: list[int] = [0]
    data_received = DownstreamConnection.data_received

    def count_read(connection: DownstreamConnection, data: bytes) -> None:
        reads_by_iteration[-1] += len(data) == connection.max_read_bytes
        data_received(connection, data)

    monkeypatch.setattr(DownstreamConnection, "data_received", count_read)

    async def count_iterations() -> None:
        while True:
            reads_by_iteration.append(0)
            await asyncio.sleep(0)

    async def read_everything(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
        while await reader.read(1 << 16):
            pass

    async def work() -> None:
        listener = await asyncio.start_server(read_everything, HOST, 0)
        async with running_sidecar(is_listed=False) as harness:
            address = f"{HOST}:{listener.sockets[0].getsockname()[1]}"
            harness.discovery.send_changes(endpoint_entry("s-0", address))
            await wait_until(lambda: harness.sidecar.administration.metrics()["members"] == 1)
            counting = asyncio.ensure_future(count_iterations())
            client = await harness.client()
            head = request_bytes("lodge", Content_Length="", Transfer_Encoding="chunked")
            client.send(head + b"1\r\nx\r\n" * 500_000)
            await wait_until(lambda: sum(reads_by_iteration) >= 30)
            counting.cancel()
        listener.close()
        assert max(reads_by_iteration) == 1

    run_async(work)
