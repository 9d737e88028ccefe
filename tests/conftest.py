"""Passes over what KNOWN-RED.txt names, and over nothing else."""

from __future__ import annotations

import known_red
import pytest


def _known() -> list[known_red.KnownRed]:
    try:
        return known_red.read(known_red.FILE.read_text(encoding="utf-8"))
    except FileNotFoundError:
        return []
    except ValueError as nonsense:
        raise pytest.UsageError(f"KNOWN-RED.txt: {nonsense}") from None


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    known = _known()
    ids = [each.nodeid for each in items]
    if missing := known_red.unknown(known, ids):
        raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {', '.join(missing)}")
    for each in known:
        red = known_red.named(each, ids)
        for item in items:
            if item.nodeid in red:
                item.add_marker(pytest.mark.xfail(reason=f"{each.cause} ({each.issue})", strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for each in _known():
        terminalreporter.write_line(f"known red: {each.test}: {each.cause} ({each.issue})")
