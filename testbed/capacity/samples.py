"""Samples of capacity runs: a JSON file for each run in `docs/capacity/`, written by benches and simulations.

A sample holds what was measured (`measure`), at which `size` of what is varied, in which `case`, with which
engine and seed, and which `part` of a distribution it is.  The capacity page is made from these files only.
"""

from __future__ import annotations

import os
import platform
import subprocess
from datetime import UTC, datetime
from pathlib import Path

import msgspec

ROOT = Path(__file__).resolve().parent.parent.parent
FOLDER = ROOT / "docs" / "capacity"
ENGINES = ("virtual", "hollow", "real", "alone")  # alone: one process or component without a cluster


class SampleError(Exception):
    """A file of samples can't be read; the text names the file."""


class Sample(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One measured value of a run."""

    measure: str  # dotted, beginning with the role: "member.sent_bytes", "path.added_us"
    size: float  # members, entries of the endpoint list, or requests per second
    value: float
    unit: str  # "B/s", "us", "s", "MB", "1/s", ...
    case: str = "rest"  # the event or condition: "rest", "rack-40", "zone", "region-cut-60s"
    part: str = "mean"  # statistic of the distribution: "mean", "median", "p99", "p999", "max"
    engine: str = "alone"
    seed: int = 0


class Run(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All samples of a run, and how to repeat it."""

    name: str
    command: str  # that repeats the run, from the root of the tree
    commit: str  # of the measured code; with "+" if files were changed since
    taken: str  # time of the run, UTC
    machine: str  # cores and interpreter
    samples: list[Sample]
    valid: bool = True
    notes: str = ""  # why it is not valid, or what to consider when reading it


def this_machine() -> str:
    """Return the number of cores and the version of the interpreter."""
    return f"{os.cpu_count()} cores, Python {platform.python_version()}"


def this_commit() -> str:
    """Return the current commit, with "+" if its code has been changed; "unknown" outside a checkout."""
    try:
        head = _git("rev-parse", "--short", "HEAD")
        changed = _git("status", "--porcelain", "--", "balancer", "sidecar", "testbed", "bench")
    except (OSError, subprocess.CalledProcessError):
        return "unknown"
    return f"{head}+" if changed else head


def _git(*arguments: str) -> str:
    process = subprocess.run(["git", *arguments], cwd=ROOT, capture_output=True, text=True, check=True)
    return process.stdout.strip()


def save(
    name: str,
    command: str,
    samples: list[Sample],
    *,
    valid: bool = True,
    notes: str = "",
    folder: Path = FOLDER,
) -> Path:
    """Write a run to `folder`/`name`.json, replacing an earlier one, with one sample on each line."""
    now = datetime.now(UTC)
    run = Run(name, command, this_commit(), f"{now:%Y-%m-%dT%H:%MZ}", this_machine(), samples, valid, notes)
    head = msgspec.to_builtins(run)
    lines = [msgspec.json.encode(sample).decode() for sample in samples]
    head["samples"] = []
    text = msgspec.json.format(msgspec.json.encode(head), indent=2).decode()
    text = text.replace('"samples": []', '"samples": [\n    ' + ",\n    ".join(lines) + "\n  ]")
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{name}.json"
    path.write_text(text + "\n")
    return path


def load(path: Path) -> Run:
    """Read a run; raise SampleError if the file can't be read or is not valid."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Run)
    except (OSError, msgspec.DecodeError) as error:
        raise SampleError(f"{path.name}: {error}") from None


def load_all(folder: Path = FOLDER) -> list[Run]:
    """Read all runs of a folder, sorted by file name."""
    return [load(path) for path in sorted(folder.glob("*.json"))]
