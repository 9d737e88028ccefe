"""Stores the servers that operators excluded in a small file that outlives the process.

During a hot restart two processes serve as one sidecar for some seconds, and the file is how they agree: the
one that receives an admin request changes it under a lock, and both poll it.  It is replaced atomically, so
a reader sees either the old or the new content, even if the writer is killed.  Applying an exclusion to
connections and to the balancer is up to the caller.
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
_FILE_MODE = 0o666  # less the umask


class ExclusionsFileError(SidecarError):
    """The file of excluded servers is not of the expected form."""


class PersistedExclusions:
    """The file of excluded servers, as seen by one of the processes that share it."""

    def __init__(self, directory: Path, log: EventLog) -> None:
        """`directory` is shared by all processes of this sidecar."""
        self._path = directory / _FILE_NAME
        self._log = log
        self._last_read: tuple[int, int] | None = None  # identity of the file that was read or written last
        self._poll_timer: asyncio.TimerHandle | None = None
        self._on_change: Callable[[frozenset[str]], None] | None = None

    def read(self) -> frozenset[str] | None:
        """Return the excluded servers; None if there is no file, or if it is invalid, which is logged."""
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
        """Store that a server is excluded or included again; a failure to write is logged.

        `known_exclusions`, as far as this process knows, stand in for a file that is missing or invalid.
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
        """Start polling for changes by another process; `on_change` is called with all excluded servers."""
        self._on_change = on_change
        self._poll()

    def check(self) -> None:
        """Report a change by another process at once, if `watch` was called."""
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
    """Open a file without waiting: if a named pipe is in its place, nobody may ever open the other end."""
    return os.open(path, flags | os.O_NONBLOCK, _FILE_MODE)


def _file_identity(status: os.stat_result) -> tuple[int, int]:
    return status.st_ino, status.st_mtime_ns


def _decode_servers(content: object) -> list[str]:
    servers = content.get("excluded") if isinstance(content, dict) else None
    if not isinstance(servers, list) or not all(isinstance(server, str) and server for server in servers):
        raise ExclusionsFileError('an object with a list of ids, "excluded", is needed')
    return servers
