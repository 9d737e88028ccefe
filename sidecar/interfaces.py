"""Interfaces between the sides of the proxy, so that neither side imports the other for them.

Not compiled, so that no types are checked at each call: event loops have transport classes of their own.
"""

from __future__ import annotations

from typing import Any, Protocol


class Transport(Protocol):
    """The part of asyncio.Transport that is used here."""

    def write(self, data: bytes) -> None:
        """Write or buffer these bytes."""

    def close(self) -> None:
        """Close after the buffered bytes are sent."""

    def abort(self) -> None:
        """Close at once; buffered bytes are discarded."""

    def is_closing(self) -> bool:
        """Whether it is closed or about to be."""

    def is_reading(self) -> bool:
        """Whether received data is delivered at present."""

    def pause_reading(self) -> None:
        """Deliver no received data until `resume_reading`."""

    def resume_reading(self) -> None:
        """Deliver received data again."""

    def can_write_eof(self) -> bool:
        """Whether `write_eof` is supported."""

    def write_eof(self) -> None:
        """Close the sending side after the buffered bytes are sent."""

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that are buffered for sending."""

    def set_write_buffer_limits(self, high: int) -> None:
        """Call `pause_writing` of the protocol above `high` buffered bytes."""

    def get_extra_info(self, name: str) -> Any:
        """Return a property of the connection by its name, or None."""


class ResponseSource(Protocol):
    """Where a response that is passed through comes from."""

    def pause(self) -> None:
        """Stop reading until `resume`."""

    def resume(self) -> None:
        """Read on."""


class ResponseSink(Protocol):
    """Where a response that is passed through goes to."""

    def write(self, data: bytes) -> bool:
        """Write some of it; return whether more may follow now, else the source is resumed later."""


class RequestBodySink(Protocol):
    """Where a request's body goes to: an exchange with a server."""

    def send_body(self, data: bytes) -> bool:
        """Write some of it; return whether more may follow now."""

    def end_body(self) -> None:
        """The body is complete."""
