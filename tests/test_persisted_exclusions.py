"""The file of excluded servers: its format, invalid content and concurrent writers."""

from __future__ import annotations

from pathlib import Path

import pytest
from loopback import OK, run_async, running_sidecar, wait_until

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


def test_change_that_could_not_be_written_is_written_by_a_later_try(tmp_path: Path) -> None:
    # Guards against an excluded server that is used again after a restart, as the disk was full for a while.
    log: list[LogEvent] = []
    directory = tmp_path / "missing"
    exclusions = PersistedExclusions(directory, log.append)
    excluded = exclusions.record("a", frozenset({"b"}), is_excluded=True)
    assert exclusions.retry(excluded) == {"a", "b"} and len(log) == 2
    directory.mkdir()
    assert exclusions.retry(excluded) == {"a", "b"}
    assert PersistedExclusions(directory, log.append).read() == frozenset({"a", "b"})
    assert exclusions.retry(frozenset()) == frozenset() and len(log) == 2


def test_sidecar_tries_again_to_write_an_exclusion(tmp_path: Path) -> None:
    async def work() -> None:
        directory = tmp_path / "missing"
        configuration = {"console": "127.0.0.1:0"}
        async with running_sidecar(
            OK, configuration=configuration, environment={"TMPDIR": str(directory)}
        ) as harness:
            assert (await harness.admin_request("POST", "/api/exclude", b'{"member":"s-0"}'))[0] == 200
            directory.mkdir()
            await wait_until((directory / "excluded.json").exists)

    run_async(work)
