"""The file of excluded servers: its format, invalid content and concurrent writers."""

from __future__ import annotations

from pathlib import Path

import pytest

from sidecar.log_events import ExclusionsFileIgnored, ExclusionsFileNotWritten, LogEvent
from sidecar.persisted_exclusions import PersistedExclusions


def test_file_has_the_format_that_other_versions_read(tmp_path: Path) -> None:
    PersistedExclusions(tmp_path, print).record("s-2", frozenset({"s-1"}), is_excluded=True)
    assert (tmp_path / "excluded.json").read_bytes() == b'{"excluded": ["s-1", "s-2"]}'


@pytest.mark.parametrize(
    "content",
    [b"", b"{", b"[]", b"{}", b'{"excluded":7}', b'{"excluded":[7]}', b"\xff", b"[" * 100_000],
    ids=lambda value: repr(value)[:20],
)
def test_invalid_file_is_logged_ignored_and_replaced(content: bytes, tmp_path: Path) -> None:
    log: list[LogEvent] = []
    exclusions = PersistedExclusions(tmp_path, log.append)
    assert exclusions.read() is None and log == []  # a missing file is not logged
    (tmp_path / "excluded.json").write_bytes(content)
    assert exclusions.read() is None
    assert len(log) == 1 and isinstance(log[0], ExclusionsFileIgnored)
    exclusions.record("b", frozenset({"a"}), is_excluded=True)
    assert exclusions.read() == frozenset({"a", "b"})


def test_concurrent_writers_lose_no_change(tmp_path: Path) -> None:
    first, second = PersistedExclusions(tmp_path, print), PersistedExclusions(tmp_path, print)
    first.record("a", frozenset(), is_excluded=True)
    second.record("b", frozenset(), is_excluded=True)
    first.record("c", frozenset({"a"}), is_excluded=True)
    second.record("a", frozenset({"b"}), is_excluded=False)
    assert first.read() == second.read() == frozenset({"b", "c"})


def test_failure_to_write_is_logged(tmp_path: Path) -> None:
    log: list[LogEvent] = []
    PersistedExclusions(tmp_path / "missing", log.append).record("a", frozenset(), is_excluded=True)
    assert len(log) == 1 and isinstance(log[0], ExclusionsFileNotWritten)
