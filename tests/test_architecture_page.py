"""The architecture page names files that exist, and the owners that operators look for."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "architecture.md").read_text(encoding="utf-8")
FOLDERS = ("", "balancer", "sidecar", "sidecar/cluster")


def test_every_file_on_the_page_exists() -> None:
    named = set(re.findall(r"`([a-z_/]+\.py)`", PAGE))
    assert len(named) > 50
    assert [
        name for name in sorted(named) if not any((ROOT / folder / name).is_file() for folder in FOLDERS)
    ] == []


@pytest.mark.parametrize(
    ("state", "owner"),
    [
        ("the retry budget", "retry_policy.py"),
        ("ejection", "outlier_detection.py"),
        ("slow start", "slow_start.py"),
        ("the admission window", "concurrency_window.py"),
        ("a client connection's state", "downstream/connection_state.py"),
        ("the endpoint list's version", "discovery/endpoint_list_tracker.py"),
        ("incarnation", "local_member.py"),
        ("the configuration in force", "configuration.py"),
    ],
)
def test_page_names_the_owner_of(state: str, owner: str) -> None:
    rows = [line for line in PAGE.splitlines() if line.startswith("|") and state in line.split("|")[1]]
    assert len(rows) == 1 and f"`{owner}`" in rows[0]
