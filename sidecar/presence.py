"""Whether another process of this sidecar lives: at an upgrade there are two, which share its limits.

Each holds a lock on a file of its own in the folder that they share; the system lets go of it when a process
ends, however it ends.
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Callable
from pathlib import Path

_PREFIX = "alive."


class Presence:
    """The mark of this process, and a look at those of others."""

    def __init__(self, folder: Path, log: Callable[[str], None], name: str | None = None) -> None:
        self._folder = folder
        self._own = folder / f"{_PREFIX}{name or os.getpid()}"
        self._file = -1
        try:
            # Locked before it has its name, so that nobody takes it for that of a process that ended.
            fresh = self._own.with_name(f"new-{self._own.name}")
            self._file = os.open(fresh, os.O_CREAT | os.O_RDWR, 0o600)
            fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            fresh.rename(self._own)
        except OSError as fault:
            log(f"could not mark this process as alive: {fault}")

    def is_alone(self) -> bool:
        """Whether no other process lives; where that can't be told, it is taken to be so."""
        try:
            others = [each for each in self._folder.glob(f"{_PREFIX}*") if each != self._own]
            return not any(_is_held(each) for each in others)
        except OSError:
            return True

    def close(self) -> None:
        if self._file >= 0:
            self._own.unlink(missing_ok=True)
            os.close(self._file)
            self._file = -1


def _is_held(mark: Path) -> bool:
    try:
        descriptor = os.open(mark, os.O_RDWR)
    except OSError:
        return False  # it has just gone
    try:
        fcntl.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
        mark.unlink(missing_ok=True)  # its process ended without a word
    except BlockingIOError:
        return True
    finally:
        os.close(descriptor)
    return False
