"""Sidecar replicas as processes: started by the deploy file's command; stopped, paused, killed, upgraded."""

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

_POLL_INTERVAL_S = 0.02
_MAX_STDERR_BYTES = 4 << 20  # kept of the standard error of one replica
_REPORTED_LINES = 5
_PR_SET_PDEATHSIG, _PR_CAPBSET_DROP, _CAP_DAC_OVERRIDE = 1, 24, 1
_LIBC = ctypes.CDLL(None)


class RunError(Exception):
    """A scenario run, build or experiment cannot be carried out; the text is shown to the user."""


def _deploy_command(root: Path, key: str) -> str:
    try:
        command = tomllib.loads((root / "deploy" / "balancer.toml").read_text())[key]
    except (OSError, KeyError, tomllib.TOMLDecodeError) as error:
        raise RunError(f"{root}: no deploy/balancer.toml with the key `{key}`: {error}") from None
    return str(command)


def deployed_command(root: Path) -> str:
    """The command of a source tree's deploy file that starts one replica; raise RunError if it has none."""
    return _deploy_command(root, "run")


def build_tree(root: Path) -> None:
    """Run the build command of a source tree's deploy file; raise RunError if it fails."""
    command = ["/bin/sh", "-c", _deploy_command(root, "build")]
    build = subprocess.run(command, cwd=root, capture_output=True, text=True, check=False)
    if build.returncode:
        raise RunError(f"{root}: the build failed: {build.stderr.strip()[-500:]}")


def kill_with_parent() -> None:
    """In a child process before exec: have the kernel kill it when its parent exits for any reason."""
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class Process:
    """One operating system process of a sidecar."""

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
        """`is_unprivileged`: read-only files are not writable even if the process runs as root."""

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
        self.exited = asyncio.Event()
        self.killed = False
        self._log_file = log_file
        self._pidfd = os.pidfd_open(self._popen.pid)
        asyncio.get_running_loop().add_reader(self._pidfd, self._on_exit)
        assert self._popen.stderr is not None
        self._stderr = self._popen.stderr
        os.set_blocking(self._stderr.fileno(), False)
        asyncio.get_running_loop().add_reader(self._stderr.fileno(), self._read_stderr)

    @property
    def pid(self) -> int:
        """The process ID."""
        return self._popen.pid

    @property
    def code(self) -> int | None:
        """The exit code; None while the process runs."""
        return self._popen.returncode

    def _on_exit(self) -> None:
        asyncio.get_running_loop().remove_reader(self._pidfd)
        os.close(self._pidfd)
        self._popen.wait()
        self._read_stderr()
        self._close_stderr()
        self.exited.set()

    def _read_stderr(self) -> None:
        """Append its standard error to the log file, up to a maximum size."""
        try:
            data = os.read(self._stderr.fileno(), 1 << 16)
        except (BlockingIOError, ValueError):
            return
        if not data:
            self._close_stderr()
        elif not self._log_file.exists() or self._log_file.stat().st_size < _MAX_STDERR_BYTES:
            with self._log_file.open("ab") as file:
                file.write(data)

    def _close_stderr(self) -> None:
        if not self._stderr.closed:
            asyncio.get_running_loop().remove_reader(self._stderr.fileno())
            self._stderr.close()

    def signal(self, number: int) -> None:
        """Send a signal, unless the process has exited."""
        if not self.exited.is_set():
            self._popen.send_signal(number)

    def limit_files(self, max_bytes: int) -> None:
        """Limit the size of files that it writes, which simulates a full disk."""
        with contextlib.suppress(ProcessLookupError):
            resource.prlimit(self._popen.pid, resource.RLIMIT_FSIZE, (max_bytes, resource.RLIM_INFINITY))


