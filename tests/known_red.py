"""KNOWN-RED.txt: tests that fail because of a real fault that is not fixed yet.

Each fault has one line, `tests/test_file.py::test_name; cause; issue`.  The run tolerates the failure of just
these tests and prints them; it fails when one of them passes, or when a line names no test.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"


@dataclass(frozen=True)
class KnownRed:
    """A line of the file."""

    test: str
    cause: str
    issue: str


def read(text: str) -> list[KnownRed]:
    """Parse the text of the file; raise ValueError on a line of another form."""
    known = []
    for each in text.splitlines():
        if not each.strip():
            continue
        parts = [part.strip() for part in each.split(";")]
        if len(parts) != 3 or not all(parts):
            raise ValueError(f"test; cause; issue is needed, not {each!r}")
        known.append(KnownRed(*parts))
    return known


def named(known: KnownRed, ids: Iterable[str]) -> list[str]:
    """The tests that a line names: one, or all of its parameters."""
    return [each for each in ids if each == known.test or each.startswith(f"{known.test}[")]


def unknown(known: Iterable[KnownRed], ids: list[str]) -> list[str]:
    """What the lines name and is no test, among the files that were collected or are missing."""
    collected = {each.partition("::")[0] for each in ids}
    out = []
    for each in known:
        file = each.test.partition("::")[0]
        is_there = (FILE.parent / file).is_file()
        if not named(each, ids) and (file in collected or not is_there):
            out.append(each.test)
    return out
