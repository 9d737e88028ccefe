"""Lock files by which the processes of a sidecar detect each other."""

from __future__ import annotations

import os
from pathlib import Path

from sidecar.log_events import LogEvent, ProcessLockFailed
from sidecar.process_lock import ProcessLock


def test_lock_is_held_until_its_process_ends(tmp_path: Path) -> None:
    first = ProcessLock(tmp_path, print, "first")
    assert first.is_only_process()
    second = ProcessLock(tmp_path, print, "second")
    assert not first.is_only_process() and not second.is_only_process()
    os.close(second._descriptor)  # as if the process was killed
    assert first.is_only_process()
    first.close()
    assert list(tmp_path.iterdir()) == []
    log: list[LogEvent] = []
    assert ProcessLock(tmp_path / "missing", log.append).is_only_process()
    assert len(log) == 1 and isinstance(log[0], ProcessLockFailed)