class ReplicaProcess:
    """One replica over a whole run: its folder and its successive processes."""

    def __init__(
        self,
        run: ScenarioRun,
        replica: Replica,
        command: str,
        root: Path,
        folder: Path,
        clock: RunClock,
        writer: log.EventLogWriter,
        rng: random.Random,
        ready_within_s: float,
    ) -> None:
        self.replica, self.folder = replica, folder
        self.process: Process | None = None
        self.incarnation = 0
        self.get_endpoint_list: Callable[[], object] = dict  # called at each start, for the configuration
        self.config: dict[str, Any] = {}
        self._run, self._command, self._root = run, command, root
        self._clock, self._writer, self._rng = clock, writer, rng
        self._ready_within_s = ready_within_s
        self._listener: socket.socket | None = None
        self._admin_address: tuple[str, int] | None = None  # of the latest process
        self._clock_offset_s = 0.0  # how far its wall clock is ahead
        self._exit_watches: dict[Process, asyncio.Task[None]] = {}  # two processes during an upgrade
        self._pause_count = 0
        self.lifecycle = asyncio.Lock()
        (folder / "tmp").mkdir(parents=True)
        host = f"127.0.{replica.number // 250 + 1}.{replica.number % 250 + 1}"
        self.listen = (host, _free_port(host, socket.SOCK_STREAM))
        self.peer_listen = (host, _free_port(host, socket.SOCK_DGRAM))

    def configure(self, discovery: str, peers: list[str], broadcast_address: str) -> None:
        """Set the configuration; each start adds a seed and the endpoint list."""
        self.config = {
            "name": f"n{self.replica.number}",
            "listen": _host_port(self.listen),
            "discovery": discovery,
            "limits": {
                "cores": 1.0,
                "memory_mb": self._run.sidecars.memory_limit_mb,
                "sockets": self._run.sidecars.socket_limit,
            },
            "settings": replica_settings(self._run, self.replica.number),
        }
        if self._run.sidecars.may_message_peers:
            self.config |= {
                "membership": self._run.sidecars.membership,
                "peer_listen": _host_port(self.peer_listen),
                "peers": peers,
                "peers_all": broadcast_address,
            }
        if self._run.sidecars.has_inherited_listener:
            self._listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._listener.bind(self.listen)
            self._listener.listen(512)

    # Processes

    def log_state(self, state: str, incarnation: int, code: int | None = None) -> None:
        """Log a state of one of the replica's processes."""
        at_us = self._clock.now()
        self._writer.write(
            log.ReplicaStateChanged(
                at_us=at_us, replica=self.replica.number, incarnation=incarnation, state=state, exit_code=code
            )
        )

    async def start(self) -> Process:
        """Start a process and wait until it is ready; raise RunError if it does not get ready."""
        process, incarnation, admin_address = self._launch()
        await self._wait_until_ready(process, admin_address)
        self.log_state("ready", incarnation)
        return process

    def _launch(self) -> tuple[Process, int, tuple[str, int] | None]:
        self.incarnation += 1
        incarnation = self.incarnation
        if not self._run.sidecars.keeps_temp_folder:
            for leftover in (self.folder / "tmp").iterdir():
                leftover.unlink()
        path = self.folder / "config.json"
        config = {
            **self.config,
            "seed": f"{self._rng.getrandbits(64):016x}",
            "known": self.get_endpoint_list(),
        }
        path.write_text(json.dumps(config))
        environment = {"BALANCER_CONFIG": str(path), "TMPDIR": str(self.folder / "tmp")}
        for key in ("name", "listen", "discovery"):
            environment[f"BALANCER_{key.upper()}"] = config[key]
        descriptors: tuple[int, ...] = ()
        admin_address: tuple[str, int] | None = None
        if self._run.sidecars.has_admin_interface:
            admin_address = (self.listen[0], _free_port(self.listen[0], socket.SOCK_STREAM))
            environment["BALANCER_CONSOLE"] = _host_port(admin_address)
        if self._listener is not None:
            descriptors = (self._listener.fileno(),)
            environment["BALANCER_SOCKET_FD"] = str(descriptors[0])
        is_unprivileged = any(fault.kind == "read_only" for fault in self._run.faults)
        process = Process(
            self._start_command(),
            self._root,
            environment | {"PLUMTRESTLE_CLOCK_AHEAD": f"{self._clock_offset_s:g}"},
            self.folder / "stderr.log",
            descriptors,
            is_unprivileged=is_unprivileged,
        )
        self.process, self._admin_address = process, admin_address
        self.log_state("started", incarnation)
        self._exit_watches[process] = asyncio.create_task(self._watch_exit(process, incarnation))
        return process, incarnation, admin_address

    def _start_command(self) -> str:
        if not self._clock_offset_s:
            return self._command
        try:
            # The command runs in the tree of the variant, where earlier commits have the module by this name.
            return run_command.run_with_wrapper(self._command, "testbed.emulator.shifted")
        except ValueError as error:
            raise RunError(f"a shifted clock needs a Python module to wrap: {error}") from None

    async def _wait_until_ready(self, process: Process, admin_address: tuple[str, int] | None) -> None:
        address, path = (self.listen, "/_health") if admin_address is None else (admin_address, "/api/ready")
        try:
            async with asyncio.timeout(self._ready_within_s):
                while not await _responds_ok(address, path):
                    if process.exited.is_set():
                        raise RunError(
                            f"replica {self.replica.number} exited with code {process.code}:"
                            f" {self.stderr_tail()}"
                        )
                    await asyncio.sleep(_POLL_INTERVAL_S)
        except TimeoutError:
            raise RunError(
                f"replica {self.replica.number} was not ready within {self._ready_within_s:g} s:"
                f" {self.stderr_tail()}"
            ) from None

    async def _watch_exit(self, process: Process, incarnation: int) -> None:
        """Log the exit of a process, unless the test bed killed it."""
        await process.exited.wait()
        del self._exit_watches[process]
        if not process.killed:
            self.log_state("ended", incarnation, process.code)

    def stderr_tail(self) -> str:
        """The last lines of its standard error, for error messages."""
        try:
            lines = (self.folder / "stderr.log").read_text(errors="replace").splitlines()
        except OSError:
            lines = []
        return " | ".join(lines[-_REPORTED_LINES:]) or "nothing on standard error"

    async def report_metrics(self) -> None:
        """Log the metrics of its admin interface, if it has one and the process runs."""
        process, incarnation, admin_address = self.process, self.incarnation, self._admin_address
        if admin_address is None or process is None or process.exited.is_set() or self._pause_count:
            return
        body = await fetch(admin_address, "/api/telemetry")
        if body is not None:
            metrics = json.loads(body)
            self._writer.write(
                log.MetricsReported(
                    at_us=self._clock.now(),
                    replica=self.replica.number,
                    incarnation=incarnation,
                    pending_requests=int(metrics["pending"]),
                    listed_endpoints=int(metrics["members"]),
                    unavailable_endpoints=int(metrics["members_unavailable"]),
                    membership=_membership_fields(metrics.get("membership")),
                )
            )

    # Faults

    async def kill(self) -> bool:
        """Kill the process with SIGKILL; return False if none runs."""
        process, incarnation = self.process, self.incarnation
        if process is None or process.exited.is_set():
            return False
        process.killed = True
        self.log_state("killed", incarnation)
        process.signal(signal.SIGKILL)
        await process.exited.wait()
        return True

    async def stop(self, process: Process, incarnation: int) -> None:
        """Send SIGTERM, and SIGKILL if the process has not exited after the scenario's grace period."""
        if process.exited.is_set():
            return
        self.log_state("stopping", incarnation)
        process.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(sigkill_delay_us(self._run) / 1e6):
                await process.exited.wait()
        except TimeoutError:
            process.killed = True
            self.log_state("killed", incarnation)
            process.signal(signal.SIGKILL)
            await process.exited.wait()

    async def upgrade(self) -> None:
        """Start a second process, and stop the first once the second is ready."""
        old, incarnation = self.process, self.incarnation
        await self.start()
        if old is not None:
            await self.stop(old, incarnation)

    def pause(self) -> None:
        """Stop the process with SIGSTOP; pauses nest."""
        if self.process is not None and not self.process.exited.is_set():
            self._pause_count += 1
            if self._pause_count == 1:
                self.log_state("paused", self.incarnation)
            self.process.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue the process with SIGCONT, unless another pause is still active."""
        if self._pause_count:
            self._pause_count -= 1
        if not self._pause_count and self.process is not None:
            self.process.signal(signal.SIGCONT)
            self.log_state("resumed", self.incarnation)

    def hang_up(self) -> None:
        """Send SIGHUP, which reloads the configuration."""
        if self.process is not None:
            self.process.signal(signal.SIGHUP)

    def set_clock(self, clock_offset_s: float) -> None:
        """Set how far the wall clock is ahead, from the next start on."""
        self._clock_offset_s = clock_offset_s

    def limit_files(self, *, is_full: bool) -> None:
        """Set the process's file size limit to zero, as on a full disk, or lift it."""
        if self.process is not None and not self.process.exited.is_set():
            self.process.limit_files(0 if is_full else resource.RLIM_INFINITY)

    def lock_folder(self, *, is_locked: bool) -> None:
        """Make the replica's folder for temporary files read-only, or writable again."""
        temp_folder = self.folder / "tmp"
        for path in temp_folder.iterdir():
            path.chmod(0o400 if is_locked else 0o600)
        temp_folder.chmod(0o500 if is_locked else 0o700)

    def damage_folder(self) -> None:
        """Damage every file of the temporary folder: truncate it, or overwrite its end with random bytes."""
        for path in sorted((self.folder / "tmp").iterdir()):
            content = path.read_bytes()
            cut_at = self._rng.randrange(len(content) + 1)
            garbage = self._rng.randbytes(len(content) - cut_at) if self._rng.random() < 0.5 else b""
            path.write_bytes(content[:cut_at] + garbage)

    async def close(self) -> None:
        """Kill all processes that still run: two if an upgrade is in progress."""
        watches = list(self._exit_watches.values())
        for process in self._exit_watches:
            process.killed = True
            process.signal(signal.SIGKILL)
        await asyncio.gather(*watches)
        if self._listener is not None:
            self._listener.close()


def _membership_fields(membership: Any) -> dict[str, str]:
    """The membership fields of the metrics that the event log holds."""
    if not isinstance(membership, dict):
        return {}
    return {key: str(membership[key]) for key in ("view", "life", "doubled", "in_minority")}


def _host_port(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


def _free_port(host: str, kind: int) -> int:
    """A free port chosen by the kernel; as each replica has its own host address, no one else takes it."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


async def fetch(address: tuple[str, int], path: str) -> bytes | None:
    """The body of a 200 response to a GET request; None on any other result."""
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


async def _responds_ok(address: tuple[str, int], path: str) -> bool:
    return await fetch(address, path) is not None
