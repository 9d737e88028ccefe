"""Stores the servers that operators excluded in a small file that persists across restarts.

During a hot restart two processes of a sidecar run for some seconds, and share their exclusions by this file:
the process that receives an admin request updates the file under a lock, and both poll it.  The file is
replaced atomically, so readers see either the old or the new content even if the writer is killed.  The
caller applies exclusions to connections and to the balancer; only content that it has applied counts as seen.
"""

from __future__ import annotations

import fcntl
import json
import os
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from sidecar.errors import SidecarError
from sidecar.log_events import EventLog, ExclusionsFileIgnored, ExclusionsFileNotWritten
from sidecar.poller import Poller

_FILE_NAME = "excluded.json"
_MAX_FILE_BYTES = 1 << 20
_POLL_INTERVAL_S = 0.1
_FILE_MODE = 0o666  # before the umask is applied


class ExclusionsFileError(SidecarError):
    """The content of the file of excluded servers is invalid."""


@dataclass(frozen=True, slots=True)
class _FileIdentity:
    """Distinguishes a file from the one that replaces it."""

    inode: int
    modified_ns: int

    @classmethod
    def of(cls, status: os.stat_result) -> _FileIdentity:
        return cls(status.st_ino, status.st_mtime_ns)


@dataclass(frozen=True, slots=True)
class _StoredExclusions:
    """What a file holds."""

    file: _FileIdentity
    servers: frozenset[str] | None  # None: the content is invalid


class PersistedExclusions:
    """The file of excluded servers, which the processes of a sidecar share."""

    def __init__(self, directory: Path, log: EventLog) -> None:
        """The `directory` is shared by all processes of this sidecar."""
        self._path = directory / _FILE_NAME
        self._log = log
        self._last_applied: _FileIdentity | None = None
        self._unwritten: dict[str, bool] = {}  # changes that could not be written: server, is it excluded
        self._poller = Poller(_POLL_INTERVAL_S, self.check)
        self._on_change: Callable[[frozenset[str]], None] | None = None

    def read(self) -> frozenset[str] | None:
        """Return the excluded servers; None if there is no file, or if it is invalid (which is logged)."""
        stored = self._load()
        return None if stored is None else stored.servers

    def record(self, server: str, known_exclusions: frozenset[str], *, is_excluded: bool) -> frozenset[str]:
        """Add a server to the file or remove it; a failure to write is logged.

        A change that could not be written holds in this process only, until the next change or call of
        `retry` succeeds.
        `known_exclusions` are the excluded servers that this process knows of.  They replace the content of a
        file that is missing or invalid.

        Returns:
            All excluded servers, which the caller has to apply: another process may have changed the file
            since `on_change` was last called.
        """
        self._unwritten[server] = is_excluded
        return self._write(known_exclusions)

    def _write(self, known_exclusions: frozenset[str]) -> frozenset[str]:
        """Write the changes that are not written yet; return all excluded servers."""
        excluded = self._with_unwritten(known_exclusions)
        try:
            lock_path = self._path.with_suffix(".lock")
            with open(lock_path, "wb", opener=_open_without_blocking) as lock_file:
                fcntl.flock(lock_file, fcntl.LOCK_EX)  # held for one read and one write
                stored = self.read()
                if stored is not None:
                    excluded = self._with_unwritten(stored)
                self._replace(excluded)
                self._unwritten.clear()
        except OSError as error:
            self._log(ExclusionsFileNotWritten(str(error)))
        return excluded

    def retry(self, known_exclusions: frozenset[str]) -> frozenset[str]:
        """Write the changes that could not be written, if any; return all excluded servers like `record`."""
        return self._write(known_exclusions) if self._unwritten else known_exclusions

    def watch(self, on_change: Callable[[frozenset[str]], None]) -> None:
        """Call `on_change` with all excluded servers, now and after each change of the file."""
        self._on_change = on_change
        self._poller.start()

    def check(self) -> None:
        """Check now whether the file has changed; does nothing unless `watch` was called."""
        if self._on_change is None or not self._has_changed():
            return
        stored = self._load()
        if stored is None:
            return
        if stored.servers is not None:
            self._on_change(self._with_unwritten(stored.servers))
        self._last_applied = stored.file

    def close(self) -> None:
        """Stop polling."""
        self._poller.close()

    def _has_changed(self) -> bool:
        try:
            return _FileIdentity.of(self._path.stat()) != self._last_applied
        except OSError:
            return False

    def _load(self) -> _StoredExclusions | None:
        """Return the content; None if there is no file, or if it can't be read (which is logged)."""
        try:
            with open(self._path, "rb", opener=_open_without_blocking) as file:
                identity = _FileIdentity.of(os.fstat(file.fileno()))
                content = file.read(_MAX_FILE_BYTES)
        except FileNotFoundError:
            return None
        except OSError as error:
            self._log(ExclusionsFileIgnored(str(error)))
            return None
        try:
            return _StoredExclusions(identity, _decode_servers(content))
        except (ValueError, RecursionError, ExclusionsFileError) as error:
            self._log(ExclusionsFileIgnored(str(error)))
            return _StoredExclusions(identity, None)

    def _with_unwritten(self, excluded: frozenset[str]) -> frozenset[str]:
        """Return `excluded` with the changes that could not be written."""
        kept = {server for server in excluded if server not in self._unwritten}
        return frozenset(kept | {server for server, is_excluded in self._unwritten.items() if is_excluded})

    def _replace(self, excluded: frozenset[str]) -> None:
        new_file = self._path.with_suffix(f".{os.getpid()}")
        new_file.write_text(json.dumps({"excluded": sorted(excluded)}))
        new_file.replace(self._path)


def _open_without_blocking(path: str, flags: int) -> int:
    """Open a file in non-blocking mode: opening a named pipe in its place could block forever otherwise."""
    return os.open(path, flags | os.O_NONBLOCK, _FILE_MODE)


def _decode_servers(content: bytes) -> frozenset[str]:
    document = json.loads(content)
    servers = document.get("excluded") if isinstance(document, dict) else None
    if not isinstance(servers, list) or not all(isinstance(server, str) and server for server in servers):
        raise ExclusionsFileError('the file must hold an object whose key "excluded" is a list of server ids')
    return frozenset(servers)
