"""Divides the memory of a process between the purposes for which it holds data of its peers.

What the process needs for itself and for its connections comes off first, so all limits together, and not
only each of them, stay within the memory that the platform allows.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_READ_BYTES = 64 << 10
_MIN_READ_BYTES = 16 << 10
_MIN_WRITE_BUFFER_BYTES = 4 << 10
_MAX_WRITE_BUFFER_BYTES = 64 << 10

_PROCESS_BYTES = 30 << 20  # of a process without connections
_CONNECTION_BYTES = 8 << 10  # of an open connection that holds no data
_MIN_DATA_FRACTION = 1 / 10  # of the process's memory, however little the process and its connections leave
_USABLE_FRACTION = 3 / 4  # of the rest; the allocator, and data that is being copied, need the remainder

# Shares of the usable memory
_REQUEST_SHARE = 0.45
_UPLOAD_SHARE = 0.10
_RESPONSE_SHARE = 0.25
_WRITE_BUFFER_SHARE = 0.20


@dataclass(frozen=True, slots=True)
class MemoryLimits:
    """Limits in bytes."""

    requests: int  # heads and buffered bodies, of all requests
    uploads: int  # parts of streamed bodies that servers have not taken, of all requests
    responses: int  # heads and buffered bodies that have not arrived completely, of all responses
    write_buffer: int  # data that one client has not read
    read: int  # read at a time from a client or server; it may have to be buffered beyond the limits

    @classmethod
    def of_process(cls, memory_mb: int, client_connections: int, server_connections: int) -> MemoryLimits:
        """Return the limits of a process with at most these numbers of connections."""
        usable = _usable_bytes(memory_mb << 20, client_connections + server_connections)
        equal_part = int(usable * _WRITE_BUFFER_SHARE / max(client_connections, 1))
        return cls(
            requests=int(usable * _REQUEST_SHARE),
            uploads=int(usable * _UPLOAD_SHARE),
            responses=int(usable * _RESPONSE_SHARE),
            write_buffer=max(_MIN_WRITE_BUFFER_BYTES, min(equal_part, _MAX_WRITE_BUFFER_BYTES)),
            read=max(_MIN_READ_BYTES, min(equal_part, MAX_READ_BYTES)),
        )


def _usable_bytes(memory_bytes: int, connections: int) -> float:
    left = memory_bytes - _PROCESS_BYTES - connections * _CONNECTION_BYTES
    return max(left, memory_bytes * _MIN_DATA_FRACTION) * _USABLE_FRACTION
