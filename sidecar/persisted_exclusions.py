"""Stores the servers that operators excluded in a small file that persists across restarts.

During a hot restart two processes of a sidecar run for some seconds, and share their exclusions by this file:
the process that receives an admin request updates the file under a lock, and both poll it.  The file is
replaced atomically, so readers see either the old or the new content even if the writer is killed.  The
caller applies exclusions to connections and to the balancer.
"""

from __future__ import annotations

import asyncio
import fcntl
import json
import os
from collections.abc import Callable
from pathlib import Path

from sidecar.errors import SidecarError
from sidecar.log_events import EventLog, ExclusionsFileIgnored, ExclusionsFileNotWritten

_FILE_NAME = "excluded.json"
_MAX_FILE_BYTES = 1 << 20
_POLL_INTERVAL_S = 0.1
_FILE_MODE = 0o666  # before the umask is applied


class ExclusionsFileError(SidecarError):
    """The content of the file of excluded servers is invalid."""


class PersistedExclusions:
    """The file of excluded servers, which the processes of a sidecar share."""

    def __init__(self, directory: Path, log: EventLog) -> None:
        """The `directory` is shared by all processes of this sidecar."""
        self._path = directory / _FILE_NAME
        self._log = log
        self._last_read: tuple[int, int] | None = None  # identity of the last file read or written
        self._poll_timer: asyncio.TimerHandle | None = None
        self._on_change: Callable[[frozenset[str]], None] | None = None

    def read(self) -> frozenset[str] | None:
        """Return the excluded servers; None if there is no file, or if it is invalid (which is logged)."""
        try:
            with open(self._path, "rb", opener=_open_without_blocking) as file:
                self._last_read = _file_identity(os.fstat(file.fileno()))
                content = json.loads(file.read(_MAX_FILE_BYTES))
            return frozenset(_decode_servers(content))
        except FileNotFoundError:
            return None
        except (OSError, ValueError, RecursionError, ExclusionsFileError) as error:
            self._log(ExclusionsFileIgnored(str(error)))
            return None

    def record(self, server: str, known_exclusions: frozenset[str], *, is_excluded: bool) -> None:
        """Add a server to the file or remove it; a failure to write is logged.

        `known_exclusions` are the excluded servers that this process knows of.  They replace the content of a
        file that is missing or invalid.
        """
        try:
            lock_path = self._path.with_suffix(".lock")
            with open(lock_path, "wb", opener=_open_without_blocking) as lock_file:
                fcntl.flock(lock_file, fcntl.LOCK_EX)  # held for one read and one write
                stored = self.read()
                excluded = known_exclusions if stored is None else stored
                self._replace(excluded | {server} if is_excluded else excluded - {server})
        except OSError as error:
            self._log(ExclusionsFileNotWritten(str(error)))

    def watch(self, on_change: Callable[[frozenset[str]], None]) -> None:
        """Poll for changes by another process, and call `on_change` with all excluded servers after each."""
        self._on_change = on_change
        self._poll()

    def check(self) -> None:
        """Check now for a change by another process; does nothing unless `watch` was called."""
        if self._on_change is not None and self._has_changed():
            excluded = self.read()
            if excluded is not None:
                self._on_change(excluded)

    def close(self) -> None:
        """Stop polling."""
        if self._poll_timer is not None:
            self._poll_timer.cancel()

    def _poll(self) -> None:
        self._poll_timer = asyncio.get_running_loop().call_later(_POLL_INTERVAL_S, self._poll)
        self.check()

    def _has_changed(self) -> bool:
        try:
            return _file_identity(self._path.stat()) != self._last_read
        except OSError:
            return False

    def _replace(self, excluded: frozenset[str]) -> None:
        new_file = self._path.with_suffix(f".{os.getpid()}")
        new_file.write_text(json.dumps({"excluded": sorted(excluded)}))
        self._last_read = _file_identity(new_file.stat())
        new_file.replace(self._path)


def _open_without_blocking(path: str, flags: int) -> int:
    """Open a file in non-blocking mode: opening a named pipe in its place could block forever otherwise."""
    return os.open(path, flags | os.O_NONBLOCK, _FILE_MODE)


def _file_identity(status: os.stat_result) -> tuple[int, int]:
    return status.st_ino, status.st_mtime_ns


def _decode_servers(content: object) -> list[str]:
    servers = content.get("excluded") if isinstance(content, dict) else None
    if not isinstance(servers, list) or not all(isinstance(server, str) and server for server in servers):
        raise ExclusionsFileError('the file must hold an object whose key "excluded" is a list of server ids')
    return servers
