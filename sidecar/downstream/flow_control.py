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
_MEMORY_FRACTION = 1 / 8  # of the process's memory, for all streamed bodies together
_MIN_WRITE_BUFFER_BYTES = 4 << 10
_MAX_WRITE_BUFFER_BYTES = 64 << 10


def write_buffer_limit(memory_mb: int, connections: int) -> int:
    """Return the number of bytes that may lie unwritten for one client connection."""
    equal_part = int((memory_mb << 20) * _MEMORY_FRACTION / max(connections, 1))
    return max(_MIN_WRITE_BUFFER_BYTES, min(equal_part, _MAX_WRITE_BUFFER_BYTES))


class BoundedReader(asyncio.BufferedProtocol):
    """A protocol that reads a bounded piece at a time, whatever the system holds."""

    def get_buffer(self, sizehint: int) -> bytearray:
        return _RECEIVE_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(_RECEIVE_VIEW[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Take a piece of what the peer sent."""
        raise NotImplementedError
