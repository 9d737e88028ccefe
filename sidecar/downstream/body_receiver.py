"""The part of a client connection that receives a streamed request body: pauses, and its arrival."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sidecar.downstream.body_arrival import BodyArrival
from sidecar.downstream.body_streaming import Upload
from sidecar.downstream.client_transport import ClientTransport
from sidecar.downstream.flow_control import ReceiveProgress

if TYPE_CHECKING:
    from sidecar.downstream.downstream import Downstream


class BodyReceiver(ClientTransport):
    """The part of a client connection that is independent of how requests are read and answered."""

    _owner: Downstream

    def __init__(self, owner: Downstream) -> None:
        super().__init__(owner)
        self._pending_request: int | None = None  # the number of the request without a response
        self._upload: Upload | None = None  # a streamed body that has not arrived completely
        self._body_arrival: BodyArrival | None = None  # of that body
        self.receive_progress = ReceiveProgress(0.0)

    def may_read(self) -> bool:
        """Whether neither the body's receiver nor a client that reads no responses holds up reading."""
        return self.receive_progress.paused_since is None and not self._is_writing_paused

    def report_unread_body(self) -> None:
        """Report for how long the client may have been waiting though the rest of its body is unread."""
        if self._pending_request is None:
            return
        self._record_unread_body()
        unread_us = self._unread_body_us()
        if unread_us:
            self._owner.on_unread_body(self._pending_request, unread_us)

    def _record_unread_body(self) -> None:
        if self._body_arrival is None or self._socket is None:
            return
        progress, unread_bytes = self.receive_progress, self._socket.unread_bytes()
        if not unread_bytes:
            self._body_arrival.record_empty()
        elif progress.paused_since is not None:
            now = asyncio.get_running_loop().time()
            self._body_arrival.record_unread(progress.received_bytes, unread_bytes, now)

    def _unread_body_us(self) -> int:
        if self._body_arrival is None:
            return 0
        return int(self._body_arrival.waiting_s(asyncio.get_running_loop().time()) * 1e6)

    def _pause_upload(self) -> None:
        """Pause reading the body: its buffer is full, or the server is slower than the client."""
        if (
            self.receive_progress.paused_since is None
            and self._upload is not None
            and self._transport is not None
        ):
            self.receive_progress.paused_since = asyncio.get_running_loop().time()
            self._transport.pause_reading()

    def _resume_upload(self) -> None:
        if self.receive_progress.paused_since is None or self._transport is None:
            return
        self.receive_progress.resume(asyncio.get_running_loop().time())
        if not self._is_writing_paused and not self._transport.is_closing():
            self._transport.resume_reading()

    def _discard_upload(self) -> None:
        self._upload = self._body_arrival = None
        self._resume_upload()
