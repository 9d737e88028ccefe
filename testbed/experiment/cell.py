"""One cell of an experiment, in a process of its own: `python -m testbed.experiment.cell`.

Its input is a `Cell` as JSON; its output what the day came to.  A process of its own since variants differ in
what is imported, and in constants.
"""

from __future__ import annotations

import asyncio
import importlib
import json
import sys
import tempfile
from pathlib import Path
from typing import Any

import msgspec
from msgspec.structs import replace

from testbed import events as log
from testbed.checker import check_invariants, compute_account, compute_time_series
from testbed.checker.history import build_history
from testbed.emulator.play import RunOptions, run_scenario
from testbed.experiment.variants import PARTS
from testbed.report import tables
from testbed.scenario import ScenarioRun, draw_run
from testbed.scenario.read import parse_scenario
from testbed.simulation.play import play as play_model


class Cell(msgspec.Struct, frozen=True):
    """A day of a world, by one variant."""

    source: str  # the world's name
    world: str  # its text
    seed: int
    variant: str
    engine: str
    root: str  # the tree of the program, where real copies are played
    policy: str = "module"
    off: str | None = None
    changed: tuple[str, str] | None = None
    rate: float = 1.0  # times the world's


def switch_off(part: str) -> None:
    """Take a mechanism of the balancer away; raise AttributeError if a constant of it is gone."""
    for constant in PARTS[part]:
        module = importlib.import_module(f"balancer.{constant.module}")
        getattr(module, constant.name)
        setattr(module, constant.name, constant.value)


def drawn(cell: Cell) -> ScenarioRun:
    """The day, the same for every variant of a pair."""
    day = draw_run(parse_scenario(cell.world, cell.source), cell.seed)
    day = replace(day, clients=replace(day.clients, rate_per_s=day.clients.rate_per_s * cell.rate))
    return replace(day, changed_setting=cell.changed) if cell.changed is not None else day


def played(cell: Cell) -> list[log.Event]:
    """The log of a cell."""
    day = drawn(cell)
    if cell.engine == "emulator":
        with tempfile.TemporaryDirectory(prefix="testbed-") as folder:
            ground = RunOptions(Path(folder) / "day", Path(cell.root), variant=cell.variant)
            return log.load(asyncio.run(run_scenario(day, ground)))
    events: list[log.Event] = []
    play_model(day, cell.policy, events.append, cell.variant)
    return events


def result(cell: Cell) -> dict[str, Any]:
    """What a cell came to: the judge's word, the account and the day over time."""
    if cell.off is not None:
        switch_off(cell.off)
    history = build_history(played(cell))
    told = tables.plain(history, check_invariants(history), compute_account(history))
    told["breaches"] = told["breaches"][:20]
    return {**told, "series": msgspec.to_builtins(compute_time_series(history))}


def main() -> None:
    """Run the cell read from standard input and print its result as JSON."""
    cell = msgspec.json.decode(sys.stdin.buffer.read(), type=Cell)
    print(json.dumps(result(cell)))


if __name__ == "__main__":
    main()
