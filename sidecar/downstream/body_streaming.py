"""A request body that is forwarded while it arrives, because it is too long to be buffered."""

from __future__ import annotations

from collections.abc import Callable

from sidecar.downstream.flow_control import MAX_BUFFERED_BODY_BYTES
from sidecar.interfaces import RequestBodySink


class Upload:
    """A streamed request body, between the client that sends it and the exchange that forwards it.

    Until an outlet is attached, the beginning is buffered and the client paused once the buffer is full.
    Whatever went to an outlet is kept nowhere, so at most one outlet gets it.
    """

    def __init__(self, length: int | None, pause: Callable[[], None], resume: Callable[[], None]) -> None:
        """`pause` and `resume` stop and restart reading from the client; they may be called repeatedly."""
        self.length = length  # in bytes; None: not known in advance
        self.is_consumed = False  # it was handed to an outlet and can't be sent again
        self.is_complete = False  # its last byte has arrived
        self._pause = pause
        self._resume = resume
        self._buffered: list[bytes] = []
        self._buffered_bytes = 0
        self._outlet: RequestBodySink | None = None

    def feed(self, data: bytes) -> None:
        """Forward or buffer a piece that came from the client."""
        if self._outlet is not None:
            if not self._outlet.send_body(data):
                self._pause()
        elif not self.is_consumed:
            self._buffered.append(data)
            self._buffered_bytes += len(data)
            if self._buffered_bytes >= MAX_BUFFERED_BODY_BYTES:
                self._pause()

    def end(self) -> None:
        """Note that the last piece has come from the client."""
        self.is_complete = True
        if self._outlet is not None:
            self._outlet.end_body()

    def attach(self, outlet: RequestBodySink) -> None:
        """Forward the buffered beginning, and all that follows, to this outlet."""
        self._outlet = outlet
        self.is_consumed = True
        buffered, self._buffered = self._buffered, []
        is_writable = True
        for piece in buffered:
            is_writable = outlet.send_body(piece)
        if self.is_complete:
            outlet.end_body()
        elif is_writable:
            self._resume()
        else:
            self._pause()

    def resume(self) -> None:
        """Read on from the client: the outlet has written everything."""
        self._resume()

    def detach(self, outlet: RequestBodySink) -> None:
        """Discard whatever still comes: the outlet's exchange is over."""
        if self._outlet is outlet:
            self._outlet = None
            self._resume()
