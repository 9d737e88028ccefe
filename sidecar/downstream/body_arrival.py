"""Estimates when the last byte of a streamed request body was sent, while its rest is unread.

The time of a request counts from its last byte.  While a server takes the body more slowly than the client
sends it, reading from the client is paused, and the rest waits in buffers of the system: the receive buffer
of this process's socket, whose content can be queried, and the send buffer of the client's, which can't.
"""

from __future__ import annotations

_MIN_EMPTY_SAMPLES = 2
MAX_CLIENT_SEND_BUFFER_BYTES = 4 << 20  # the default maximum of net.ipv4.tcp_wmem


class BodyArrival:
    """Measures for how long a client may have been waiting for its response, while its body is unread."""

    __slots__ = ("_empty_samples", "_max_sent_bytes", "_waiting_since", "length")

    def __init__(self, length: int | None) -> None:
        """`length` is that of the body in bytes; None: not known in advance."""
        self.length = length
        self._waiting_since: float | None = None
        self._max_sent_bytes = 0  # the most that the client can have sent at that time
        self._empty_samples = 0  # in a row

    def record_empty(self) -> None:
        """Record that the socket holds nothing unread; called at most once in a few milliseconds.

        If that is found repeatedly, the client is still sending.  Once is not enough: its system may be about
        to send more, after a pause in reading.
        """
        self._empty_samples += 1
        if self._empty_samples >= _MIN_EMPTY_SAMPLES:
            self._waiting_since = None

    def record_unread(self, received_bytes: int, unread_bytes: int, now: float) -> None:
        """Record how much was read and how much the socket holds, at a time in seconds."""
        self._empty_samples = 0
        arrived_bytes = received_bytes + unread_bytes
        max_sent_bytes = arrived_bytes + MAX_CLIENT_SEND_BUFFER_BYTES
        if self.length is not None and max_sent_bytes < self.length:
            self._waiting_since = None
        elif self._waiting_since is None or arrived_bytes > self._max_sent_bytes:
            self._waiting_since, self._max_sent_bytes = now, max_sent_bytes

    def waiting_s(self, now: float) -> float:
        """Return for how long the client may have been waiting, in seconds; 0 if it is still sending."""
        return 0.0 if self._waiting_since is None else max(now - self._waiting_since, 0.0)
