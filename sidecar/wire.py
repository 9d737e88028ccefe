"""What a transport does not tell of its connection, asked of the socket itself.

The socket is the transport's own: it is looked at, its sending may be ended, and it is never closed here.
"""

from __future__ import annotations

import fcntl
import select
import socket
import sys
import termios

from sidecar.roles import Transport

LEFT = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # the other end is closed
_LAST_DATA_RECEIVED = 52  # where struct tcp_info has how many milliseconds ago the last data came


class Wire:
    """One connection's socket, until `release`; from then on it says that nothing is there."""

    __slots__ = ("_poll", "_read", "_socket")

    def __init__(self, transport: Transport) -> None:
        lent = transport.get_extra_info("socket")
        # One object for the connection's whole life: uvloop makes a new one for each call.
        self._socket = socket.socket(lent.family, lent.type, lent.proto, fileno=lent.fileno())
        self._read = self._socket.getsockopt
        self._poll = select.poll()
        self._poll.register(self._socket.fileno(), select.POLLIN | select.POLLRDHUP)

    def __del__(self) -> None:
        if hasattr(self, "_socket"):
            self.release()

    def release(self) -> None:
        """The transport closes its socket now: its descriptor may soon be another connection's."""
        if self._socket.fileno() >= 0:
            self._poll.unregister(self._socket.fileno())
            self._socket.detach()

    def is_quiet(self) -> bool:
        """Whether nothing lies unread and the other end has not closed."""
        return not self._poll.poll(0)

    def has_left(self) -> bool:
        """Whether the other end is closed, whatever it sent before."""
        return any(seen & LEFT for _, seen in self._poll.poll(0))

    def unread_us(self) -> int:
        """How long the last bytes that were read lay in the socket before that, to some milliseconds.

        Guards against taking the delay of a busy event loop for the far end's.
        """
        try:
            info = self._read(socket.IPPROTO_TCP, socket.TCP_INFO, _LAST_DATA_RECEIVED + 4)
        except OSError:
            return 0  # it was released, or has failed
        return int.from_bytes(info[_LAST_DATA_RECEIVED:], sys.byteorder) * 1_000

    def unsent_bytes(self) -> int:
        """How much was written and not taken by the other machine, as far as the system tells."""
        try:
            queued = fcntl.ioctl(self._socket.fileno(), termios.TIOCOUTQ, b"\0" * 4)
        except (OSError, ValueError):
            return 0
        return int.from_bytes(queued, sys.byteorder)

    def end(self, how: int = socket.SHUT_WR) -> None:
        """End our sending (or both ways) within this call, whatever the transport does later."""
        try:
            self._socket.shutdown(how)
        except OSError:
            pass  # the peer was quicker, or it was released
