"""Estimates when the last byte of a streamed request body was sent, while its rest is unread.

The time of a request counts from its last byte.  While a server takes the body more slowly than the client
sends it, reading from the client is paused, and the rest waits in buffers of the system: the receive buffer
of this process's socket, whose content can be queried, and the send buffer of the client's, which can't.
"""

from __future__ import annotations

MAX_CLIENT_SEND_BUFFER_BYTES = 4 << 20  # the default maximum of net.ipv4.tcp_wmem


class BodyArrival:
    """Measures for how long a client may have been waiting for its response, while its body is unread."""

    __slots__ = ("_max_sent_bytes", "_waiting_since", "length")

    def __init__(self, length: int | None) -> None:
        """`length` is that of the body in bytes; None: not known in advance."""
        self.length = length
        self._waiting_since: float | None = None
        self._max_sent_bytes = 0  # the most that the client can have sent at that time

    def record_caught_up(self) -> None:
        """Record that everything the client has sent was read, so that it is still sending."""
        self._waiting_since = None

    def record_unread(self, received_bytes: int, unread_bytes: int, now: float) -> None:
        """Record how much was read and how much the socket holds, at a time in seconds."""
        if not unread_bytes:
            self.record_caught_up()
            return
        arrived_bytes = received_bytes + unread_bytes
        max_sent_bytes = arrived_bytes + MAX_CLIENT_SEND_BUFFER_BYTES
        if self.length is not None and max_sent_bytes < self.length:
            self.record_caught_up()
        elif self._waiting_since is None or arrived_bytes > self._max_sent_bytes:
            self._waiting_since, self._max_sent_bytes = now, max_sent_bytes

    def waiting_s(self, now: float) -> float:
        """Return for how long the client may have been waiting, in seconds; 0 if it is still sending."""
        return 0.0 if self._waiting_since is None else max(now - self._waiting_since, 0.0)
