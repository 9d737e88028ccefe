"""The command that starts a sidecar, from the deploy file of this or an earlier commit."""

from __future__ import annotations

import re

_PROGRAM = re.compile(r"-m (sidecar|micadeck)\b")  # micadeck: the package name in earlier commits


def run_with_wrapper(command: str, wrapper: str) -> str:
    """Insert a wrapper module that runs the program; raise ValueError if the command has no `-m sidecar`."""
    if not _PROGRAM.search(command):
        raise ValueError(f"no `-m sidecar` in `run`: {command}")
    return _PROGRAM.sub(rf"-m {wrapper} \1", command, count=1)
