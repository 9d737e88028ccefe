"""What the processes of the test bed have in common: their input, and streams of random numbers."""

from __future__ import annotations

import asyncio
import random
import sys

from testbed.scenario.draw import random_stream

MAX_LINE_BYTES = 1 << 26  # a line can hold a scenario run with all of its parties


async def open_stdin() -> asyncio.StreamReader:
    """Return a reader of standard input that does not block the event loop."""
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    return reader


def seeded(seed: int, subject: str) -> random.Random:
    """Return the random stream of a subject; for single numbers, it is faster than numpy's generator."""
    return random.Random(int(random_stream(seed, subject).integers(1 << 62)))
