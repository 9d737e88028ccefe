"""What the parts of the data path are to each other; no part imports another for it.

Not compiled, so that nothing is checked at each call: event loops have transports of classes of their own.
"""

from __future__ import annotations

from typing import Any, Protocol


class Transport(Protocol):
    """What an event loop's transport of a stream can do (asyncio.Transport, in part)."""

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


class Source(Protocol):
    """Where an answer comes from."""

    def pause(self) -> None: ...

    def resume(self) -> None: ...


class Sink(Protocol):
    """Where an answer goes to.  `write` says whether more may follow now; else `resume` tells the source."""

    def write(self, data: bytes) -> bool: ...


class Outlet(Protocol):
    """Where a request's body goes to: an exchange with a server."""

    def send_body(self, data: bytes) -> bool: ...

    def end_body(self) -> None: ...
