"""What the ground's processes have in common: their input, and random numbers by subject."""

from __future__ import annotations

import asyncio
import random
import sys

from testbed.scenario.draw import random_stream

MAX_LINE_BYTES = 1 << 26  # bytes: a day with all of its parties


async def open_stdin() -> asyncio.StreamReader:
    """Standard input, to be read without holding up the loop."""
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    return reader


def seeded(seed: int, subject: str) -> random.Random:
    """Random numbers of one subject, one at a time: quicker so than numpy's."""
    return random.Random(int(random_stream(seed, subject).integers(1 << 62)))
