"""Runs one cell of an experiment in a process of its own: `python -m testbed.experiment.cell`.

Reads a `Cell` as JSON from standard input and prints its result as JSON.  Each cell needs its own process
because variants differ in the modules that they import and in the values of module constants.
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
from testbed.experiment.variants import MECHANISMS
from testbed.report import tables
from testbed.scenario import ScenarioRun, draw_run
from testbed.scenario.read import parse_scenario
from testbed.simulation.play import play as play_model

MAX_VIOLATIONS = 20  # stored for a cell


class Cell(msgspec.Struct, frozen=True):
    """One scenario run by one variant.  The field names are written as JSON."""

    source: str  # name of the scenario
    world: str  # text of the scenario file
    seed: int
    variant: str
    engine: str
    root: str  # source tree of the sidecar, used by the emulator
    policy: str = "module"
    off: str | None = None  # mechanism to disable, a key of MECHANISMS
    changed: tuple[str, str] | None = None  # a key of the settings and its value, as JSON
    rate: float = 1.0  # request rate as a multiple of the scenario's


def disable_mechanism(name: str) -> None:
    """Disable a mechanism of the balancer; raise AttributeError if one of its constants does not exist."""
    for constant in MECHANISMS[name]:
        module = importlib.import_module(f"balancer.{constant.module}")
        getattr(module, constant.name)  # setattr would create a missing constant without an error
        setattr(module, constant.name, constant.value)


def draw_scenario_run(cell: Cell) -> ScenarioRun:
    """Draw the run of a cell; variants compared with the same seed get the same run."""
    scenario_run = draw_run(parse_scenario(cell.world, cell.source), cell.seed)
    scenario_run = replace(
        scenario_run,
        clients=replace(scenario_run.clients, rate_per_s=scenario_run.clients.rate_per_s * cell.rate),
    )
    return replace(scenario_run, changed_setting=cell.changed) if cell.changed is not None else scenario_run


def run_cell(cell: Cell) -> list[log.Event]:
    """Run a cell and return its event log."""
    scenario_run = draw_scenario_run(cell)
    if cell.engine == "emulator":
        with tempfile.TemporaryDirectory(prefix="testbed-") as folder:
            ground = RunOptions(Path(folder) / "day", Path(cell.root), variant=cell.variant)
            return log.load(asyncio.run(run_scenario(scenario_run, ground)))
    events: list[log.Event] = []
    play_model(scenario_run, cell.policy, events.append, cell.variant)
    return events


def compute_result(cell: Cell) -> dict[str, Any]:
    """Run a cell and return its verdict, account and time series as plain values."""
    if cell.off is not None:
        disable_mechanism(cell.off)
    history = build_history(run_cell(cell))
    result = tables.plain(history, check_invariants(history), compute_account(history))
    result["breaches"] = result["breaches"][:MAX_VIOLATIONS]
    return {**result, "series": msgspec.to_builtins(compute_time_series(history))}


def main() -> None:
    """Run the cell read from standard input and print its result as JSON."""
    cell = msgspec.json.decode(sys.stdin.buffer.read(), type=Cell)
    print(json.dumps(compute_result(cell)))


if __name__ == "__main__":
    main()
