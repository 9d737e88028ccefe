"""The application's side: its requests come in over HTTP, and each gets one answer."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from enum import Enum, unique
from itertools import islice, takewhile
from typing import cast

from balancer.settings import Settings
from sidecar.connection_socket import ConnectionSocket
from sidecar.downstream.listener import Listener
from sidecar.downstream.request import CHUNKED, BadRequest, Incoming, read_request
from sidecar.downstream.stream import KEPT, LONGEST, STALLED_S, BoundedReader, Upload, part_of_budget
from sidecar.http import (
    CONTINUE,
    LAST_CHUNK,
    Headers,
    Malformed,
    RequestHead,
    RequestReader,
    Signal,
    chunk,
    response_head,
)
from sidecar.interfaces import ResponseSource, Transport

_YOUNG_S = 0.25  # a connection that waits for its request for longer goes before one at rest
_LOOKS = 8  # connections at rest that are looked at for one to let go
_WITHIN_S = 2.4  # to send a head, to read some of an answer, or to end what was refused unread
_BODY_WITHIN_S = 2.7  # to send head and body, and the time that the body takes at the least pace
_LEAST_PACE = 58_000.0  # bytes a second of a body; a legal client sends some more
_AT_REST_S = 60.0  # how long a connection is kept that nobody uses
_SWEEP_S = 0.25
_SWEEP_SOON_S = 0.1  # while bodies are sent or read
_HEALTH = b"/_health"

_CLOSE = (b"connection", b"close")


@unique
class Phase(Enum):
    """Where in its life a client's connection is."""

    READING = "reading"  # a request is awaited for the first time, or is coming
    OWED = "owed"  # it was taken: one answer is owed
    PASSING = "passing"  # its answer has begun and passes through
    RESTING = "resting"  # it was answered, and nothing of a further one has come
    LINGERING = "lingering"  # our side has ended; what the client still sends is thrown away
    CLOSED = "closed"

    following: tuple[Phase, ...]


# The whole life; `_enter` holds the code to it.  Any connection may be lost or cut at any time.  What ends
# with an answer on its way ends by lingering, and nothing is read as a request after that.
NEXT_PHASES = {
    Phase.READING: {Phase.OWED, Phase.RESTING, Phase.LINGERING, Phase.CLOSED},
    Phase.OWED: {Phase.PASSING, Phase.RESTING, Phase.LINGERING, Phase.CLOSED},
    Phase.PASSING: {Phase.RESTING, Phase.LINGERING, Phase.CLOSED},
    Phase.RESTING: {Phase.READING, Phase.LINGERING, Phase.CLOSED},
    Phase.LINGERING: {Phase.CLOSED},
    Phase.CLOSED: set(),
}
for _each in Phase:
    _each.following = tuple(NEXT_PHASES[_each])  # looked at for each request: quicker than by hash


