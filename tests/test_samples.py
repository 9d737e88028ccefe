"""Samples of capacity runs: a stored run is read back, and an invalid file is rejected by name."""

from __future__ import annotations

from pathlib import Path

import pytest

from testbed.capacity.samples import Sample, SampleError, load, load_all, save


def test_saved_run_is_read_back(tmp_path: Path) -> None:
    samples = [
        Sample("member.sent_bytes", 50, 25.5, "B/s", engine="virtual", seed=1),
        Sample("member.sent_bytes", 750, 31.0, "B/s", case="zone", part="p99", engine="real", seed=2),
    ]
    path = save(
        "tier", "make scale", samples, valid=False, notes="the machine was the limit", folder=tmp_path
    )
    run = load(path)
    assert run.samples == samples
    assert (run.name, run.command, run.valid) == ("tier", "make scale", False)
    assert load_all(tmp_path) == [run]
    assert len(path.read_text().splitlines()) < 20  # one sample on each line, so that diffs are readable


def test_run_without_samples_is_read_back(tmp_path: Path) -> None:
    assert load(save("none", "true", [], folder=tmp_path)).samples == []


@pytest.mark.parametrize("text", ["", "{}", '{"name": 3}', "[1]"])
def test_invalid_file_is_rejected_with_its_name(tmp_path: Path, text: str) -> None:
    (tmp_path / "odd.json").write_text(text)
    with pytest.raises(SampleError, match=r"odd\.json"):
        load_all(tmp_path)
