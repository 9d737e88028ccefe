"""A relay that does part of a sidecar: `python -m bench.staged relay|framed|decided PORT SERVER...`.

relay: bytes pass on, unread, a connection to a server for each client's.  framed: and messages are read,
checked and worded anew, both ways, by the sidecar's own codec.  decided: and each request and its end go
through the decisions, with their timer.  What a sidecar costs beyond the last is its sockets' side: open
requests, pool, checks of sockets before writing, timers of calls.
"""

from __future__ import annotations

import asyncio
import itertools
import sys
import time
from collections.abc import Iterator, Sequence

import uvloop

from balancer import Balancer
from balancer.actions import Action, SendAttempt, SetTimer
from balancer.events import AttemptEnded, EndpointListKind, Event, Outcome, RequestArrived, TimerFired
from balancer.settings_wire import settings_from_wire
from bench.__main__ import SETTINGS
from bench.listed import listed
from bench.process import HOST
from bench.relay import Client, End, relay
from sidecar.discovery.endpoint_list import parse_endpoint_list
from sidecar.downstream.request_parsing import parse_request
from sidecar.http import RequestHead, RequestReader, ResponseHead, ResponseReader, Signal, request_head
from sidecar.http.writer import response_head

_SETTINGS = settings_from_wire({**SETTINGS, "zone": "z0"})
_CLASSES = {each.name: each for each in _SETTINGS.classes}


class Decisions:
    """The decisions of this process, and their one timer."""

    def __init__(self, ports: Sequence[int]) -> None:
        self._balancer = Balancer(_SETTINGS, 1)
        self._number = 0
        known = listed(ports)
        self._play(parse_endpoint_list(known).event(EndpointListKind.CACHED))
        self._play(parse_endpoint_list(known).event())

    def arrived(self, key: int | None, remaining_us: int) -> tuple[int, str]:
        """A request came: its number, and the server that it is for."""
        self._number += 1
        sent = self._play(RequestArrived(self._number, "get", None, key, remaining_us))
        return self._number, sent or ""

    def ended(self, request: int, server: str, took_us: int) -> None:
        self._play(AttemptEnded(request, 0, server, Outcome.DELIVERED, took_us, True))

    def _play(self, event: Event) -> str | None:
        """Bring an event; give the server that something is sent to."""
        sent = None
        actions: list[Action] = self._balancer.handle(time.time_ns() // 1_000, event)
        for action in actions:
            if isinstance(action, SendAttempt):
                sent = action.server
            elif isinstance(action, SetTimer):
                loop = asyncio.get_running_loop()
                loop.call_later(action.delay_us / 1e6, self._play, TimerFired(action.token))
        return sent


class FramedEnd(End):
    """A connection to a server whose answers are read and worded anew."""

    def __init__(self, client: FramedClient) -> None:
        super().__init__()
        self._client = client
        self._reader = ResponseReader()
        self._head: ResponseHead | None = None
        self._body = b""

    def data_received(self, data: bytes) -> None:
        self._reader.receive(data)
        while (event := self._reader.next_event()) is not Signal.NEED_DATA:
            if isinstance(event, ResponseHead):
                self._head, self._body = event, b""
            elif isinstance(event, bytes):
                self._body += event
            else:
                assert self._head is not None
                self._reader.start_next()
                self._client.answered(self._head, self._body)
                return


class FramedClient(Client):
    """A client's connection whose requests are read, checked and worded anew."""

    def __init__(self, servers: Iterator[tuple[str, int]], decisions: Decisions | None) -> None:
        super().__init__(servers)
        self._decisions = decisions
        self._reader = RequestReader()
        self._head: RequestHead | None = None
        self._open = (0, "", 0.0)  # request, server, since when

    async def _dial(self) -> None:
        make = asyncio.get_running_loop().create_connection(lambda: FramedEnd(self), *next(self._servers))
        _, far = await make
        far.other, self.other = self, far
        if self.early and far.transport is not None:
            far.transport.write(self.early)

    def data_received(self, data: bytes) -> None:
        self._reader.receive(data)
        while (event := self._reader.next_event()) is not Signal.NEED_DATA:
            if isinstance(event, RequestHead):
                self._head = event
            elif event is Signal.END:
                self._taken()
                return

    def _taken(self) -> None:
        assert self._head is not None
        incoming = parse_request(self._head, b"", _CLASSES, frozenset())
        if self._decisions is not None:
            number, server = self._decisions.arrived(incoming.affinity_key, incoming.remaining_us)
            self._open = number, server, time.monotonic()
        message = incoming.to_outgoing(incoming.remaining_us)
        super().data_received(request_head(message.method, message.target, message.headers))

    def answered(self, head: ResponseHead, body: bytes) -> None:
        self._reader.start_next()
        headers = [*head.headers[:1], (b"content-length", b"%d" % len(body))]
        if self.transport is not None:
            self.transport.write(response_head(head.status, headers) + body)
        if self._decisions is not None:
            number, server, since = self._open
            self._decisions.ended(number, server, int((time.monotonic() - since) * 1e6))


async def framed(port: int, servers: Sequence[int], *, decides: bool) -> None:
    turn = itertools.cycle((HOST, each) for each in servers)
    decisions = Decisions(servers) if decides else None
    loop = asyncio.get_running_loop()
    await loop.create_server(lambda: FramedClient(turn, decisions), HOST, port)
    await loop.run_in_executor(None, sys.stdin.read)


def main() -> None:
    what, port, *servers = sys.argv[1], *map(int, sys.argv[2:])
    uvloop.run(relay(port, servers) if what == "relay" else framed(port, servers, decides=what == "decided"))


if __name__ == "__main__":
    main()
