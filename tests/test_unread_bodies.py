"""Requests with long bodies that a server takes too slowly, or not at all."""

from __future__ import annotations

import asyncio
import socket

import pytest
from helpers import BalancerDriver, S, server_names
from loopback import (
    LONG_BODY,
    OK,
    endpoint_entry,
    read_head,
    request_bytes,
    run_async,
    running_sidecar,
    wait_until,
)

from balancer.actions import CancelAttempt, Fail, Reject
from balancer.events import RequestArrived, RequestBodyOverdue, ResponseStarted
from sidecar.downstream import body_arrival
from sidecar.downstream.body_arrival import BodyArrival
from sidecar.downstream.body_streaming import Upload
from sidecar.memory_budget import MemoryBudget
from sidecar.upstream import upstream

BUFFER = body_arrival.MAX_CLIENT_SEND_BUFFER_BYTES
BODY = LONG_BODY * 4  # more than the system buffers on the way to a server
TIMEOUT_S = 0.3


class SlowReader:
    """A server that reads bodies in small pieces with pauses, or not at all."""

    def __init__(self, piece_bytes: int) -> None:
        self.piece_bytes = piece_bytes
        self.read_bytes = 0

    async def start(self) -> asyncio.Server:
        return await asyncio.start_server(self._serve, "127.0.0.1", 0)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await read_head(reader)
            while True:
                await asyncio.sleep(0.01)
                if self.piece_bytes:
                    self.read_bytes += len(await reader.readexactly(self.piece_bytes))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


@pytest.mark.parametrize("piece_bytes", [0, 1_024], ids=["hung", "slow"])
def test_request_whose_server_does_not_take_its_body_in_time_is_answered(
    piece_bytes: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against an answer that comes seconds after its time, because the time of a request only began
    # when the sidecar could read its last byte.
    monkeypatch.setattr(upstream, "STALL_TIMEOUT_S", 3_600.0)
    monkeypatch.setattr(body_arrival, "MAX_CLIENT_SEND_BUFFER_BYTES", len(BODY))

    async def work() -> None:
        server = SlowReader(piece_bytes)
        listener = await server.start()
        async with running_sidecar(is_listed=False) as harness:
            port = listener.sockets[0].getsockname()[1]
            harness.discovery.send_changes(endpoint_entry("s-0", f"127.0.0.1:{port}"))
            await wait_until(lambda: harness.sidecar.administration.metrics()["members"] == 1)
            client = await harness.client()
            client.send(request_bytes("lodge", body=BODY, timeout=str(TIMEOUT_S)))
            assert (await client.read_response()).status == 504
            assert server.read_bytes < len(BODY)
            assert harness.sidecar.unanswered_requests == 0
        listener.close()

    run_async(work)


def test_time_counts_while_the_rest_of_a_body_is_unread() -> None:
    arrival = BodyArrival(1_000_000)
    arrival.record_unread(400_000, 100_000, 5.0)
    assert arrival.waiting_s(5.5) == 0.5
    arrival.record_unread(600_000, 50_000, 6.0)
    assert arrival.waiting_s(7.0) == 2.0


def test_client_that_is_still_sending_is_not_waiting() -> None:
    # Guards against ending the requests of slow clients.
    arrival = BodyArrival(1_000_000)
    arrival.record_unread(400_000, 100_000, 5.0)
    arrival.record_empty()
    arrival.record_empty()
    assert arrival.waiting_s(6.0) == 0.0


def test_socket_that_is_empty_for_a_moment_proves_nothing() -> None:
    # Guards against counting the time anew because the client's system was slower than a burst of reads.
    arrival = BodyArrival(1_000_000)
    arrival.record_unread(400_000, 100_000, 5.0)
    for now in (6.0, 7.0):
        arrival.record_empty()
        arrival.record_unread(500_000, 100_000, now)
    assert arrival.waiting_s(8.0) == 3.0


def test_client_whose_rest_exceeds_its_send_buffer_is_not_waiting() -> None:
    # Guards against ending long requests that a server is still taking.
    arrival = BodyArrival(BUFFER + 500_000)
    arrival.record_unread(300_000, 100_000, 5.0)
    assert arrival.waiting_s(9.0) == 0.0
    arrival.record_unread(450_000, 100_000, 9.0)
    assert arrival.waiting_s(9.5) == 0.5


def test_time_of_a_body_of_unknown_length_counts_anew_after_more_than_a_send_buffer() -> None:
    arrival = BodyArrival(None)
    arrival.record_unread(0, 100_000, 5.0)
    arrival.record_unread(BUFFER, 100_000, 5.4)
    assert arrival.waiting_s(5.5) == 0.5
    arrival.record_unread(BUFFER + 1, 100_000, 5.6)
    assert arrival.waiting_s(6.0) == pytest.approx(0.4)


def arrive(driver: BalancerDriver, number: int, service_class: str) -> int:
    driver.handle(RequestArrived(number, service_class, None, None, S, is_body_streaming=True))
    return number


@pytest.mark.parametrize(("service_class", "action"), [("look", Reject), ("pay", Fail)])
def test_overdue_body_ends_its_request(service_class: str, action: type[Reject] | type[Fail]) -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(3))
    request = arrive(driver, 900, service_class)
    driver.handle(RequestBodyOverdue(request))
    assert [each.request for each in driver.actions_of(action)] == [request]
    assert [each.request for each in driver.actions_of(CancelAttempt)] == [request]
    driver.handle(RequestBodyOverdue(request))
    assert len(driver.actions_of(action)) == 1


