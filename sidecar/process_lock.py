"""Detects whether another process of this sidecar is running, as during a hot restart.

Each process holds a lock on its own file in a shared directory.  The operating system releases the lock when
the process ends, even if it is killed.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

from sidecar.log_events import EventLog, ProcessLockFailed

_LOCK_PREFIX = "alive."
_NO_DESCRIPTOR = -1


class ProcessLock:
    """The lock file of this process, and a check for locked files of other processes."""

    def __init__(self, directory: Path, log: EventLog, name: str | None = None) -> None:
        """Take the lock; a failure is logged.  `name` identifies this process, by default its process id."""
        self._directory = directory
        self._path = directory / f"{_LOCK_PREFIX}{name or os.getpid()}"
        self._descriptor = _NO_DESCRIPTOR
        try:
            # Locked under a temporary name: an unlocked file under the final name would be mistaken for that
            # of an ended process, and removed.
            new_path = self._path.with_name(f"new-{self._path.name}")
            self._descriptor = os.open(new_path, os.O_CREAT | os.O_RDWR, 0o600)
            fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            new_path.rename(self._path)
        except OSError as error:
            log(ProcessLockFailed(str(error)))

    def is_only_process(self) -> bool:
        """Return whether no other process is running; also True if that can't be determined."""
        try:
            others = [path for path in self._directory.glob(f"{_LOCK_PREFIX}*") if path != self._path]
            return not any(_is_locked(path) for path in others)
        except OSError:
            return True

    def close(self) -> None:
        """Release the lock and remove its file."""
        if self._descriptor != _NO_DESCRIPTOR:
            self._path.unlink(missing_ok=True)
            os.close(self._descriptor)
            self._descriptor = _NO_DESCRIPTOR


def _is_locked(path: Path) -> bool:
    """Return whether the process of a lock file is running; remove the file if it has ended."""
    try:
        descriptor = os.open(path, os.O_RDWR)
    except OSError:
        return False  # the file has just been removed
    try:
        fcntl.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
        path.unlink(missing_ok=True)
    except BlockingIOError:
        return True
    finally:
        os.close(descriptor)
    return False