class ClientSide(BoundedReader):
    """One connection of the application, one request at a time."""

    def __init__(self, frontend: Frontend) -> None:
        self._frontend = frontend
        self._http = RequestReader()
        self._transport: Transport | None = None
        self._socket: ConnectionSocket | None = None
        self._request: RequestHead | None = None
        self._body = bytearray()
        self._received = 0  # of the body
        self._began = 0.0  # when the client's time to send began
        self._upload: Upload | None = None  # a body that passes through and has not come to its end
        self._held_since: float | None = None  # since when the client is kept from sending
        self._source: ResponseSource | None = None  # of the answer that passes through now
        self._is_long = False  # whether the last answer passed through
        self._is_chunked = False  # and whether that in chunks
        self._left: int | None = None  # how much of it is to come, where its head says so
        self._unread = 0  # how much of it the client had not taken, and when that last got less
        self._unread_since = 0.0
        self._owed: int | None = None  # the open request
        self._is_writing_paused = False
        self._ended = False  # no more is read from it
        self.phase = Phase.READING

    @property
    def is_idle(self) -> bool:
        """Whether closing it now loses no request, not even one that lies unread in the socket."""
        if self._owed is not None or self._request is not None or self._ended:
            return False
        return self._socket is not None and self._socket.is_idle()

    def _enter(self, phase: Phase) -> None:
        if phase is not self.phase:
            assert phase in self.phase.following, f"{self.phase.value} to {phase.value}"
            self.phase = phase

    # What the sidecar calls

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write the one answer to the open request."""
        self._owed = None
        if self._upload is not None:
            self._ended = True  # it is given up on before its end: no more of it is read
            self._forget_upload()
        if self._source is not None:
            self.abort()  # it has the beginning of another
            return
        if self._transport is None or self._transport.is_closing():
            return
        closing = self._is_last
        if closing:
            headers = [*headers, _CLOSE]
        if self._request is not None and self._request.method == b"HEAD":
            body = b""  # it allows none, not even with a refusal
        head = response_head(status, [*headers, (b"content-length", b"%d" % len(body))])
        self._transport.write(head + body)
        self._answered(closing)

    @property
    def _is_last(self) -> bool:
        """Whether an answer that is begun now ends the connection."""
        if self._ended or self._frontend.is_draining or self._request is None:
            return True
        return not self._request.keeps_alive

    def begin(self, headers: Headers, length: int | None, first: bytes, source: ResponseSource) -> bool:
        """Write the beginning of an answer that passes through; say whether the client is there for it."""
        if self._transport is None or self._transport.is_closing():
            return False
        assert self._request is not None
        is_framed = length is not None or not self._request.is_old
        if self._is_last or not is_framed:
            headers = [*headers, _CLOSE]
        if length is not None:
            headers = [*headers, (b"content-length", b"%d" % length)]
        elif is_framed:
            headers = [*headers, CHUNKED]
        self._enter(Phase.PASSING)
        self._is_chunked, self._left = is_framed and length is None, length
        self._transport.set_write_buffer_limits(high=self._frontend.part)
        self._source = source
        self._is_long = True
        self._transport.write(response_head(200, headers))
        if first and not self.write(first):
            source.pause()
        return True

    def write(self, data: bytes) -> bool:
        """Pass on more of an answer; say whether more may follow at once."""
        if self._transport is None or self._source is None or self._transport.is_closing():
            return True  # nobody reads it
        if self._left is not None:
            self._left -= len(data)
        self._transport.write(chunk(data) if self._is_chunked else data)
        return not self._is_writing_paused

    def finish(self) -> None:
        """The answer that passed through has come to its end."""
        self._owed = self._source = None
        if self._transport is None or self._transport.is_closing():
            return
        if self._left:
            self.abort()  # it is shorter than its head says
            return
        if self._is_chunked:
            self._transport.write(LAST_CHUNK)
        self._answered(self._is_last or (self._left is None and not self._is_chunked))

    def _answered(self, closing: bool) -> None:
        assert self._transport is not None
        if self._http.is_reusable and not closing and not self._ended:
            self._enter(Phase.RESTING)
            self._http.start_next()
            self._request = None
            self._body = bytearray()
            if not self._is_writing_paused:
                self._frontend.at_rest(self)
        else:
            self._hang_up()

    def close(self) -> None:
        """End a connection at rest; a request that crosses its end is read by nobody, and sent on by none."""
        if self._transport is None or self._ended:
            return
        if not self._transport.is_closing() and not self._transport.get_write_buffer_size():
            assert self._socket is not None
            self._socket.shut_down()  # at once: the transport's own end waits for its turn in the event loop
        self._hang_up()

    def abort(self) -> None:
        """Cut the connection, and drop what is still to be written."""
        self._enter(Phase.CLOSED)
        self._ended = True
        if self._transport is not None:
            self._transport.abort()

    def turn_away(self) -> None:
        """End a connection that has brought nothing and has no answer on its way, and free its descriptor."""
        if self._transport is None:
            return
        if not self._transport.is_closing() and self._socket is not None:
            self._socket.shut_down()
        self._enter(Phase.CLOSED)
        self._ended = True
        self._transport.close()

    def overdue(self, now: float) -> None:
        """The client had its time to send a request, to read its answer or to hang up."""
        if self.phase is Phase.LINGERING and self.is_taking and not self._takes_nothing(now):
            self._frontend.waits_for(self)
        elif self._ended or self._is_writing_paused:
            self.abort()
        elif self._request is None and self._http.is_between:
            self.turn_away()
        else:
            self._reject(408)

    @property
    def is_taking(self) -> bool:
        """Whether some of what was written has not arrived at the client."""
        is_open = self._transport is not None and not self._transport.is_closing()
        return is_open and self._unread_bytes() > 0

    def _takes_nothing(self, now: float) -> bool:
        """Whether the client has taken nothing of what was written for it for too long."""
        unread = self._unread_bytes()
        if unread < self._unread or not self._unread:
            self._unread, self._unread_since = unread, now
        return now - self._unread_since > (STALLED_S if self._is_long else _WITHIN_S)

    def is_stalled(self, now: float) -> bool:
        """Whether the client is too slow in sending a body, or in reading an answer that passes through."""
        if self._is_writing_paused:
            return self._takes_nothing(now)
        if not self._http.is_in_body or self._ended:
            return False
        if self._held_since is not None:
            # While it is not read from, its end is not heard either; waited for should have been given up.
            return self.has_left() or now - self._held_since > 2 * STALLED_S
        return self.lag(now) > _BODY_WITHIN_S

    @property
    def is_passing_on(self) -> bool:
        """Whether an answer passes through to the client, or the end of one is not written."""
        if self._transport is None or not self._is_long:
            return False
        return self._source is not None or self._transport.get_write_buffer_size() > 0

    @property
    def is_sending(self) -> bool:
        """Whether the client is sending a body of which nothing was sent on."""
        return self.phase is Phase.READING and self._request is not None and not self._is_writing_paused

    def lag(self, now: float) -> float:
        """How long the client has taken beyond what the body needs at the least pace."""
        return now - self._began - self._received / _LEAST_PACE

    def _unread_bytes(self) -> int:
        """How much was written for the client and not taken by its machine."""
        assert self._transport is not None and self._socket is not None
        return self._transport.get_write_buffer_size() + self._socket.unsent_bytes()

    # What the event loop calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The event loop's own class is none of asyncio's, so there is nothing to check.
        self._transport = cast(Transport, transport)
        self._began = asyncio.get_running_loop().time()
        self._socket = ConnectionSocket(self._transport)
        self._frontend.opened(self)

    def data_received(self, data: bytes) -> None:
        if self._ended:
            return
        if self._owed is not None and self._upload is None:
            self._ended = True  # what comes beside an open request is no request: its answer is the last
            return
        if self._request is None:
            if self.has_left():
                self.abort()
                return
            if self._frontend.at_work(self):
                self._began = asyncio.get_running_loop().time()
            self._enter(Phase.READING)
        self._http.receive(data)
        self._advance()

    def pause_writing(self) -> None:
        self._is_writing_paused = True
        self._unread = 0  # measured from now on
        self._frontend.watch(self)
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_writing(self) -> None:
        self._is_writing_paused = False
        if self._transport is None or self._transport.is_closing():
            return
        if self._held_since is None:
            self._transport.resume_reading()
        if self._source is not None:
            self._source.resume()
        elif self.phase is Phase.LINGERING:
            self._frontend.waits_for(self)
        elif not self._ended:
            self._frontend.taken(self)
            if self._owed is None and self._request is None:
                self._frontend.at_rest(self)
            self._advance()

    def eof_received(self) -> None:
        self._gone()

    def connection_lost(self, exc: Exception | None) -> None:
        self._gone()
        self._enter(Phase.CLOSED)
        self._ended = True
        self._frontend.closed(self)
        if self._socket is not None:
            self._socket.release()

    # The rest

    def has_left(self) -> bool:
        """Whether the client closed its connection, behind whatever it sent.

        Guards against collapse: when there is too little time for all, requests are read so late that their
        clients have given up and ask anew, and all the time would go to answers that nobody reads.
        """
        return self._socket is not None and self._socket.is_peer_closed()

    def _gone(self) -> None:
        self._forget_upload()
        self._source = None
        owed, self._owed = self._owed, None
        if owed is not None:
            self._frontend.gone(owed)

    def _advance(self) -> None:
        """Read on as far as what has come allows."""
        while (self._owed is None or self._upload is not None) and not self._ended:
            assert self._transport is not None
            if self._is_writing_paused:
                return  # guards against a client that asks on and on, and reads no answer
            try:
                event = self._http.next_event()
            except Malformed as fault:
                self._reject(fault.status, f"{fault}\n".encode())
                return
            if isinstance(event, bytes):
                self._take(event)
            elif isinstance(event, RequestHead):
                self._begun(event)
            elif event is Signal.END:
                if self._upload is None:
                    self._taken()
                else:
                    self._uploaded()
            else:
                return

    def _begun(self, head: RequestHead) -> None:
        """A head came: its body follows."""
        assert self._transport is not None
        self._enter(Phase.READING)
        self._request = head
        self._received = 0
        self._is_long = False
        if head.length == 0:
            return
        self._frontend.watch(self)
        if head.length is not None and head.length > LONGEST:
            self._reject(413)
            return
        if head.length is not None and head.length > KEPT:
            self._take_upload(head.length)
        if head.expects and not self._ended and not self._http.has_more:
            self._transport.write(CONTINUE)

    def _take(self, data: bytes) -> None:
        """A piece of the body."""
        self._received += len(data)
        if self._received > LONGEST:
            self._reject(413)
        elif self._upload is not None:
            self._upload.feed(data)
        else:
            self._body += data
            if len(self._body) > KEPT:
                self._take_upload(None)

    def _take_upload(self, length: int | None) -> None:
        """Take a request whose body is too long to be kept, before it has come to its end."""
        assert self._request is not None
        upload = Upload(length, self._hold, self._let_send)
        try:
            incoming = self._frontend.read(self._request, upload)
        except BadRequest as fault:
            self._reject(400, f"{fault}\n".encode())
            return
        first, self._body = bytes(self._body), bytearray()
        self._upload = upload
        if first:
            upload.feed(first)
        owed = self._frontend.arrived(self, incoming)
        if self._upload is not None:  # else it has its answer already
            self._owed = owed
            self._enter(Phase.OWED)

    def _uploaded(self) -> None:
        """The last byte of such a body is here."""
        upload, self._upload = self._upload, None
        assert upload is not None and self._owed is not None
        if self._http.has_more:
            self._upload = upload
            self._reject(400, b"more came than one request\n")
            return
        self._frontend.taken(self)
        self._let_send()
        upload.end()
        if self._owed is not None:
            assert self._socket is not None
            self._frontend.completed(self._owed, self._socket.unread_us())

    def _hold(self) -> None:
        """Read no more of the body for now: whoever takes it is slower."""
        if self._held_since is None and self._upload is not None and self._transport is not None:
            self._held_since = asyncio.get_running_loop().time()
            self._transport.pause_reading()

    def _let_send(self) -> None:
        if self._held_since is None or self._transport is None:
            return
        self._began += asyncio.get_running_loop().time() - self._held_since  # that was not the client's time
        self._held_since = None
        if not self._is_writing_paused and not self._transport.is_closing():
            self._transport.resume_reading()

    def _forget_upload(self) -> None:
        self._upload = None
        self._let_send()

    def _taken(self) -> None:
        assert self._request is not None
        if self._http.has_more:
            # Guards against bodies of another length than their head says: a client sends one at a time.
            self._reject(400, b"more came than one request\n")
            return
        self._frontend.taken(self)
        if self._request.target == _HEALTH:
            if self._frontend.is_evacuated:
                self.answer(503, [], b"evacuated\n")
            else:
                self.answer(200, [], b"ready\n")
            return
        if self._body and self.has_left():
            self.abort()
            return
        try:
            incoming = self._frontend.read(self._request, bytes(self._body))
        except BadRequest as fault:
            self._reject(400, f"{fault}\n".encode())
            return
        # The client's time runs from when it sent the request, not from when that was read.
        assert self._socket is not None
        incoming.remaining_us = max(incoming.remaining_us - self._socket.unread_us(), 1)
        self._owed = self._frontend.arrived(self, incoming)
        if self._owed is not None:
            self._enter(Phase.OWED)

    def _reject(self, status: int, why: bytes = b"") -> None:
        """Answer what is no request of this protocol, then hang up: no more of it may pass for one."""
        self._ended = True
        owed, self._owed = self._owed, None
        if owed is not None:
            self._frontend.gone(owed)  # its end is missing, or wrong
        self.answer(status, [], why)

    def _hang_up(self) -> None:
        """End our side and let the client finish sending, for a while; what still comes is thrown away.

        The one way to end a connection that may have an answer on its way.  Guards against cutting it under
        that answer: with bytes unread, a close resets the connection, and the client may never see why.
        """
        assert self._transport is not None
        self._ended = True
        if self._transport.is_closing():
            return
        if self._transport.can_write_eof():
            self._transport.write_eof()  # behind what is still to be written
        self._enter(Phase.LINGERING)
        self._unread = 0  # measured from now on
        if not self._is_writing_paused:
            self._frontend.waits_for(self)


def _older(since: dict[ClientSide, float], than: float) -> list[ClientSide]:
    """Those that stand there for longer; the longest come first."""
    return list(takewhile(lambda each: since[each] <= than, since))


class Frontend:
    """All connections of the application, `most` of them at rest or at work."""

    def __init__(
        self,
        settings: Settings,
        most: int,
        memory_mb: int,
        on_arrival: Callable[[ClientSide, Incoming], int | None],
        on_complete: Callable[[int, int], None],
        on_gone: Callable[[int], None],
    ) -> None:
        self.part = part_of_budget(memory_mb, most)
        self._classes = {each.name: each for each in settings.classes}
        self._tenants = frozenset(each.name for each in settings.tenants)
        self._most = most
        self.arrived = on_arrival
        self.completed = on_complete
        self.gone = on_gone
        self.is_draining = False  # every further answer closes its connection
        self.is_evacuated = False  # and clients are told to go elsewhere
        self._connections: dict[ClientSide, None] = {}
        # Answered, and nothing more came; and those whose client has something to do: the longest first.
        self._at_rest: dict[ClientSide, float] = {}
        self._waiting: dict[ClientSide, float] = {}
        self._watched: dict[ClientSide, None] = {}  # their clients are about a body, at a pace of their own
        self._sweep: asyncio.TimerHandle | None = None
        self._listener: Listener | None = None
        self.last_opened = 0.0

    def listen(self, listening: socket.socket) -> None:
        self._listener = Listener(listening, lambda: ClientSide(self), self._make_room)

    @property
    def port(self) -> int:
        assert self._listener is not None
        return self._listener.port

    @property
    def takes_clients(self) -> bool:
        return self._listener is not None and self._listener.is_open and not self.is_draining

    def read(self, head: RequestHead, body: bytes | Upload) -> Incoming:
        return read_request(head, body, self._classes, self._tenants)

    def drain(self) -> None:
        """Let go of connections at rest; every further answer closes its own."""
        self.is_draining = True
        self.close_idle()

    def rejoin(self) -> None:
        """Take clients again after a drain."""
        self.is_draining = self.is_evacuated = False

    def close_idle(self) -> None:
        """Close what is at rest, and what was opened a while ago and brought no request.

        One just opened is about to bring its request: whoever opened it may not have heard of the drain.
        """
        unused = _older(self._waiting, asyncio.get_running_loop().time() - _YOUNG_S)
        for each in [*self._at_rest, *unused]:
            if each.is_idle:
                each.close()

    def stop_listening(self, *, accept_the_rest: bool = False) -> None:
        """Accept no more; `accept_the_rest`: but what the system has accepted already."""
        if self._listener is not None:
            self._listener.close(accept_the_rest=accept_the_rest)

    @property
    def is_passing_on(self) -> bool:
        """Whether a client is getting an answer that passes through."""
        return any(each.is_passing_on for each in self._connections)

    @property
    def open_connections(self) -> int:
        return len(self._connections)

    @property
    def is_deserted(self) -> bool:
        """Whether there is no connection, nor one that is just being accepted."""
        return not self._connections and (self._listener is None or not self._listener.being_accepted)

    # What connections report

    def opened(self, connection: ClientSide) -> None:
        self.last_opened = asyncio.get_running_loop().time()
        if len(self._connections) >= self._most and not self._make_room():
            connection.turn_away()  # all others are owed an answer
            return
        self._connections[connection] = None
        self.waits_for(connection)
        self._sweep_later()

    def at_work(self, connection: ClientSide) -> bool:
        """The first bytes of a request came; say whether the connection was at rest."""
        if self._at_rest.pop(connection, None) is None:
            return False
        self.waits_for(connection)
        return True

    def waits_for(self, connection: ClientSide) -> None:
        """The client has something to do, within its time from now."""
        if connection in self._connections:
            self.taken(connection)
            self._waiting[connection] = asyncio.get_running_loop().time()

    def watch(self, connection: ClientSide) -> None:
        """The client sends or reads a body, which takes its time, but must go on."""
        if connection in self._connections:
            self.taken(connection)
            self._watched[connection] = None

    def taken(self, connection: ClientSide) -> None:
        """The client has done its part."""
        self._waiting.pop(connection, None)
        self._watched.pop(connection, None)
        self._at_rest.pop(connection, None)

    def at_rest(self, connection: ClientSide) -> None:
        if connection in self._connections:
            self.taken(connection)
            self._at_rest[connection] = asyncio.get_running_loop().time()

    def close_overdue(self, now: float) -> None:
        """Let go of clients that had their time, by the event loop's clock.

        Guards against slow, silent and hung peers: each would hold a descriptor for good.
        """
        for each in _older(self._waiting, now - _WITHIN_S):
            del self._waiting[each]
            each.overdue(now)
        for each in [each for each in self._watched if each.is_stalled(now)]:
            self._watched.pop(each, None)
            each.overdue(now)
        for each in _older(self._at_rest, now - _AT_REST_S):
            if each.is_idle:
                each.close()

    def _sweep_later(self) -> None:
        if self._sweep is None:
            span_s = _SWEEP_SOON_S if self._watched else _SWEEP_S
            self._sweep = asyncio.get_running_loop().call_later(span_s, self._sweep_now)

    def _sweep_now(self) -> None:
        self._sweep = None
        self.close_overdue(asyncio.get_running_loop().time())
        if self._connections:
            self._sweep_later()

    def closed(self, connection: ClientSide) -> None:
        self._connections.pop(connection, None)
        self.taken(connection)

    def _make_room(self) -> bool:
        """Let one connection go that loses no request by it, if there is one.

        Looks at few: with all of them polled for each newcomer, a rush leaves no time to answer anybody.
        """
        waiting = next((each for each in islice(self._waiting, _LOOKS) if not each.is_taking), None)
        late = waiting is not None and self.last_opened - self._waiting[waiting] > _YOUNG_S
        resting = next((each for each in islice(self._at_rest, _LOOKS) if each.is_idle), None)
        sending = [each for each in islice(self._watched, _LOOKS) if each.is_sending]
        behind = max(sending, key=lambda each: each.lag(self.last_opened), default=None)
        spare = waiting if late else resting or waiting or behind
        if spare is None:
            return False
        if spare is resting:
            spare.turn_away()
        else:
            spare.abort()  # it may hold what its client does not read
        self.closed(spare)
        return True
