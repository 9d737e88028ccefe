"""The memory that clients' requests hold until they are answered, and its limit."""

from __future__ import annotations

from sidecar.http import RequestHead

HEADER_FIELD_BYTES = 140  # of a parsed field beside its text: a tuple, two bytes objects, places in lists

_REQUEST_MEMORY_FRACTION = 1 / 5  # of the process's memory, for all requests together


def request_memory_limit(memory_mb: int) -> int:
    """Return the limit on the memory of all requests, in bytes."""
    return int((memory_mb << 20) * _REQUEST_MEMORY_FRACTION)


def head_memory(head: RequestHead) -> int:
    """Return about how many bytes a parsed head holds."""
    text_bytes = sum(len(name) + len(value) for name, value in head.headers)
    return HEADER_FIELD_BYTES * len(head.headers) + text_bytes + len(head.target)


class RequestMemory:
    """Counts the bytes of heads and buffered bodies, of requests that are arriving or pending."""

    __slots__ = ("_limit_bytes", "used_bytes")

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self.used_bytes = 0

    def hold(self, count: int) -> None:
        """Count more bytes."""
        self.used_bytes += count

    def release(self, count: int) -> None:
        """Count bytes of a request that was answered, or whose client has disconnected, no longer."""
        self.used_bytes -= count

    @property
    def is_exceeded(self) -> bool:
        """Whether requests hold more than the limit."""
        return self.used_bytes > self._limit_bytes
