"""The command that starts a sidecar, as the deploy file of this or an earlier commit words it."""

from __future__ import annotations

import re

_PROGRAM = re.compile(r"-m (sidecar|micadeck)\b")  # the second one in commits of the earlier layout


def run_with_wrapper(command: str, wrapper: str) -> str:
    """Have a module of the test bed run the program; raise ValueError where the command names none."""
    if not _PROGRAM.search(command):
        raise ValueError(f"no `-m sidecar` in `run`: {command}")
    return _PROGRAM.sub(rf"-m {wrapper} \1", command, count=1)
