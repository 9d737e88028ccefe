"""Requests with long bodies that a server takes too slowly, or not at all."""

from __future__ import annotations

import asyncio

import pytest
from helpers import BalancerDriver, S, server_names
from loopback import LONG_BODY, endpoint_entry, read_head, request_bytes, run_async, running_sidecar

from balancer.actions import CancelAttempt, Fail, Reject
from balancer.events import RequestArrived, RequestBodyOverdue, ResponseStarted
from sidecar.downstream import body_arrival
from sidecar.downstream.body_arrival import BodyArrival
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
            while not harness.sidecar.administration.metrics()["members"]:
                await asyncio.sleep(0.005)
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


@pytest.mark.parametrize("evidence", ["nothing unread", "socket was emptied"])
def test_client_that_is_still_sending_is_not_waiting(evidence: str) -> None:
    # Guards against ending the requests of slow clients.
    arrival = BodyArrival(1_000_000)
    arrival.record_unread(400_000, 100_000, 5.0)
    if evidence == "nothing unread":
        arrival.record_unread(500_000, 0, 6.0)
    else:
        arrival.record_caught_up()
    assert arrival.waiting_s(6.0) == 0.0


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
