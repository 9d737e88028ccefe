"""Events that a sidecar passes to the balancer, and actions that it executes, over loopback sockets."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any, TypeVar

import pytest
from loopback import HOST, OK, ReceivedRequest, request_bytes, run_async, running_sidecar, wait_until

from balancer import Settings
from balancer.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    Fail,
    HealthCheck,
    Log,
    PollEndpoints,
    Reject,
    SendAttempt,
    SendPeerMessage,
    SetTimer,
)
from balancer.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointListKind,
    EndpointListReceived,
    Event,
    HealthCheckEnded,
    Outcome,
    PeerMessageReceived,
    RequestArrived,
    TimerFired,
)

T = TypeVar("T")
FAR_DEADLINE = 2**52


class ScriptedBalancer:
    """A balancer whose actions are returned by a function; it records events and their times."""

    def __init__(self, decide: Callable[[Event], list[Action]]) -> None:
        self.decide = decide
        self.events: list[Event] = []
        self.times: list[int] = []
        self._is_handling = False

    def __call__(self, settings: Settings, seed: int) -> ScriptedBalancer:
        return self

    def handle(self, now: int, event: Event) -> list[Action]:
        assert not self._is_handling
        self._is_handling = True
        self.events.append(event)
        self.times.append(now)
        try:
            return self.decide(event)
        finally:
            self._is_handling = False

    def events_of(self, event_type: type[T]) -> list[T]:
        return [event for event in self.events if isinstance(event, event_type)]


@pytest.fixture
def use_balancer(
    monkeypatch: pytest.MonkeyPatch,
) -> Callable[[Callable[[Event], list[Action]]], ScriptedBalancer]:
    def install(decide: Callable[[Event], list[Action]]) -> ScriptedBalancer:
        balancer = ScriptedBalancer(decide)
        monkeypatch.setattr("sidecar.sidecar.Balancer", balancer)
        return balancer

    return install


UseBalancer = Callable[[Callable[[Event], list[Action]]], ScriptedBalancer]


def on_request_arrival(*actions: Callable[[int], Action]) -> Callable[[Event], list[Action]]:
    def decide(event: Event) -> list[Action]:
        return (
            [create_action(event.request) for create_action in actions]
            if isinstance(event, RequestArrived)
            else []
        )

    return decide


def test_final_response_is_sent_at_once_with_decimal_retry_after(use_balancer: UseBalancer) -> None:
    def decide(event: Event) -> list[Action]:
        if not isinstance(event, RequestArrived):
            return []
        number = event.request
        return [Reject(number, 250_000)] if event.service_class == "check" else [Fail(number)]

    async def main() -> None:
        use_balancer(decide)
        async with running_sidecar(OK) as harness:
            rejected = await harness.request("check", timeout="9000")
            assert (rejected.status, rejected.headers["retry-after"]) == (503, "0.250")
            failed = await harness.request("lodge", timeout="9000")
            assert failed.status in (502, 504) and "retry-after" not in failed.headers
            assert harness.requests == [] and harness.sidecar.open_requests == 0

    run_async(main)


def test_cancelled_attempt_ends_once_and_its_connection_is_closed(use_balancer: UseBalancer) -> None:
    def decide(event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            return [SendAttempt(event.request, "s-0", FAR_DEADLINE), SetTimer(50_000, "later")]
        if isinstance(event, TimerFired):
            return [CancelAttempt(1, 0), CancelAttempt(1, 0), CancelAttempt(9, 0), CancelAttempt(1, 7)]
        return [Fail(event.request)] if isinstance(event, AttemptEnded) else []

    async def main() -> None:
        balancer = use_balancer(decide)
        async with running_sidecar(None) as harness:
            assert (await harness.request("lodge")).status == 502
            (ended_event,) = balancer.events_of(AttemptEnded)
            assert (ended_event.outcome, ended_event.is_request_answered, ended_event.server) == (
                Outcome.CANCELLED,
                False,
                "s-0",
            )
            await wait_until(lambda: harness.servers[0].closed_connections == [0])
            assert balancer.events_of(TimerFired)[0].token == "later"
            assert balancer.times == sorted(balancer.times)

    run_async(main)


def test_attempt_time_excludes_time_in_the_socket_buffer(
    use_balancer: UseBalancer, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against concurrency windows that shrink, and servers that are considered slow, because this
    # process is busy.
    async def main() -> None:
        balancer = use_balancer(on_request_arrival(lambda number: SendAttempt(number, "s-0", FAR_DEADLINE)))
        monkeypatch.setattr(
            "sidecar.connection_socket.ConnectionSocket.unread_us", lambda connection: 3_600_000_000
        )
        async with running_sidecar(OK) as harness:
            assert (await harness.request()).status == 200
            (ended_event,) = balancer.events_of(AttemptEnded)
            assert (ended_event.outcome, ended_event.elapsed_us) == (Outcome.DELIVERED, 0)

    run_async(main)


def test_first_delivery_is_the_response_and_every_attempt_ends(use_balancer: UseBalancer) -> None:
    async def main() -> None:
        balancer = use_balancer(
            on_request_arrival(
                lambda number: SendAttempt(number, "s-0", FAR_DEADLINE),
                lambda number: SendAttempt(number, "s-1", FAR_DEADLINE),
                lambda number: SendAttempt(number, "unheard-of", FAR_DEADLINE),
                lambda number: SendAttempt(number, "s-0", 1),
            )
        )
        async with running_sidecar(OK, OK) as harness:
            assert (await harness.request()).body == b"served"
            await wait_until(lambda: len(balancer.events_of(AttemptEnded)) == 4)
            ended = {event.attempt: event for event in balancer.events_of(AttemptEnded)}
            assert [ended[number].outcome for number in range(4)] == [
                Outcome.DELIVERED,
                Outcome.DELIVERED,
                Outcome.NOT_SENT,
                Outcome.NOT_SENT,
            ]
            assert all(event.is_request_answered for event in (ended[0], ended[1]))
            assert harness.sidecar.open_requests == 0

    run_async(main)


def test_client_disconnect_is_dispatched_to_the_balancer(use_balancer: UseBalancer) -> None:
    async def main() -> None:
        balancer = use_balancer(on_request_arrival(lambda number: SendAttempt(number, "s-0", FAR_DEADLINE)))
        release = asyncio.Event()

        async def respond_on_release(request: ReceivedRequest) -> bytes:
            await release.wait()
            return OK

        async with running_sidecar(respond_on_release) as harness:
            client = await harness.client()
            client.send(request_bytes("check"))
            await wait_until(lambda: len(harness.requests) == 1)
            client.close()
            await wait_until(lambda: balancer.events_of(ClientDisconnected) == [ClientDisconnected(1)])
            release.set()
            await wait_until(lambda: len(balancer.events_of(AttemptEnded)) == 1)
            assert balancer.events_of(AttemptEnded)[0].is_request_answered

    run_async(main)


@pytest.mark.parametrize("place", ["header", "body"])
def test_health_check_returns_its_load_report(use_balancer: UseBalancer, place: str) -> None:
    async def respond_with_report(request: ReceivedRequest) -> bytes:
        text = b"TEXT qps=7, util=0.5"
        if place == "header":
            return b"HTTP/1.1 200 OK\r\nServer-Load: %s\r\nContent-Length: 0\r\n\r\n" % text
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text)

    async def main() -> None:
        balancer = use_balancer(
            lambda event: [HealthCheck("s-0")] if isinstance(event, RequestArrived) else []
        )
        async with running_sidecar(respond_with_report, bounds={"probing": True}) as harness:
            (await harness.client()).send(request_bytes())
            await wait_until(lambda: len(balancer.events_of(HealthCheckEnded)) == 1)
            ended_event = balancer.events_of(HealthCheckEnded)[0]
            assert (ended_event.server, ended_event.outcome) == ("s-0", Outcome.DELIVERED)
            assert ended_event.load_report == {"qps": 7.0, "util": 0.5}
            assert harness.requests[0].target == "/_load" and "request-id" not in harness.requests[0].headers

    run_async(main)


def test_actions_close_idle_connections_poll_endpoints_and_log(use_balancer: UseBalancer) -> None:
    def decide(event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            return [SendAttempt(event.request, "s-0", FAR_DEADLINE)]
        if isinstance(event, AttemptEnded):
            return [
                CloseIdleConnections("s-0"),
                CloseIdleConnections("unheard-of"),
                PollEndpoints(),
                Log("a line"),
            ]
        return []

    async def main() -> None:
        balancer = use_balancer(decide)
        async with running_sidecar(OK) as harness:
            assert (await harness.request()).status == 200
            await wait_until(lambda: harness.servers[0].closed_connections == [0])
            await wait_until(lambda: len(balancer.events_of(EndpointListReceived)) == 2)
            assert [event.kind for event in balancer.events_of(EndpointListReceived)] == [
                EndpointListKind.CACHED,
                EndpointListKind.COMPLETE,
            ]
            assert harness.discovery.requests[0].target == "/catalog/members"
            assert harness.log == ["a line"]

    run_async(main)


def test_peer_message_reaches_the_other_sidecar(use_balancer: UseBalancer) -> None:
    async def main() -> None:
        balancer = use_balancer(
            lambda event: (
                [SendPeerMessage(1, b"hi"), SendPeerMessage(1, b"x" * 257)]
                if isinstance(event, RequestArrived)
                else []
            )
        )
        loop = asyncio.get_running_loop()
        received: asyncio.Queue[tuple[bytes, tuple[str, int]]] = asyncio.Queue()

        class Receiver(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
                received.put_nowait((data, addr))

        receiver_transport, _ = await loop.create_datagram_endpoint(Receiver, local_addr=(HOST, 0))
        receiver_address = receiver_transport.get_extra_info("sockname")
        port_reservation, _ = await loop.create_datagram_endpoint(Receiver, local_addr=(HOST, 0))
        sidecar_address = port_reservation.get_extra_info("sockname")
        port_reservation.close()
        await asyncio.sleep(0)
        configuration: dict[str, Any] = {
            "peer_listen": f"{sidecar_address[0]}:{sidecar_address[1]}",
            "peers": [
                f"{sidecar_address[0]}:{sidecar_address[1]}",
                f"{receiver_address[0]}:{receiver_address[1]}",
            ],
            "membership": {"on": False},
        }
        async with running_sidecar(OK, configuration=configuration, bounds={"mayTell": True}) as harness:
            (await harness.client()).send(request_bytes())
            data, sender = await received.get()
            assert (data, sender) == (b"hi", sidecar_address)
            assert harness.log == ["peer_message_not_sent: no such peer, or over 256 bytes"]
            receiver_transport.sendto(b"back", sidecar_address)
            await wait_until(
                lambda: balancer.events_of(PeerMessageReceived) == [PeerMessageReceived(1, b"back")]
            )
        receiver_transport.close()

    run_async(main)


def test_exception_in_the_balancer_fails_only_its_request(use_balancer: UseBalancer) -> None:
    # Guards against a request that is never answered after an exception in the balancer.
    def decide(event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            if event.service_class == "lodge":
                raise ZeroDivisionError
            return [SendAttempt(event.request, "s-0", FAR_DEADLINE)]
        return []

    async def main() -> None:
        use_balancer(decide)
        async with running_sidecar(OK) as harness:
            assert (await harness.request("lodge")).status == 500
            assert (await harness.request("check")).status == 200
            assert harness.log == ["internal_error: RequestArrived: ZeroDivisionError()"]

    run_async(main)


def test_sidecar_survives_corrupted_requests_and_responses() -> None:
    random_source = random.Random(20)

    def corrupt(text: bytes) -> bytes:
        data = bytearray(text)
        for _ in range(random_source.randint(1, 6)):
            position = random_source.randrange(len(data))
            data[position : position + random_source.randint(0, 4)] = random_source.randbytes(
                random_source.randint(0, 4)
            )
        return bytes(data)

    async def respond_corrupted(request: ReceivedRequest) -> bytes:
        return corrupt(OK + OK) if random_source.random() < 0.7 else OK

    async def main() -> None:
        errors: list[dict[str, Any]] = []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: errors.append(context))
        async with running_sidecar(respond_corrupted, respond_corrupted, respond_corrupted) as harness:
            for number in range(150):
                client = await harness.client()
                service_class = ("check", "amend", "lodge")[number % 3]
                client.send(
                    corrupt(
                        request_bytes(
                            service_class, timeout="0.2", body=b"" if service_class == "check" else b"body"
                        )
                    )
                )
                client.writer.write_eof()
                await client.reader.read()
                client.close()
            await wait_until(lambda: harness.sidecar.open_requests == 0)
            harness.servers[0].script = harness.servers[1].script = harness.servers[2].script = OK
            await wait_until(lambda: harness.sidecar.downstream.open_connections == 0)
            assert not [entry for entry in harness.log if "internal" in entry]
            client = await harness.client()
            client.send(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (await client.read_response()).status == 200
        assert [
            entry for entry in errors if "sidecar" in repr(entry) or "protocol." in entry["message"]
        ] == []

    run_async(main)
