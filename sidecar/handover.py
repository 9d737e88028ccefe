"""What operators took out, kept in a small file that outlives a process.

At an upgrade two processes are one sidecar for some seconds.  The file is the word between them: whoever is
called changes it, under a lock, and both look at it again and again.  It is replaced as a whole, so that a
reader finds the old or the new, also when the writer is killed.
"""

from __future__ import annotations

import asyncio
import fcntl
import json
import os
from collections.abc import Callable
from pathlib import Path

_MOST_BYTES = 1 << 20
_LOOK_EVERY_S = 0.1


class Handover:
    """The file, as one of the processes sees it."""

    def __init__(self, folder: Path, log: Callable[[str], None]) -> None:
        self._path = folder / "excluded.json"
        self._log = log
        self._seen: tuple[int, int] | None = None  # which file was read last
        self._looking: asyncio.TimerHandle | None = None
        self._on_news: Callable[[frozenset[str]], None] | None = None

    def read(self) -> frozenset[str] | None:
        """The servers taken out; None if there is no word of it, or none that makes sense."""
        try:
            with open(self._path, "rb", opener=_at_once) as file:
                self._seen = _identity(os.fstat(file.fileno()))
                given = json.loads(file.read(_MOST_BYTES))
            return frozenset(_ids(given))
        except FileNotFoundError:
            return None
        except (OSError, ValueError, RecursionError) as fault:
            self._log(f"ignored the file of excluded servers: {fault}".replace("\n", " "))
            return None

    def record(self, member: str, is_out: bool, known: frozenset[str]) -> None:
        """Write that a server is out, or back; `known` are those out as far as this process knows."""
        try:
            with open(self._path.with_suffix(".lock"), "wb", opener=_at_once) as lock:
                fcntl.flock(lock, fcntl.LOCK_EX)  # held for one read and one write
                before = self.read()
                out = known if before is None else before
                self._replace(out | {member} if is_out else out - {member})
        except OSError as fault:
            self._log(f"could not write the file of excluded servers: {fault}")

    def watch(self, on_news: Callable[[frozenset[str]], None]) -> None:
        """Look again and again whether another process changed it."""
        self._on_news = on_news
        self._look_again()

    def look(self) -> None:
        """Hear at once what another process has written, if this one watches."""
        if self._on_news is not None and self._has_changed():
            out = self.read()
            if out is not None:
                self._on_news(out)

    def _look_again(self) -> None:
        self._looking = asyncio.get_running_loop().call_later(_LOOK_EVERY_S, self._look_again)
        self.look()

    def close(self) -> None:
        if self._looking is not None:
            self._looking.cancel()

    def _has_changed(self) -> bool:
        try:
            return _identity(self._path.stat()) != self._seen
        except OSError:
            return False

    def _replace(self, out: frozenset[str]) -> None:
        fresh = self._path.with_suffix(f".{os.getpid()}")
        fresh.write_text(json.dumps({"excluded": sorted(out)}))
        self._seen = _identity(fresh.stat())
        fresh.replace(self._path)


def _at_once(path: str, flags: int) -> int:
    """Open a file without waiting: of a pipe in its place the other end may never come."""
    return os.open(path, flags | os.O_NONBLOCK, 0o666)


def _identity(status: os.stat_result) -> tuple[int, int]:
    return status.st_ino, status.st_mtime_ns


def _ids(given: object) -> list[str]:
    ids = given.get("excluded") if isinstance(given, dict) else None
    if not isinstance(ids, list) or not all(isinstance(each, str) and each for each in ids):
        raise ValueError('an object with a list of ids, "excluded", is needed')
    return ids
