"""Asks the socket of a connection what its transport does not tell.

The socket belongs to the transport: it is queried, its sending may be shut down, and it is never closed here.
"""

from __future__ import annotations

import contextlib
import fcntl
import select
import socket
import sys
import termios

from sidecar.interfaces import Transport

PEER_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
_LAST_DATA_RECEIVED_OFFSET = 52  # in struct tcp_info: ms since the last data came, tcpi_last_data_recv


class ConnectionSocket:
    """One connection's socket until `release`; from then on it reports that nothing is there."""

    __slots__ = ("_getsockopt", "_poll", "_socket")

    def __init__(self, transport: Transport) -> None:
        borrowed = transport.get_extra_info("socket")
        # One object for the connection's lifetime: uvloop creates a new one for each call.
        self._socket = socket.socket(borrowed.family, borrowed.type, borrowed.proto, fileno=borrowed.fileno())
        self._getsockopt = self._socket.getsockopt
        self._poll = select.poll()
        self._poll.register(self._socket.fileno(), select.POLLIN | select.POLLRDHUP)

    def __del__(self) -> None:
        if hasattr(self, "_socket"):
            self.release()

    def release(self) -> None:
        """Stop using the socket: the transport closes it now, and its descriptor may be reused."""
        if self._socket.fileno() >= 0:
            self._poll.unregister(self._socket.fileno())
            self._socket.detach()

    def is_idle(self) -> bool:
        """Return whether no data is unread and the peer has not closed."""
        return not self._poll.poll(0)

    def is_peer_closed(self) -> bool:
        """Return whether the peer has closed, whatever it sent before."""
        return any(events & PEER_CLOSED_EVENTS for _, events in self._poll.poll(0))

    def unread_us(self) -> int:
        """Return how long the data that was read last had been in the socket, to some milliseconds.

        This keeps the delay of a busy event loop from being taken for the peer's.
        """
        try:
            info = self._getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _LAST_DATA_RECEIVED_OFFSET + 4)
        except OSError:
            return 0  # released, or failed
        return int.from_bytes(info[_LAST_DATA_RECEIVED_OFFSET:], sys.byteorder) * 1_000

    def unsent_bytes(self) -> int:
        """Return how much was written and not acknowledged by the peer, as far as the system knows."""
        try:
            queued = fcntl.ioctl(self._socket.fileno(), termios.TIOCOUTQ, b"\0" * 4)
        except (OSError, ValueError):
            return 0
        return int.from_bytes(queued, sys.byteorder)

    def shut_down(self, how: int = socket.SHUT_WR) -> None:
        """Shut down sending (or both ways) within this call, whatever the transport does later."""
        with contextlib.suppress(OSError):  # the peer was faster, or it was released
            self._socket.shutdown(how)
