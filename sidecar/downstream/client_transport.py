"""The part of a client connection below HTTP: its state, closing it, and the progress of writing."""

from __future__ import annotations

from typing import Any, Protocol

from sidecar.connection_socket import ConnectionSocket
from sidecar.downstream.connection_state import ConnectionState
from sidecar.downstream.flow_control import STALL_TIMEOUT_S, BoundedReader, WriteProgress
from sidecar.interfaces import Transport

CLIENT_TIMEOUT_S = 2.4  # to send a head, to read some of a response, or to close while lingering


class ConnectionOwner(Protocol):
    """The methods of the owner of all client connections that a connection calls; it passes itself."""

    def await_client(self, connection: Any) -> None:
        """Start the client timeout: the client must send, read or close within it."""

    def watch_progress(self, connection: Any) -> None:
        """Let the client continue without a timeout as long as it makes progress."""


class ClientTransport(BoundedReader):
    """The part of a client connection that is independent of requests and responses."""

    def __init__(self, owner: ConnectionOwner) -> None:
        self._owner = owner
        self._transport: Transport | None = None  # None: not connected yet
        self._socket: ConnectionSocket | None = None
        self._write_progress = WriteProgress()
        self._is_writing_paused = False
        self._is_reading_ended = False  # data that still arrives is discarded
        self._was_streamed = False  # whether the current or last response is a streamed one
        self.state = ConnectionState.READING

    def _enter(self, state: ConnectionState) -> None:
        if state is not self.state:
            assert state in self.state.successors, f"{self.state.value} to {state.value}"
            self.state = state

    # Ending the connection

    def close(self) -> None:
        """Close an idle connection; a request that is sent meanwhile is discarded, never forwarded."""
        if self._transport is None or self._is_reading_ended:
            return
        if not self._transport.is_closing() and not self._transport.get_write_buffer_size():
            assert self._socket is not None
            self._socket.shut_down()  # the transport itself does so only in a later event loop iteration
        self._linger()

    def close_unused(self) -> None:
        """Close a connection on which no request is pending or arriving, and free its descriptor."""
        if self._transport is None:
            return
        if not self._transport.is_closing() and self._socket is not None:
            self._socket.shut_down()
        self._enter(ConnectionState.CLOSED)
        self._is_reading_ended = True
        self._transport.close()

    def abort(self) -> None:
        """Close the connection and discard the data in its write buffer."""
        self._enter(ConnectionState.CLOSED)
        self._is_reading_ended = True
        if self._transport is not None:
            self._transport.abort()

    def _linger(self) -> None:
        """Close our sending side, and for a bounded time discard what the client still sends.

        Every connection that may have a response in transit is ended this way.  Closing a socket with unread
        data would reset the connection, and the client could lose the response.
        """
        assert self._transport is not None
        self._is_reading_ended = True
        if self._transport.is_closing():
            return
        if self._transport.can_write_eof():
            self._transport.write_eof()  # after the data in the write buffer
        self._enter(ConnectionState.LINGERING)
        self._write_progress.restart()
        if not self._is_writing_paused:
            self._owner.await_client(self)

    # Progress of writing to the client

    def pause_writing(self) -> None:
        """Called by the event loop: the write buffer has exceeded its limit."""
        self._is_writing_paused = True
        self._write_progress.restart()
        self._owner.watch_progress(self)
        if self._transport is not None:
            self._transport.pause_reading()

    def has_disconnected(self) -> bool:
        """Whether the client has closed its connection, even if data that it sent before is unread.

        Guards against congestion collapse under overload: if requests are read only after their clients have
        given up and retried, all processing time would go to responses that nobody reads.
        """
        return self._socket is not None and self._socket.is_peer_closed()

    @property
    def has_undelivered_bytes(self) -> bool:
        """Whether some of the data written has not been acknowledged by the client's machine."""
        is_open = self._transport is not None and not self._transport.is_closing()
        return is_open and self._undelivered_bytes() > 0

    def _is_write_stalled(self, now: float) -> bool:
        """Whether none of the data written was acknowledged for longer than the timeout."""
        timeout_s = STALL_TIMEOUT_S if self._was_streamed else CLIENT_TIMEOUT_S
        return self._write_progress.stalled_s(self._undelivered_bytes(), now) > timeout_s

    def _undelivered_bytes(self) -> int:
        """Return how many bytes were written and not acknowledged by the client's machine."""
        assert self._transport is not None
        assert self._socket is not None
        return self._transport.get_write_buffer_size() + self._socket.unsent_bytes()
