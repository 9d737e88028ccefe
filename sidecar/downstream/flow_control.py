"""Limits on buffered bodies and on the memory that slow readers may hold.

A body of up to `MAX_BUFFERED_BODY_BYTES` is buffered completely; a longer one is streamed.  Where the reader
of a streamed body takes nothing more, its writer is no longer read from (backpressure).  Every client
connection has an equal part of one memory budget, so slow clients can't use up what others need.
"""

from __future__ import annotations

import asyncio

MAX_BUFFERED_BODY_BYTES = 64 << 10
MAX_BODY_BYTES = 32 << 20
STALL_TIMEOUT_S = 10.0  # without any progress of a streamed body

_RECEIVE_BUFFER = bytearray(64 << 10)  # shared: its content is copied before the event loop goes on
_RECEIVE_VIEW = memoryview(_RECEIVE_BUFFER)
_MIN_BODY_BYTES_PER_S = 58_000.0  # a client that keeps to the platform's terms sends somewhat faster
_MEMORY_FRACTION = 1 / 8  # of the process's memory, for all streamed bodies together
_MIN_WRITE_BUFFER_BYTES = 4 << 10
_MAX_WRITE_BUFFER_BYTES = 64 << 10


def write_buffer_limit(memory_mb: int, connections: int) -> int:
    """Return the number of bytes that may lie unwritten for one client connection."""
    equal_part = int((memory_mb << 20) * _MEMORY_FRACTION / max(connections, 1))
    return max(_MIN_WRITE_BUFFER_BYTES, min(equal_part, _MAX_WRITE_BUFFER_BYTES))


class BoundedReader(asyncio.BufferedProtocol):
    """A protocol that reads a bounded piece at a time, whatever the system holds."""

    def get_buffer(self, _sizehint: int) -> bytearray:
        """Called by the event loop: return the buffer that the next piece is received into."""
        return _RECEIVE_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Called by the event loop: the buffer holds `nbytes` of new data."""
        self.data_received(bytes(_RECEIVE_VIEW[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Take a piece of what the peer sent."""
        raise NotImplementedError


class ReceiveProgress:
    """How fast a client sends a request, apart from the time in which it was paused."""

    __slots__ = ("paused_since", "received_bytes", "started_at")

    def __init__(self, now: float) -> None:
        """Times are those of the event loop, in seconds."""
        self.started_at = now
        self.received_bytes = 0  # of the body
        self.paused_since: float | None = None

    def resume(self, now: float) -> None:
        """Go on after a pause, which is not the client's time."""
        if self.paused_since is not None:
            self.started_at += now - self.paused_since
            self.paused_since = None

    def lag_s(self, now: float) -> float:
        """Return how long the client has taken beyond what the body needs at the minimum rate."""
        return now - self.started_at - self.received_bytes / _MIN_BODY_BYTES_PER_S


class WriteProgress:
    """How much of what was written the client has not taken, and since when that has not decreased."""

    __slots__ = ("_since", "_untaken_bytes")

    def __init__(self) -> None:
        self._untaken_bytes = 0
        self._since = 0.0

    def restart(self) -> None:
        """Measure anew from the next call of `stalled_s` on."""
        self._untaken_bytes = 0

    def stalled_s(self, untaken_bytes: int, now: float) -> float:
        """Note how much is untaken now; return for how long that has not decreased."""
        if untaken_bytes < self._untaken_bytes or not self._untaken_bytes:
            self._untaken_bytes, self._since = untaken_bytes, now
        return now - self._since
