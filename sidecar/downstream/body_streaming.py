"""Streams request bodies that are too long to be buffered: they are forwarded while they arrive."""

from __future__ import annotations

from collections.abc import Callable

from sidecar.downstream.flow_control import MAX_BUFFERED_BODY_BYTES
from sidecar.interfaces import RequestBodySink
from sidecar.memory_budget import MemoryBudget


class Upload:
    """A streamed request body, between the client that sends it and the exchange that forwards it.

    Until a sink is attached, the beginning of the body is buffered, and reading from the client is paused
    when the buffer is full or the memory of all uploads is used up.  What was passed to a sink is not stored,
    so only one sink can get the body.

    While the sink can't take more, reading goes on within the memory of all uploads: a client that has sent
    its last byte can only be told from one that is still sending by reading what it has sent.
    """

    def __init__(
        self,
        length: int | None,
        pause: Callable[[], None],
        resume: Callable[[], None],
        memory: MemoryBudget | None = None,
    ) -> None:
        """`pause` and `resume` stop and restart reading from the client; they may be called repeatedly.

        Without `memory`, reading is paused as soon as the sink can't take more, or the buffer is full.
        """
        self.length = length  # in bytes; None: not known in advance
        self.is_consumed = False  # it was passed to a sink and can't be sent again
        self.is_complete = False  # its last byte has arrived
        self._pause = pause
        self._resume = resume
        self._buffered: list[bytes] = []
        self._buffered_bytes = 0
        self._sink: RequestBodySink | None = None
        self._memory = memory
        self._held_bytes = 0  # buffered, or passed to the sink, which waits for its server

    def feed(self, data: bytes) -> None:
        """Forward or buffer a piece of the body that the client sent."""
        if self._sink is not None:
            if not self._sink.send_body(data) and not self._hold(len(data)):
                self._pause()
        elif not self.is_consumed:
            self._buffered.append(data)
            self._buffered_bytes += len(data)
            may_continue = self._hold(len(data)) or self._memory is None
            if not may_continue or self._buffered_bytes >= MAX_BUFFERED_BODY_BYTES:
                self._pause()

    def end(self) -> None:
        """Mark the body as complete: the client has sent its last piece."""
        self.is_complete = True
        if self._sink is not None:
            self._sink.end_body()

    def attach(self, sink: RequestBodySink) -> None:
        """Forward the buffered beginning, and everything after it, to this sink."""
        self._sink = sink
        self.is_consumed = True
        buffered, self._buffered = self._buffered, []
        self.release_memory()
        may_continue = True
        for piece in buffered:
            may_continue = sink.send_body(piece) or self._hold(len(piece))
        if self.is_complete:
            sink.end_body()
        elif may_continue:
            self._resume()
        else:
            self._pause()

    def resume(self) -> None:
        """Resume reading from the client; called by the sink once its write buffer is empty."""
        self.release_memory()
        self._resume()

    def detach(self, sink: RequestBodySink) -> None:
        """Discard the rest of the body, because the exchange of this sink has ended."""
        if self._sink is sink:
            self._sink = None
            self.release_memory()
            self._resume()

    def discard(self) -> None:
        """Discard what is buffered, because the request has ended."""
        self.is_consumed = True
        self._buffered = []
        self.release_memory()

    def release_memory(self) -> None:
        """Stop counting what the sink held; called once it has passed everything on, or has discarded it."""
        if self._memory is not None:
            self._memory.release(self._held_bytes)
        self._held_bytes = 0

    def _hold(self, count: int) -> bool:
        """Count bytes that the sink can't pass on yet; return whether it may be given more."""
        if self._memory is None:
            return False
        self._held_bytes += count
        self._memory.hold(count)
        return not self._memory.is_exceeded
