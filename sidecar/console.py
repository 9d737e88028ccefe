"""The operators' door: HTTP on an address of its own, one call to a connection.

A caller that is slow, silent or talks nonsense gets an error or a close, and holds up nobody: they are few,
each has a bounded time, and where one more comes the one that is there for longest goes.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol, cast

from sidecar.address import Address
from sidecar.http import CONTINUE, Malformed, RequestHead, RequestReader, Signal, response_head

MOST_CALLERS = 16  # connections at once; each takes a descriptor
_MOST_BODY = 4 << 10
_WITHIN_S = 2.0  # to send a whole call and to read its answer; an honest caller waits for one second
_JSON = (b"content-type", b"application/json")


class Operated(Protocol):
    """What the calls are carried out on."""

    def is_ready(self) -> bool: ...

    def figures(self) -> dict[str, object]: ...

    def exclude(self, member: str) -> bool: ...

    def include(self, member: str) -> bool: ...

    def evacuate(self) -> bool: ...

    def rejoin(self) -> bool: ...


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer: 2xx is yes, the rest no."""

    status: int
    content: dict[str, object] = field(default_factory=dict)
    allow: bytes | None = None


class BadCall(Exception):
    """The call's body is not what it has to be."""


def _yes_if(agreed: bool, status: int, why: str) -> Reply:
    return Reply(200, {"ok": True}) if agreed else Reply(status, {"error": why})


def _member(body: bytes) -> str:
    try:
        given = json.loads(body)
    except (ValueError, RecursionError):
        raise BadCall("the body is no JSON") from None
    member = given.get("member") if isinstance(given, dict) else None
    if not isinstance(member, str) or not member:
        raise BadCall('an object with a text "member" is needed')
    return member


def _on_member(act: Callable[[str], bool], body: bytes) -> Reply:
    return _yes_if(act(_member(body)), 404, "no server of this id was ever listed")


class Calls:
    """The calls by path and method."""

    def __init__(self, operated: Operated) -> None:
        own = operated
        self._table: dict[bytes, tuple[bytes, Callable[[bytes], Reply]]] = {
            b"/api/ready": (b"GET", lambda _: _yes_if(own.is_ready(), 503, "it takes no clients now")),
            b"/api/telemetry": (b"GET", lambda _: Reply(200, own.figures())),
            b"/api/exclude": (b"POST", lambda body: _on_member(own.exclude, body)),
            b"/api/include": (b"POST", lambda body: _on_member(own.include, body)),
            b"/api/evacuate": (b"POST", lambda _: _yes_if(own.evacuate(), 409, "it is about to end")),
            b"/api/rejoin": (b"POST", lambda _: _yes_if(own.rejoin(), 409, "it is about to end")),
        }

    def refusal(self, request: RequestHead) -> Reply | None:
        """What is wrong with a call by its head alone."""
        found = self._table.get(request.target.partition(b"?")[0])
        if found is None:
            return Reply(404, {"error": "there is no such call"})
        if request.method != found[0]:
            return Reply(405, {"error": f"the method is {found[0].decode()}"}, found[0])
        return None

    def carry_out(self, request: RequestHead, body: bytes) -> Reply:
        _, act = self._table[request.target.partition(b"?")[0]]
        try:
            return act(body)
        except BadCall as fault:
            return Reply(400, {"error": str(fault)})


class _Caller(asyncio.Protocol):
    """One connection, one call."""

    def __init__(self, console: Console) -> None:
        self._console = console
        self._http = RequestReader()
        self._transport: asyncio.Transport | None = None
        self._request: RequestHead | None = None
        self._body = bytearray()
        self._answered = False
        self._deadline: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The event loop's own class is none of asyncio's, so there is nothing to check.
        self._transport = cast(asyncio.Transport, transport)
        self._deadline = asyncio.get_running_loop().call_later(_WITHIN_S, self._overdue)
        self._console.opened(self)

    def data_received(self, data: bytes) -> None:
        if self._answered:
            return
        self._http.receive(data)
        try:
            self._read_on()
        except Malformed as fault:
            self._answer(Reply(fault.status, {"error": f"this is no HTTP/1.1: {fault}"}))

    def connection_lost(self, exc: Exception | None) -> None:
        self._answered = True
        if self._deadline is not None:
            self._deadline.cancel()
        self._console.closed(self)

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def _overdue(self) -> None:
        if self._answered or self._request is None:
            self.abort()
        else:
            self._answer(Reply(408, {"error": "the call was not sent in time"}))

    def _read_on(self) -> None:
        while not self._answered:
            event = self._http.next_event()
            if isinstance(event, RequestHead):
                self._request = event
                refusal = self._console.calls.refusal(event)
                if refusal is not None:
                    self._answer(refusal)
                elif event.expects:
                    self._write(CONTINUE)
            elif isinstance(event, bytes):
                self._body += event
                if len(self._body) > _MOST_BODY:
                    self._answer(Reply(413, {"error": "the body is too long"}))
            elif event is Signal.END:
                assert self._request is not None
                self._answer(self._console.calls.carry_out(self._request, bytes(self._body)))
            else:  # nothing more has come, or nothing more will
                return

    def _answer(self, reply: Reply) -> None:
        self._answered = True
        content = json.dumps(reply.content).encode()
        headers = [_JSON, (b"content-length", b"%d" % len(content)), (b"connection", b"close")]
        if reply.allow is not None:
            headers.append((b"allow", reply.allow))
        self._write(response_head(reply.status, headers))
        if self._request is None or self._request.method != b"HEAD":
            self._write(content)
        if self._transport is not None:
            # What the caller still sends is thrown away: a close over it would reset the answer.  If the
            # caller does not hang up, the deadline cuts it.
            self._transport.write_eof()

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)


class Console:
    """All callers, `MOST_CALLERS` at most."""

    def __init__(self, operated: Operated) -> None:
        self.calls = Calls(operated)
        self._callers: dict[_Caller, None] = {}  # the longest there first
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Caller(self), *address, backlog=MOST_CALLERS, reuse_address=True
        )

    @property
    def port(self) -> int:
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for each in list(self._callers):
            each.abort()

    def opened(self, caller: _Caller) -> None:
        if len(self._callers) >= MOST_CALLERS:
            oldest = next(iter(self._callers))
            del self._callers[oldest]
            oldest.abort()
        self._callers[caller] = None

    def closed(self, caller: _Caller) -> None:
        self._callers.pop(caller, None)
