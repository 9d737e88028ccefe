"""Measured figures as data: one file a run, below `docs/capacity/`, written by whatever measured them.

A sample says what was measured (`measure`), at which `size` of what grows, in which `case`, by which engine
and seed, and which `part` of a distribution it is.  Slopes and plots are made from these files alone.
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
ENGINES = ("virtual", "hollow", "real", "alone")  # alone: one process or one part by itself, without a tier


class SampleError(Exception):
    """A file of samples can't be read; the text names it."""


class Sample(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One figure of one run."""

    measure: str  # dotted, the role first: "member.sent_bytes", "path.added_us"
    size: float  # of what grows: members, servers in the list, requests a second
    value: float
    unit: str  # "B/s", "us", "s", "MB", "1/s", ...
    case: str = "rest"  # the event, or what else held: "rest", "rack-40", "zone", "region-cut-60s"
    part: str = "mean"  # of a distribution: "mean", "median", "p99", "p999", "max"
    engine: str = "alone"
    seed: int = 0


class Run(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All figures of one run, and how to have them again."""

    name: str
    command: str  # that gives it again, from the root of the tree
    commit: str  # of the code that was measured
    taken: str  # UTC
    machine: str  # cores and interpreter
    samples: list[Sample]
    valid: bool = True
    notes: str = ""  # why it is not valid, or what to read it with


def this_machine() -> str:
    """What it was measured on, in a few words."""
    return f"{os.cpu_count()} cores, Python {platform.python_version()}"


def this_commit() -> str:
    """The commit that stands here, and whether its code was changed since; `unknown` outside a checkout."""
    try:
        head = _git("rev-parse", "--short", "HEAD")
        changed = _git("status", "--porcelain", "--", "balancer", "sidecar", "testbed", "bench")
    except (OSError, subprocess.CalledProcessError):
        return "unknown"
    return f"{head}+" if changed else head


def _git(*words: str) -> str:
    done = subprocess.run(["git", *words], cwd=ROOT, capture_output=True, text=True, check=True)
    return done.stdout.strip()


def save(
    name: str,
    command: str,
    samples: list[Sample],
    *,
    valid: bool = True,
    notes: str = "",
    folder: Path = FOLDER,
) -> Path:
    """Write a run to `folder`/`name`.json, a sample a line, in place of an earlier one of that name."""
    now = datetime.now(UTC)
    run = Run(name, command, this_commit(), f"{now:%Y-%m-%dT%H:%MZ}", this_machine(), samples, valid, notes)
    head = msgspec.to_builtins(run)
    lines = [msgspec.json.encode(each).decode() for each in samples]
    head["samples"] = []
    text = msgspec.json.format(msgspec.json.encode(head), indent=2).decode()
    text = text.replace('"samples": []', '"samples": [\n    ' + ",\n    ".join(lines) + "\n  ]")
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{name}.json"
    path.write_text(text + "\n")
    return path


def load(path: Path) -> Run:
    """Read one run; raise SampleError on nonsense."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Run)
    except (OSError, msgspec.DecodeError) as fault:
        raise SampleError(f"{path.name}: {fault}") from None


def load_all(folder: Path = FOLDER) -> list[Run]:
    """Read all runs of a folder, by name."""
    return [load(path) for path in sorted(folder.glob("*.json"))]
