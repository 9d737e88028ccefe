"""A client connection below HTTP: its state, the ways to close it, and how much its client has taken."""

from __future__ import annotations

from typing import Any, Protocol

from sidecar.connection_socket import ConnectionSocket
from sidecar.downstream.connection_state import ConnectionState
from sidecar.downstream.flow_control import STALL_TIMEOUT_S, BoundedReader, WriteProgress
from sidecar.interfaces import Transport

CLIENT_TIMEOUT_S = 2.4  # to send a head, to take some of a response, or to hang up while lingering


class ConnectionOwner(Protocol):
    """What a connection asks of the owner of all client connections; it passes itself."""

    def await_client(self, connection: Any) -> None:
        """Give the client a bounded time to do what is expected of it."""

    def watch_progress(self, connection: Any) -> None:
        """Give the client time as long as it makes progress."""


class ClientTransport(BoundedReader):
    """The part of a client connection that knows nothing of requests and responses."""

    def __init__(self, owner: ConnectionOwner) -> None:
        self._owner = owner
        self._transport: Transport | None = None  # None: not connected yet
        self._socket: ConnectionSocket | None = None
        self._writing = WriteProgress()
        self._is_writing_paused = False
        self._is_reading_ended = False  # whatever still arrives is discarded
        self._was_streamed = False  # whether the current or last response is a streamed one
        self.state = ConnectionState.READING

    def _enter(self, state: ConnectionState) -> None:
        if state is not self.state:
            assert state in self.state.successors, f"{self.state.value} to {state.value}"
            self.state = state

    # Ending the connection

    def close(self) -> None:
        """Close an idle connection; a request that crosses this is read by nobody and never forwarded."""
        if self._transport is None or self._is_reading_ended:
            return
        if not self._transport.is_closing() and not self._transport.get_write_buffer_size():
            assert self._socket is not None
            self._socket.shut_down()  # at once: the transport's own end waits for its turn in the event loop
        self._linger()

    def close_unused(self) -> None:
        """Close a connection that has brought nothing and awaits no response, and free its descriptor."""
        if self._transport is None:
            return
        if not self._transport.is_closing() and self._socket is not None:
            self._socket.shut_down()
        self._enter(ConnectionState.CLOSED)
        self._is_reading_ended = True
        self._transport.close()

    def abort(self) -> None:
        """Close the connection and drop what is still to be written."""
        self._enter(ConnectionState.CLOSED)
        self._is_reading_ended = True
        if self._transport is not None:
            self._transport.abort()

    def _linger(self) -> None:
        """Close our side and let the client finish sending, for a while; what still comes is discarded.

        The one way to end a connection that may have a response on its way.  Guards against cutting that
        off: with bytes unread, a close resets the connection, and the client may never see the response.
        """
        assert self._transport is not None
        self._is_reading_ended = True
        if self._transport.is_closing():
            return
        if self._transport.can_write_eof():
            self._transport.write_eof()  # behind what is still to be written
        self._enter(ConnectionState.LINGERING)
        self._writing.restart()
        if not self._is_writing_paused:
            self._owner.await_client(self)

    # What the client has taken

    def pause_writing(self) -> None:
        """Called by the event loop: the write buffer has exceeded its limit."""
        self._is_writing_paused = True
        self._writing.restart()
        self._owner.watch_progress(self)
        if self._transport is not None:
            self._transport.pause_reading()

    def has_disconnected(self) -> bool:
        """Whether the client has closed its connection, behind whatever it sent.

        Guards against collapse under overload: when requests are read so late that their clients have given
        up and retry, all the time would go to responses that nobody reads.
        """
        return self._socket is not None and self._socket.is_peer_closed()

    @property
    def has_untaken_bytes(self) -> bool:
        """Whether some of what was written has not arrived at the client."""
        is_open = self._transport is not None and not self._transport.is_closing()
        return is_open and self._untaken_bytes() > 0

    def _is_not_taking(self, now: float) -> bool:
        """Whether the client has taken nothing of what was written for it for too long."""
        timeout_s = STALL_TIMEOUT_S if self._was_streamed else CLIENT_TIMEOUT_S
        return self._writing.stalled_s(self._untaken_bytes(), now) > timeout_s

    def _untaken_bytes(self) -> int:
        """Return how much was written for the client and not taken by its machine."""
        assert self._transport is not None
        assert self._socket is not None
        return self._transport.get_write_buffer_size() + self._socket.unsent_bytes()
