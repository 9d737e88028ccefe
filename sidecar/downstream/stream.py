"""Bodies that are too long to be kept: they pass through, at the pace of whoever reads them.

What is kept whole is at most `KEPT` long.  All else goes on as it comes; where the far side takes nothing
more, reading on the near side stops.  Each client's connection has an even part of one budget, so that the
slow can't use up what others need.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from sidecar.interfaces import RequestBodySink

KEPT = 64 << 10  # a message of up to this length is kept whole
LONGEST = 32 << 20  # and none may be longer than this
STALLED_S = 10.0  # a far side that takes or gives nothing for so long is given up
_READ = bytearray(64 << 10)  # what is read at once; shared, since it is copied before the event loop goes on
_VIEW = memoryview(_READ)
_OF_MEMORY = 1 / 8  # for bodies that pass through
_LEAST_PART = 4 << 10
_MOST_PART = 64 << 10


def part_of_budget(memory_mb: int, connections: int) -> int:
    """How many bytes may lie unwritten for one connection of a client."""
    even = int((memory_mb << 20) * _OF_MEMORY / max(connections, 1))
    return max(_LEAST_PART, min(even, _MOST_PART))


class BoundedReader(asyncio.BufferedProtocol):
    """A protocol that reads a bounded piece at a time, whatever the system holds."""

    def get_buffer(self, sizehint: int) -> bytearray:
        return _READ

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(_VIEW[:nbytes]))

    def data_received(self, data: bytes) -> None:
        raise NotImplementedError


class Upload:
    """A request's body on its way.  Its beginning is kept until somebody takes it; then it is gone."""

    def __init__(self, length: int | None, pause: Callable[[], None], resume: Callable[[], None]) -> None:
        self.length = length  # None: not known
        self.is_spent = False  # some of it was sent on and is kept nowhere
        self.is_whole = False  # it has come to its end
        self._pause = pause
        self._resume = resume
        self._waiting: list[bytes] = []
        self._size = 0
        self._outlet: RequestBodySink | None = None

    def feed(self, data: bytes) -> None:
        """More of it came from the client."""
        if self._outlet is not None:
            if not self._outlet.send_body(data):
                self._pause()
        elif not self.is_spent:
            self._waiting.append(data)
            self._size += len(data)
            if self._size >= KEPT:
                self._pause()

    def end(self) -> None:
        self.is_whole = True
        if self._outlet is not None:
            self._outlet.end_body()

    def attach(self, outlet: RequestBodySink) -> None:
        """Send it here from now on."""
        self._outlet = outlet
        self.is_spent = True
        waiting, self._waiting = self._waiting, []
        goes_on = True
        for each in waiting:
            goes_on = outlet.send_body(each)
        if self.is_whole:
            outlet.end_body()
        elif goes_on:
            self._resume()
        else:
            self._pause()

    def go_on(self) -> None:
        """All that was sent is written: more may come."""
        self._resume()

    def detach(self, outlet: RequestBodySink) -> None:
        """The exchange is over; what still comes goes nowhere."""
        if self._outlet is outlet:
            self._outlet = None
            self._resume()
