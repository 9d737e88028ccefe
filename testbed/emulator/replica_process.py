"""Copies of the program as processes: started as the deploy file says, stopped, paused, killed, upgraded."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import random
import resource
import signal
import socket
import subprocess
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from testbed import events as log
from testbed.clock import RunClock
from testbed.emulator import run_command
from testbed.scenario.scenario_run import Replica, ScenarioRun
from testbed.scenario.settings import replica_settings, sigkill_delay_us

_LOOK_S = 0.02
_MOST_LOG = 4 << 20  # bytes kept of what one copy writes
_LAST_LINES = 5
_PR_SET_PDEATHSIG, _PR_CAPBSET_DROP, _CAP_DAC_OVERRIDE = 1, 24, 1
_LIBC = ctypes.CDLL(None)


class RunError(Exception):
    """The day can't be played; the text says why, for whoever asked for it."""


def _named(root: Path, key: str) -> str:
    try:
        command = tomllib.loads((root / "deploy" / "balancer.toml").read_text())[key]
    except (OSError, KeyError, tomllib.TOMLDecodeError) as fault:
        raise RunError(f"{root}: no deploy/balancer.toml that names `{key}`: {fault}") from None
    return str(command)


def deployed_command(root: Path) -> str:
    """The command that starts one copy of the program in a tree; raise RunError if there is none."""
    return _named(root, "run")


def build_tree(root: Path) -> None:
    """Do what a tree's deploy file says to build it; raise RunError where that fails."""
    command = ["/bin/sh", "-c", _named(root, "build")]
    done = subprocess.run(command, cwd=root, capture_output=True, text=True, check=False)
    if done.returncode:
        raise RunError(f"{root}: the build failed: {done.stderr.strip()[-500:]}")


def kill_with_parent() -> None:
    """In a child before it becomes its program: it is killed when the parent is gone, however that ended."""
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class Process:
    """One process of the program."""

    def __init__(
        self,
        command: str,
        root: Path,
        environment: dict[str, str],
        log_file: Path,
        descriptors: tuple[int, ...],
        *,
        is_unprivileged: bool,
    ) -> None:
        """`is_unprivileged`: even where this is root's, files that nobody may write are not written."""

        def prepare() -> None:
            kill_with_parent()
            if is_unprivileged:
                _LIBC.prctl(_PR_CAPBSET_DROP, _CAP_DAC_OVERRIDE)

        self._popen = subprocess.Popen(
            ["/bin/sh", "-c", command],
            cwd=root,
            env={**os.environ, **environment},
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
            pass_fds=descriptors,
            start_new_session=True,
            preexec_fn=prepare,
        )
        self.ended = asyncio.Event()
        self.killed = False
        self._log_file = log_file
        self._handle = os.pidfd_open(self._popen.pid)
        asyncio.get_running_loop().add_reader(self._handle, self._over)
        assert self._popen.stderr is not None
        self._said = self._popen.stderr
        os.set_blocking(self._said.fileno(), False)
        asyncio.get_running_loop().add_reader(self._said.fileno(), self._hear)

    @property
    def pid(self) -> int:
        """The system's number of it."""
        return self._popen.pid

    @property
    def code(self) -> int | None:
        """The exit code; None while the process runs."""
        return self._popen.returncode

    def _over(self) -> None:
        asyncio.get_running_loop().remove_reader(self._handle)
        os.close(self._handle)
        self._popen.wait()
        self._hear()
        self._deafen()
        self.ended.set()

    def _hear(self) -> None:
        """Keep what it writes, up to a bound."""
        try:
            data = os.read(self._said.fileno(), 1 << 16)
        except (BlockingIOError, ValueError):
            return
        if not data:
            self._deafen()
        elif not self._log_file.exists() or self._log_file.stat().st_size < _MOST_LOG:
            with self._log_file.open("ab") as file:
                file.write(data)

    def _deafen(self) -> None:
        if not self._said.closed:
            asyncio.get_running_loop().remove_reader(self._said.fileno())
            self._said.close()

    def signal(self, number: int) -> None:
        """Send a signal, unless the process has ended."""
        if not self.ended.is_set():
            self._popen.send_signal(number)

    def limit_files(self, most: int) -> None:
        """Let it write no file beyond so many bytes: a disk that is full."""
        with contextlib.suppress(ProcessLookupError):
            resource.prlimit(self._popen.pid, resource.RLIMIT_FSIZE, (most, resource.RLIM_INFINITY))


