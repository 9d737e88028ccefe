"""Queries the socket of a connection for state that asyncio transports don't expose.

The socket is owned by the transport: this module may shut it down, but never closes it.
"""

from __future__ import annotations

import contextlib
import fcntl
import select
import socket
import struct
import sys
import termios

from sidecar.interfaces import Transport

PEER_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
_LINGER_ON_FOR_0_S = struct.pack("ii", 1, 0)  # struct linger
_LAST_DATA_RECEIVED_OFFSET = 52  # of tcpi_last_data_recv (ms since data was last received) in struct tcp_info


class ConnectionSocket:
    """The socket of a connection; after `release`, all queries return that there is nothing to report."""

    __slots__ = ("_getsockopt", "_poll", "_socket")

    def __init__(self, transport: Transport) -> None:
        borrowed = transport.get_extra_info("socket")
        # Created once per connection, because uvloop creates a new socket object at each get_extra_info call.
        self._socket = socket.socket(borrowed.family, borrowed.type, borrowed.proto, fileno=borrowed.fileno())
        self._getsockopt = self._socket.getsockopt
        self._poll = select.poll()
        self._poll.register(self._socket.fileno(), select.POLLIN | select.POLLRDHUP)

    def __del__(self) -> None:
        if hasattr(self, "_socket"):
            self.release()

    def release(self) -> None:
        """Stop using the socket; called when the transport closes it, as its descriptor may be reused."""
        if self._socket.fileno() >= 0:
            self._poll.unregister(self._socket.fileno())
            self._socket.detach()

    def is_idle(self) -> bool:
        """Return whether there is no unread data and the peer has not closed the connection."""
        return not self._poll.poll(0)

    def is_peer_closed(self) -> bool:
        """Return whether the peer has closed the connection, even if there is unread data."""
        return any(events & PEER_CLOSED_EVENTS for _, events in self._poll.poll(0))

    def unread_us(self) -> int:
        """Return how many microseconds ago data was last received, accurate to some milliseconds.

        Called when data is read, this is the time the data spent in the socket buffer.  It is subtracted from
        measured times, so that the delay of a busy event loop is not attributed to the peer.
        """
        try:
            info = self._getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _LAST_DATA_RECEIVED_OFFSET + 4)
        except OSError:
            return 0  # the socket was released or has failed
        return int.from_bytes(info[_LAST_DATA_RECEIVED_OFFSET:], sys.byteorder) * 1_000

    def unsent_bytes(self) -> int:
        """Return the number of bytes in the socket's send queue, which the peer has not acknowledged yet."""
        return self._queued_bytes(termios.TIOCOUTQ)

    def unread_bytes(self) -> int:
        """Return the number of bytes in the socket's receive queue, which the peer has sent."""
        return self._queued_bytes(termios.FIONREAD)

    def _queued_bytes(self, request: int) -> int:
        try:
            queued = fcntl.ioctl(self._socket.fileno(), request, b"\0" * 4)
        except (OSError, ValueError):
            return 0
        return int.from_bytes(queued, sys.byteorder)

    def discard_unsent(self) -> None:
        """Reset the connection when it is closed, so that the peer does not get what is in the send queue."""
        with contextlib.suppress(OSError):
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ON_FOR_0_S)

    def shut_down(self, how: int = socket.SHUT_WR) -> None:
        """Shut down sending, or both directions, immediately instead of when the transport gets to it."""
        with contextlib.suppress(OSError):  # the peer has closed the connection, or the socket was released
            self._socket.shutdown(how)
