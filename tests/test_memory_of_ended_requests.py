"""Ended requests hold no memory: nothing that a peer sent outlives its request."""

from __future__ import annotations

import asyncio
from pathlib import Path

from loopback import OK, run_async
from memory_use import peak_memory_mb
from test_program import RunningProgram, running_program

PROCESS_MEMORY_MB = 64
PROCESS_LIMITS = {"cores": 1.0, "memory_mb": PROCESS_MEMORY_MB, "sockets": 1_024}
CLIENTS = 1_024 // 3
REQUESTS_PER_CLIENT = 12
BODY = bytes(64_000)


async def post_repeatedly(program: RunningProgram) -> None:
    """Send requests on one connection, and on another one after each response that ends it."""
    client = await program.client()
    for _ in range(REQUESTS_PER_CLIENT):
        response = await client.request("lodge", body=BODY, timeout="4")
        if response.headers.get("connection") == "close":
            client.close()
            client = await program.client()
    client.close()


def test_crowd_that_posts_bodies_keeps_the_process_within_its_memory_limit(tmp_path: Path) -> None:
    # Guards against bodies of ended requests that stay in memory until the garbage collector finds them.
    async def work() -> None:
        async with running_program(OK, tmp_path, limits=PROCESS_LIMITS) as program:
            await asyncio.gather(*(post_repeatedly(program) for _ in range(CLIENTS)))
            assert program.process.returncode is None
            assert peak_memory_mb(program.process.pid) < PROCESS_MEMORY_MB

    run_async(work)
