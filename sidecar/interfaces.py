"""Interfaces between the sides of the proxy, so that neither side imports the other for them.

Not compiled, so that no types are checked at each call: event loops have transport classes of their own.
"""

from __future__ import annotations

from typing import Any, Protocol


class Transport(Protocol):
    """The part of asyncio.Transport that is used here."""

    def write(self, data: bytes) -> None: ...

    def close(self) -> None: ...

    def abort(self) -> None: ...

    def is_closing(self) -> bool: ...

    def is_reading(self) -> bool: ...

    def pause_reading(self) -> None: ...

    def resume_reading(self) -> None: ...

    def can_write_eof(self) -> bool: ...

    def write_eof(self) -> None: ...

    def get_write_buffer_size(self) -> int: ...

    def set_write_buffer_limits(self, high: int) -> None: ...

    def get_extra_info(self, name: str) -> Any: ...


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