def test_overdue_body_whose_response_has_begun_ends_nothing() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(3))
    request = arrive(driver, 900, "pay")
    driver.handle(ResponseStarted(request, 0, driver.target(request), 0))
    driver.handle(RequestBodyOverdue(request))
    assert driver.actions_of(Fail) == []


def test_server_that_takes_no_bodies_is_ejected() -> None:
    # Guards against sending ever more long requests to a server that hangs.
    driver = BalancerDriver()
    driver.receive_list(server_names(4))
    driver.serve_traffic(40)
    hung = driver.target(arrive(driver, 900, "pay"))
    requests = [900]
    while sum(driver.target(request) == hung for request in requests) < 2:
        requests.append(arrive(driver, requests[-1] + 1, "pay"))
    driver.wait(S)
    for request in requests:
        if driver.target(request) == hung:
            driver.handle(RequestBodyOverdue(request))
    assert driver.balancer.endpoint_counts().unavailable == 1


class GatedReader:
    """A server that reads bodies from the moment it is told to, and then answers."""

    def __init__(self) -> None:
        self.may_read = asyncio.Event()
        self.body_bytes = 0

    async def start(self) -> asyncio.Server:
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 << 10)
        listening.bind(("127.0.0.1", 0))
        return await asyncio.start_server(self._serve, sock=listening)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _, headers = await read_head(reader)
        await self.may_read.wait()
        self.body_bytes = len(await reader.readexactly(int(headers["content-length"])))
        writer.write(OK)
        writer.close()


def test_request_whose_client_is_still_sending_is_not_ended() -> None:
    # Guards against taking the last byte for sent while the server is slow, though the client is slow too.
    body = BODY[: 8 << 20]

    async def work() -> None:
        server = GatedReader()
        listener = await server.start()
        limits = {"cores": 1.0, "memory_mb": 16 * len(body) >> 20, "sockets": 1_024}
        async with running_sidecar(is_listed=False, configuration={"limits": limits}) as harness:
            port = listener.sockets[0].getsockname()[1]
            harness.discovery.send_changes(endpoint_entry("s-0", f"127.0.0.1:{port}"))
            await wait_until(lambda: harness.sidecar.administration.metrics()["members"] == 1)
            client = await harness.client()
            request = request_bytes("lodge", body=body, timeout=str(TIMEOUT_S))
            client.send(request[:-1])
            memory = harness.sidecar.downstream.upload_memory
            await wait_until(lambda: memory.used_bytes > 0)
            await asyncio.sleep(3 * TIMEOUT_S)
            assert harness.sidecar.unanswered_requests == 1
            server.may_read.set()
            await wait_until(lambda: memory.used_bytes == 0)
            client.send(request[-1:])
            assert (await client.read_response()).status == 200
            assert server.body_bytes == len(body)
        listener.close()

    run_async(work)


class ClosedSink:
    """A sink that can't take more; it keeps what it is given."""

    def __init__(self) -> None:
        self.received_bytes = 0

    def send_body(self, data: bytes) -> bool:
        self.received_bytes += len(data)
        return False

    def end_body(self) -> None:
        pass


def test_uploads_read_on_within_their_memory() -> None:
    calls: list[str] = []
    memory = MemoryBudget(100_000)
    upload = Upload(None, lambda: calls.append("pause"), lambda: calls.append("resume"), memory)
    sink = ClosedSink()
    upload.attach(sink)
    upload.feed(bytes(100_000))
    assert "pause" not in calls
    upload.feed(b"x")
    assert calls[-1] == "pause" and memory.used_bytes == 100_001
    upload.resume()
    assert calls[-1] == "resume" and memory.used_bytes == 0
    upload.feed(bytes(1_000))
    upload.detach(sink)
    assert memory.used_bytes == 0


def test_uploads_that_wait_for_a_connection_share_their_memory() -> None:
    # Guards against a process that is killed for its memory while servers accept connections late.
    calls: list[str] = []
    memory = MemoryBudget(50_000)
    uploads = [Upload(None, lambda: calls.append("pause"), lambda: None, memory) for _ in range(2)]
    uploads[0].feed(bytes(40_000))
    assert calls == []
    uploads[1].feed(bytes(40_000))
    assert calls == ["pause"] and memory.used_bytes == 80_000
    uploads[0].discard()
    uploads[1].attach(ClosedSink())
    uploads[1].release_memory()
    assert memory.used_bytes == 0
