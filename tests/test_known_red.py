"""A red test may be known, never hidden."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import known_red
import pytest

TESTS = Path(__file__).parent
PASSES = "def test_one():\n    pass\n"
FAILS = "def test_one():\n    assert False\n"
FOUR_FAIL = "".join(f"def test_{number}():\n    assert False\n" for number in range(4))
ONE_OF_FOUR_PASSES = FOUR_FAIL.replace("assert False", "pass", 1)
FOUR_LINES = "".join(f"tests/test_it.py::test_{number}; a cause; issue 9\n" for number in range(4))


def run(folder: Path, test: str, lines: str) -> subprocess.CompletedProcess[str]:
    """A run of its own, of one test under one KNOWN-RED.txt."""
    (folder / "tests").mkdir()
    for name in ("conftest.py", "known_red.py"):
        (folder / "tests" / name).write_text((TESTS / name).read_text(encoding="utf-8"), encoding="utf-8")
    (folder / "tests" / "test_it.py").write_text(test, encoding="utf-8")
    (folder / "KNOWN-RED.txt").write_text(lines, encoding="utf-8")
    how = [sys.executable, "-P", "-m", "pytest", "-q", "-p", "no:cacheprovider", "tests"]
    return subprocess.run(how, cwd=folder, capture_output=True, text=True, check=False)


@pytest.mark.parametrize(
    ("test", "lines", "passes", "says"),
    [
        (
            FAILS,
            "tests/test_it.py::test_one; a cause; issue 9\n",
            True,
            "known red: tests/test_it.py::test_one",
        ),
        (FAILS, "", False, "assert False"),
        (PASSES, "tests/test_it.py::test_one; a cause; issue 9\n", False, "XPASS(strict)"),
        (PASSES, "tests/test_it.py::test_two; a cause; issue 9\n", False, "no such test"),
        (PASSES, "tests/test_that.py::test_one; a cause; issue 9\n", False, "no such test"),
        (PASSES, "tests/test_it.py::test_one\n", False, "is needed"),
        (FOUR_FAIL, FOUR_LINES, True, "known red: tests/test_it.py::test_3"),
        (ONE_OF_FOUR_PASSES, FOUR_LINES, False, "XPASS(strict)"),
    ],
)
def test_a_run_passes_over_just_what_is_known(
    test: str, lines: str, passes: bool, says: str, tmp_path: Path
) -> None:
    done = run(tmp_path, test, lines)
    assert (done.returncode == 0) == passes
    assert says in done.stdout + done.stderr


def test_a_line_names_a_test_or_all_of_its_parameters() -> None:
    known = known_red.KnownRed("tests/test_a.py::test_b", "c", "d")
    ids = ["tests/test_a.py::test_b[1]", "tests/test_a.py::test_b[2]", "tests/test_a.py::test_bc"]
    assert known_red.named(known, ids) == ids[:2]


def test_what_was_not_collected_is_not_taken_for_missing() -> None:
    known = known_red.KnownRed("tests/test_known_red.py::test_b", "c", "d")
    assert known_red.unknown([known], ["tests/test_other.py::test_a"]) == []
    assert known_red.unknown([known], ["tests/test_known_red.py::test_a"]) == [known.test]
