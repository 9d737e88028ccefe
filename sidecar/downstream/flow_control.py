"""Limits buffered bodies and the memory used for data that slow readers have not read.

A body of up to `MAX_BUFFERED_BODY_BYTES` is buffered completely; a longer one is streamed.  While the
receiver of a streamed body accepts no more data, reading from its sender is paused (backpressure).  Every
client connection has an equal part of one memory budget, so slow clients can't use up what others need.
"""

from __future__ import annotations

import asyncio

from sidecar.interfaces import Transport
from sidecar.memory_limits import MAX_READ_BYTES

MAX_BUFFERED_BODY_BYTES = 64 << 10
MAX_BODY_BYTES = 32 << 20
STALL_TIMEOUT_S = 10.0  # without any progress of a streamed body

_RECEIVE_BUFFER = bytearray(MAX_READ_BYTES)  # shared by all connections: copied out at once
_RECEIVE_VIEW = memoryview(_RECEIVE_BUFFER)
_MIN_BODY_BYTES_PER_S = 58_000.0  # clients that keep to the platform's protocol send faster


class BoundedReader(asyncio.BufferedProtocol):
    """A protocol that reads a limited number of bytes at a time, however much data the socket holds."""

    max_read_bytes = MAX_READ_BYTES

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Called by the event loop: return the buffer that the next piece is received into."""
        return _RECEIVE_VIEW[: self.max_read_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """Called by the event loop: the buffer holds `nbytes` of new data."""
        self.data_received(bytes(_RECEIVE_VIEW[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Process data that the peer sent."""
        raise NotImplementedError

    def may_read(self) -> bool:
        """Return whether reading is not paused for want of space."""
        raise NotImplementedError

    def yield_to_others(self, transport: Transport | None) -> None:
        """Read on in the next iteration of the event loop, so that other connections are served before.

        The event loop reads up to 32 times in a row from a connection that always has data.
        """
        if transport is None or transport.is_closing():
            return
        transport.pause_reading()
        asyncio.get_running_loop().call_soon(self._continue_reading, transport)

    def _continue_reading(self, transport: Transport) -> None:
        if not transport.is_closing() and self.may_read():
            transport.resume_reading()


class ReceiveProgress:
    """Measures how fast a client sends a request, not counting the time while reading was paused."""

    __slots__ = ("paused_since", "received_bytes", "started_at")

    def __init__(self, now: float) -> None:
        """Times are those of the event loop, in seconds."""
        self.started_at = now
        self.received_bytes = 0  # of the body
        self.paused_since: float | None = None

    def record(self, count: int, now: float) -> None:
        """Record that `count` bytes of the body arrived.

        A client that is ahead of the minimum rate saves up no time, so one that stops is noticed soon.
        """
        self.received_bytes += count
        self.started_at = min(self.started_at, now - self.received_bytes / _MIN_BODY_BYTES_PER_S)

    def resume(self, now: float) -> None:
        """End a pause, whose duration does not count as the client's time."""
        if self.paused_since is not None:
            self.started_at += now - self.paused_since
            self.paused_since = None

    def lag_s(self, now: float) -> float:
        """Return how long the client has taken beyond what the body needs at the minimum rate."""
        return now - self.started_at - self.received_bytes / _MIN_BODY_BYTES_PER_S


class WriteProgress:
    """Tracks how many written bytes the client has not received, and since when that has not decreased."""

    __slots__ = ("_unchanged_since", "_undelivered_bytes")

    def __init__(self) -> None:
        self._undelivered_bytes = 0
        self._unchanged_since = 0.0

    def restart(self) -> None:
        """Restart the measurement at the next call of `stalled_s`."""
        self._undelivered_bytes = 0

    def stalled_s(self, undelivered_bytes: int, now: float) -> float:
        """Record the number of undelivered bytes; return for how long it has not decreased."""
        if undelivered_bytes < self._undelivered_bytes or not self._undelivered_bytes:
            self._undelivered_bytes, self._unchanged_since = undelivered_bytes, now
        return now - self._unchanged_since
