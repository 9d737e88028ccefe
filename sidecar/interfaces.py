"""Interfaces between the downstream and the upstream side, so that neither has to import the other.

This module is not compiled: mypyc would check the types at each call, and event loops such as uvloop have
transport classes that don't derive from asyncio's.
"""

from __future__ import annotations

from typing import Any, Protocol


class Transport(Protocol):
    """The methods of asyncio.Transport that the sidecar uses."""

    def write(self, data: bytes) -> None:
        """Send the data, or buffer what can't be sent now."""

    def close(self) -> None:
        """Close the connection after buffered data is sent."""

    def abort(self) -> None:
        """Close the connection at once and discard buffered data."""

    def is_closing(self) -> bool:
        """Return whether the transport is closed or closing."""

    def is_reading(self) -> bool:
        """Return whether received data is delivered to the protocol."""

    def pause_reading(self) -> None:
        """Stop delivering received data until `resume_reading` is called."""

    def resume_reading(self) -> None:
        """Resume delivering received data."""

    def can_write_eof(self) -> bool:
        """Return whether `write_eof` is supported."""

    def write_eof(self) -> None:
        """Half-close the connection after buffered data is sent."""

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes in the write buffer."""

    def set_write_buffer_limits(self, high: int) -> None:
        """Call the protocol's `pause_writing` when more than `high` bytes are buffered."""

    def get_extra_info(self, name: str) -> Any:
        """Return information about the connection, such as its `socket`; None if it is not available."""


class ResponseSource(Protocol):
    """The origin of a streamed response: a connection to a server."""

    def pause(self) -> None:
        """Stop reading the response until `resume` is called."""

    def resume(self) -> None:
        """Continue reading the response."""


class ResponseSink(Protocol):
    """The destination of a streamed response: a connection to a client."""

    def write(self, data: bytes) -> bool:
        """Write a part of the body; return whether to continue, else the source is resumed later."""


class RequestBodySink(Protocol):
    """The destination of a streamed request body: an exchange with a server."""

    def send_body(self, data: bytes) -> bool:
        """Write a part of the body; return whether the next part may be written now."""

    def end_body(self) -> None:
        """Mark the body as complete."""
