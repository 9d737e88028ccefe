"""A soak of the real program: servers with faults, crowds of clients, and signals in series, by seed.

`python tests/soak.py --seeds 50` plays seeds 1 to 50, a few at a time, and prints what each one broke.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import json
import multiprocessing
import signal
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from loopback import (
    ERROR,
    FULL,
    HOST,
    Client,
    ReceivedRequest,
    ScriptedDiscovery,
    ScriptedServer,
    endpoint_entry,
    http_response,
    request_bytes,
    run_async,
)
from memory_use import peak_memory_mb
from test_program import VALID_CONFIGURATION, kill_program, start_program

SERVERS = 4
LIVES = 2  # of the sidecar, each of which ends by SIGTERM and SIGKILL
LIFE_S = 2.0
DEADLINE_S = 0.8
KILL_DELAY_S = DEADLINE_S + 0.7  # after SIGTERM
ANSWER_TIMEOUT_S = 15.0  # of the test, far beyond any deadline
LIMITS = ((32, 256, 12), (48, 256, 85), (64, 1_024, 12), (64, 1_024, 200), (96, 512, 40))
CLASSES = [
    {"name": "check", "giveUpUs": DEADLINE_S * 1e6, "promiseUs": 300_000, "repeat": "read_like"},
    {"name": "lodge", "giveUpUs": DEADLINE_S * 1e6, "promiseUs": 300_000, "repeat": "non_idempotent"},
]


@dataclass
class Findings:
    """What a seed has seen: counts of all kinds, and what broke a rule."""

    counts: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)


class FaultyServers:
    """The script of all servers: answers most requests with their id, and some in other ways."""

    def __init__(self, random: Random, findings: Findings) -> None:
        self._random = random
        self._findings = findings
        self._executed: set[str] = set()

    async def __call__(self, request: ReceivedRequest) -> bytes | None:
        request_id = request.headers.get("request-id")
        if request_id is None:
            return http_response(b"{}")  # a health check
        if self._random.random() < 0.03:
            return FULL
        if request.method == "POST" and request_id in self._executed:
            self._findings.violations.append(f"{request_id} ran twice")
        self._executed.add(request_id)
        return await self._answer(request, request_id.encode())

    async def _answer(self, request: ReceivedRequest, request_id: bytes) -> bytes | None:
        kind = self._random.choices(
            ["quick", "slow", "long", "paused", "error", "reset", "hang"], [70, 10, 8, 4, 3, 3, 2]
        )[0]
        await asyncio.sleep(self._random.random() * (0.3 if kind == "slow" else 0.01))
        if kind == "error":
            return ERROR
        if kind == "reset":
            request.writer.transport.abort()
            return None
        if kind == "hang":
            await asyncio.sleep(2 * DEADLINE_S)
        padding = {"long": 300_000, "paused": 50_000}.get(kind, self._random.choice([0, 3_000, 60_000]))
        response = http_response(request_id + bytes(padding))
        if kind in ("long", "paused"):
            request.writer.write(response[: len(response) // 2])
            await asyncio.sleep(self._random.random() * 0.3)
            response = response[len(response) // 2 :]
        return response


class Soak:
    """One seed: a sidecar that is started, signalled and killed while clients go on."""

    def __init__(self, seed: int, directory: Path) -> None:
        self.findings = Findings()
        self._random = Random(seed)
        self._directory = directory
        self._memory_mb, self._sockets, self._clients = LIMITS[seed % len(LIMITS)]
        self._discovery = ScriptedDiscovery()
        self._servers: list[ScriptedServer] = []
        self._port = 0
        self._is_ending = False  # from SIGTERM until the next life
        self._is_over = False
        self._life = 0

    async def play(self) -> Findings:
        """Play all lives of the sidecar."""
        # A scripted server may write to a connection that has ended meanwhile.
        asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
        script = FaultyServers(self._random, self.findings)
        self._servers = [await ScriptedServer(script).start() for _ in range(SERVERS)]
        self._discovery.servers = [
            endpoint_entry(f"s-{number}", server.address) for number, server in enumerate(self._servers)
        ]
        await self._discovery.start()
        clients: list[asyncio.Task[None]] = []
        for self._life in range(1, LIVES + 1):
            self._is_ending = False
            process = await self._start()
            if not clients:
                clients = [asyncio.create_task(self._send_requests(n)) for n in range(self._clients)]
            await self._live(process)
        self._is_over = True
        await asyncio.gather(*clients)
        for server in (*self._servers, self._discovery):
            server.stop()
        return self.findings

    # The sidecar

    def _write_configuration(self) -> Path:
        path = self._directory / "config.json"
        document: dict[str, Any] = {
            **VALID_CONFIGURATION,
            "listen": f"{HOST}:{self._port}",
            "discovery": self._discovery.address,
            "limits": {"cores": 1.0, "memory_mb": self._memory_mb, "sockets": self._sockets},
            "known": {"version": 1, "full": True, "servers": self._discovery.servers},
        }
        bounds = {"sendCap": 3, "mayCancel": self._random.random() < 0.7, "secondCopies": True}
        document["settings"] = {**document["settings"], "lanes": CLASSES, "bounds": bounds}
        path.write_text(json.dumps(document))
        return path

    async def _start(self) -> asyncio.subprocess.Process:
        process = await start_program(self._write_configuration())
        assert process.stderr is not None
        line = (await process.stderr.readline()).decode()
        if "serves on" not in line:
            self.findings.violations.append(f"life {self._life} did not start: {line}")
        self._port = int(line.rpartition(":")[2] or 0)
        return process

    async def _live(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        log = asyncio.create_task(process.stderr.read())
        ends_at = asyncio.get_running_loop().time() + LIFE_S
        while asyncio.get_running_loop().time() < ends_at:
            await asyncio.sleep(self._random.random() * 0.6)
            self._disturb(process)
        with contextlib.suppress(OSError, ValueError):
            peak_mb = peak_memory_mb(process.pid)
            if peak_mb > self._memory_mb:
                self.findings.violations.append(f"{peak_mb:.1f} of {self._memory_mb} MB")
        if process.returncode is not None:
            self.findings.violations.append(f"ended by itself with code {process.returncode}")
        self._is_ending = True
        await self._end(process)
        text = (await log).decode()
        if "Traceback" in text or "internal_error" in text or "Fatal" in text:
            self.findings.violations.append(f"log: {text[-500:]}")

    def _disturb(self, process: asyncio.subprocess.Process) -> None:
        """Let a server drain, return or lose its connections, or reload the configuration."""
        number = self._random.randrange(SERVERS)
        kind = self._random.choice(["drain", "return", "lose", "reload", "reload twice"])
        address = self._servers[number].address
        if kind == "lose":
            self._servers[number].close_connections()
        elif kind in ("drain", "return"):
            state = "leaving" if kind == "drain" and number else "active"
            self._discovery.send_changes(endpoint_entry(f"s-{number}", address, state=state))
        elif process.returncode is None:
            self._write_configuration()
            for _ in kind.split():
                process.send_signal(signal.SIGHUP)
        self.findings.counts[kind] += 1

    async def _end(self, process: asyncio.subprocess.Process) -> None:
        """Send signals in series, and kill the process as early as the platform may."""
        killed_at = asyncio.get_running_loop().time() + KILL_DELAY_S
        for number in (signal.SIGTERM, *self._random.choices([signal.SIGTERM, signal.SIGHUP], k=3)):
            if process.returncode is None:
                process.send_signal(number)
            await asyncio.sleep(self._random.random() * 0.2)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(killed_at):
                await process.wait()
        if process.returncode not in (None, 0):
            self.findings.violations.append(f"code {process.returncode} after SIGTERM")
        self.findings.counts["killed" if process.returncode is None else "ended in time"] += 1
        await kill_program(process)

    # The clients

    async def _send_requests(self, number: int) -> None:
        """Send requests on one connection after another, until the soak is over."""
        client: Client | None = None
        for count in itertools.count():
            if self._is_over:
                break
            body = self._random.choice([0, 200, 20_000, 150_000])
            request_id = f"{number:x}-{count:x}"
            service_class = "lodge" if self._random.random() < 0.5 else "check"
            request = request_bytes(
                service_class,
                timeout=f"{DEADLINE_S}",
                body=bytes(body) if service_class == "lodge" else b"",
                Request_Id=request_id,
            )
            client = await self._send(client, request, request_id)
            await asyncio.sleep(self._random.random() * 0.05)
        if client is not None:
            client.close()

    async def _send(self, client: Client | None, request: bytes, request_id: str) -> Client | None:
        """Send a request; return the connection, or None if it has ended."""
        is_new, life, was_ending = client is None, self._life, self._is_ending
        try:
            if client is None:
                client = Client(*await asyncio.open_connection(HOST, self._port))
            client.send(request)
            if self._random.random() < 0.02:
                client.close()
                self.findings.counts["left"] += 1
                return None
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                response = await client.read_response()
        except (OSError, asyncio.IncompleteReadError) as error:
            is_excused = was_ending or self._is_ending or life != self._life
            self._ended_without_answer(error, request_id, is_new=is_new, is_excused=is_excused)
            if client is not None:
                client.close()
            return None
        self.findings.counts[str(response.status)] += 1
        if response.status == 200 and response.body.rstrip(b"\0") != request_id.encode():
            self.findings.violations.append(f"{request_id} got the answer to another request")
        if response.headers.get("connection") == "close":
            client.close()
            return None
        return client

    def _ended_without_answer(
        self, error: BaseException, request_id: str, *, is_new: bool, is_excused: bool
    ) -> None:
        """Note a connection that ended without an answer: allowed between requests, and at an end."""
        is_unread = isinstance(error, asyncio.IncompleteReadError) and not error.partial
        kind = f"{type(error).__name__} on a {'new' if is_new else 'used'} connection"
        self.findings.counts[kind] += 1
        if isinstance(error, TimeoutError):
            self.findings.violations.append(f"{request_id} got no answer")
        elif is_new and is_unread and not is_excused and self._clients < self._sockets // 3 - 1:
            self.findings.violations.append(f"{request_id} was closed on without an answer")


def play(seed: int) -> Findings:
    """Play one seed."""
    with tempfile.TemporaryDirectory() as directory:
        return run_async(Soak(seed, Path(directory)).play)


def main() -> int:
    """Play seeds in a few processes at a time; return 1 if one of them broke a rule."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--processes", type=int, default=5)
    arguments = parser.parse_args()
    seeds = range(arguments.first, arguments.first + arguments.seeds)
    is_broken = False
    with multiprocessing.get_context("spawn").Pool(arguments.processes) as pool:
        for seed, findings in zip(seeds, pool.imap(play, seeds), strict=True):
            print(seed, dict(findings.counts), findings.violations or "held", flush=True)
            is_broken |= bool(findings.violations)
    return int(is_broken)


if __name__ == "__main__":
    sys.exit(main())