class ReplicaProcess:
    """One copy of the program over the day, with a folder of its own."""

    def __init__(
        self,
        day: ScenarioRun,
        copy: Replica,
        command: str,
        root: Path,
        folder: Path,
        clock: RunClock,
        writer: log.EventLogWriter,
        rng: random.Random,
        ready_within_s: float,
    ) -> None:
        self.copy, self.folder = copy, folder
        self.process: Process | None = None
        self.life = 0
        self.endpoint_list: Callable[[], object] = dict  # what it is told of servers at a start
        self.config: dict[str, Any] = {}
        self._day, self._command, self._root = day, command, root
        self._clock, self._writer, self._rng = clock, writer, rng
        self._ready_within_s = ready_within_s
        self._held: socket.socket | None = None
        self._admin_address: tuple[str, int] | None = None  # of operators, at the latest process
        self._ahead_s = 0.0  # its clock before the true one
        self._running: dict[Process, asyncio.Task[None]] = {}  # two at an upgrade; each with its watch
        self._paused = 0
        self.lifecycle = asyncio.Lock()
        (folder / "tmp").mkdir(parents=True)
        host = f"127.0.{copy.number // 250 + 1}.{copy.number % 250 + 1}"
        self.listen = (host, _free_port(host, socket.SOCK_STREAM))
        self.peer_listen = (host, _free_port(host, socket.SOCK_DGRAM))

    def configure(self, discovery: str, peers: list[str], everyone: str) -> None:
        """What its configuration says of others; each start adds a seed and the list."""
        self.config = {
            "name": f"n{self.copy.number}",
            "listen": _text(self.listen),
            "discovery": discovery,
            "limits": {
                "cores": 1.0,
                "memory_mb": self._day.sidecars.memory_limit_mb,
                "sockets": self._day.sidecars.socket_limit,
            },
            "settings": replica_settings(self._day, self.copy.number),
        }
        if self._day.sidecars.may_message_peers:
            self.config |= {
                "membership": self._day.sidecars.membership,
                "peer_listen": _text(self.peer_listen),
                "peers": peers,
                "peers_all": everyone,
            }
        if self._day.sidecars.has_inherited_listener:
            self._held = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            self._held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._held.bind(self.listen)
            self._held.listen(512)

    # Its processes

    def tell(self, what: str, life: int, code: int | None = None) -> None:
        """Log a change of the replica's life cycle."""
        at = self._clock.now()
        self._writer.write(
            log.ReplicaStateChanged(
                at_us=at, replica=self.copy.number, incarnation=life, state=what, exit_code=code
            )
        )

    async def start(self) -> Process:
        """Start a process; raise RunError where it does not get ready."""
        process, life, door = self._launch()
        await self._until_ready(process, door)
        self.tell("ready", life)
        return process

    def _launch(self) -> tuple[Process, int, tuple[str, int] | None]:
        self.life += 1
        life = self.life
        if not self._day.sidecars.keeps_temp_folder:
            for leftover in (self.folder / "tmp").iterdir():
                leftover.unlink()
        path = self.folder / "config.json"
        config = {**self.config, "seed": f"{self._rng.getrandbits(64):016x}", "known": self.endpoint_list()}
        path.write_text(json.dumps(config))
        environment = {"BALANCER_CONFIG": str(path), "TMPDIR": str(self.folder / "tmp")}
        for key in ("name", "listen", "discovery"):
            environment[f"BALANCER_{key.upper()}"] = config[key]
        descriptors: tuple[int, ...] = ()
        door: tuple[str, int] | None = None
        if self._day.sidecars.has_admin_interface:
            door = (self.listen[0], _free_port(self.listen[0], socket.SOCK_STREAM))
            environment["BALANCER_CONSOLE"] = _text(door)
        if self._held is not None:
            descriptors = (self._held.fileno(),)
            environment["BALANCER_SOCKET_FD"] = str(descriptors[0])
        is_unprivileged = any(fault.kind == "read_only" for fault in self._day.faults)
        process = Process(
            self._worded(),
            self._root,
            environment | {"PLUMTRESTLE_CLOCK_AHEAD": f"{self._ahead_s:g}"},
            self.folder / "stderr.log",
            descriptors,
            is_unprivileged=is_unprivileged,
        )
        self.process, self._admin_address = process, door
        self.tell("started", life)
        self._running[process] = asyncio.create_task(self._watch(process, life))
        return process, life, door

    def _worded(self) -> str:
        if not self._ahead_s:
            return self._command
        try:
            return run_command.run_with_wrapper(self._command, "testbed.emulator.shifted_clock")
        except ValueError as fault:
            raise RunError(f"a clock that differs needs it: {fault}") from None

    async def _until_ready(self, process: Process, door: tuple[str, int] | None) -> None:
        address, path = (self.listen, "/_health") if door is None else (door, "/api/ready")
        try:
            async with asyncio.timeout(self._ready_within_s):
                while not await _says_yes(address, path):
                    if process.ended.is_set():
                        raise RunError(
                            f"copy {self.copy.number} ended with code {process.code}: {self.last()}"
                        )
                    await asyncio.sleep(_LOOK_S)
        except TimeoutError:
            raise RunError(
                f"copy {self.copy.number} was not ready within {self._ready_within_s:g} s: {self.last()}"
            ) from None

    async def _watch(self, process: Process, life: int) -> None:
        """Tell of its end, unless it was killed from here."""
        await process.ended.wait()
        del self._running[process]
        if not process.killed:
            self.tell("ended", life, process.code)

    def last(self) -> str:
        """The last lines that it wrote."""
        try:
            lines = (self.folder / "stderr.log").read_text(errors="replace").splitlines()
        except OSError:
            lines = []
        return " | ".join(lines[-_LAST_LINES:]) or "it wrote nothing"

    async def figures(self) -> None:
        """Ask it for its figures, where it has a door for operators."""
        process, life, door = self.process, self.life, self._admin_address
        if door is None or process is None or process.ended.is_set() or self._paused:
            return
        told = await fetch(door, "/api/telemetry")
        if told is not None:
            given = json.loads(told)
            self._writer.write(
                log.MetricsReported(
                    at_us=self._clock.now(),
                    replica=self.copy.number,
                    incarnation=life,
                    pending_requests=int(given["pending"]),
                    listed_endpoints=int(given["members"]),
                    unavailable_endpoints=int(given["members_unavailable"]),
                    membership=_plain(given.get("membership")),
                )
            )

    # What troubles do

    async def kill(self) -> bool:
        """SIGKILL; no if there is no process."""
        process, life = self.process, self.life
        if process is None or process.ended.is_set():
            return False
        process.killed = True
        self.tell("killed", life)
        process.signal(signal.SIGKILL)
        await process.ended.wait()
        return True

    async def stop(self, process: Process, life: int) -> None:
        """SIGTERM, and SIGKILL when it has had its time."""
        if process.ended.is_set():
            return
        self.tell("stopping", life)
        process.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(sigkill_delay_us(self._day) / 1e6):
                await process.ended.wait()
        except TimeoutError:
            process.killed = True
            self.tell("killed", life)
            process.signal(signal.SIGKILL)
            await process.ended.wait()

    async def upgrade(self) -> None:
        """A second process beside the first, which stops once the second is ready."""
        old, life = self.process, self.life
        await self.start()
        if old is not None:
            await self.stop(old, life)

    def pause(self) -> None:
        """Stop the process with SIGSTOP; pauses nest."""
        if self.process is not None and not self.process.ended.is_set():
            self._paused += 1
            if self._paused == 1:
                self.tell("paused", self.life)
            self.process.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Go on, unless another pause still holds."""
        if self._paused:
            self._paused -= 1
        if not self._paused and self.process is not None:
            self.process.signal(signal.SIGCONT)
            self.tell("resumed", self.life)

    def hang_up(self) -> None:
        """Send SIGHUP, which reloads the configuration."""
        if self.process is not None:
            self.process.signal(signal.SIGHUP)

    def set_clock(self, ahead_s: float) -> None:
        """From the next start on."""
        self._ahead_s = ahead_s

    def limit_files(self, *, is_full: bool) -> None:
        """Set the process's file size limit to zero, as on a full disk, or lift it."""
        if self.process is not None and not self.process.ended.is_set():
            self.process.limit_files(0 if is_full else resource.RLIM_INFINITY)

    def lock_folder(self, *, is_locked: bool) -> None:
        """Make the replica's folder for temporary files read-only, or writable again."""
        own = self.folder / "tmp"
        for path in own.iterdir():
            path.chmod(0o400 if is_locked else 0o600)
        own.chmod(0o500 if is_locked else 0o700)

    def damage_folder(self) -> None:
        """Every file is cut short, or holds garbage from some place on."""
        for path in sorted((self.folder / "tmp").iterdir()):
            kept = path.read_bytes()
            place = self._rng.randrange(len(kept) + 1)
            garbage = self._rng.randbytes(len(kept) - place) if self._rng.random() < 0.5 else b""
            path.write_bytes(kept[:place] + garbage)

    async def close(self) -> None:
        """End whatever still runs: at an upgrade that is not over, two processes."""
        watches = list(self._running.values())
        for process in self._running:
            process.killed = True
            process.signal(signal.SIGKILL)
        await asyncio.gather(*watches)
        if self._held is not None:
            self._held.close()


def _plain(membership: Any) -> dict[str, str]:
    """What is believed of the tier, as the log holds it."""
    if not isinstance(membership, dict):
        return {}
    return {key: str(membership[key]) for key in ("view", "life", "doubled", "in_minority")}


def _text(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


def _free_port(host: str, kind: int) -> int:
    """A port that the system chooses.  The host is one copy's alone, so nobody else takes it meanwhile."""
    with socket.socket(socket.AF_INET, kind) as own:
        own.bind((host, 0))
        return int(own.getsockname()[1])


async def fetch(address: tuple[str, int], path: str) -> bytes | None:
    """The body of a 200 answer; None where there is no such answer."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
                head, _, body = (await reader.read()).partition(b"\r\n\r\n")
                return body if head.startswith(b"HTTP/1.1 200") else None
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return None


async def _says_yes(address: tuple[str, int], path: str) -> bool:
    return await fetch(address, path) is not None
