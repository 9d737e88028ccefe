"""Runs the cells of a grid, several at the same time, each in a process of its own."""

from __future__ import annotations

import asyncio
import hashlib
import json
import os
import sys
import tempfile
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path

import msgspec

from testbed.emulator.replica_process import RunError, build_tree
from testbed.experiment.cell import Cell
from testbed.experiment.store import Key, Store
from testbed.experiment.variants import Variant, check_out, has_earlier_layout, source_digest
from testbed.simulation.earlier_module import EARLIER_PACKAGE
from testbed.simulation.policies import EARLIER_MODULE

ROOT = Path(__file__).resolve().parent.parent.parent


@dataclass(frozen=True, slots=True)
class Grid:
    """The cells of an experiment: all combinations of scenarios, seeds, variants and rates."""

    worlds: tuple[tuple[str, str], ...]  # name and text of each scenario
    seeds: tuple[int, ...]
    variants: tuple[Variant, ...]
    engine: str = "model"
    rates: tuple[float, ...] = (1.0,)  # as multiples of the scenario's request rate
    root: Path = ROOT  # source tree of the sidecar

    def __post_init__(self) -> None:
        for variant in self.variants:
            if self.engine == "emulator" and not variant.runs_in_emulator:
                raise RunError(f"{variant.name}: the emulator can't run this variant: use the model")


@dataclass(frozen=True, slots=True)
class Task:
    """A cell to run, its key in the store and the PYTHONPATH of its process."""

    key: Key
    variant_index: int  # position of its variant in the grid
    cell: Cell
    module_path: tuple[str, ...]


def build_tasks(grid: Grid, stack: ExitStack) -> list[Task]:
    """Return the tasks of all cells, seed by seed; `stack` keeps temporary folders that they import from."""
    sources = {variant: _prepare_sources(grid, variant, stack) for variant in grid.variants}
    prepared = []
    for name, text in grid.worlds:
        for rate in grid.rates:
            for seed in grid.seeds:
                for index, variant in enumerate(grid.variants):
                    root, module_path, sources_digest = sources[variant]
                    policy = EARLIER_MODULE if has_earlier_layout(root) else variant.policy
                    digest = hashlib.sha256(f"{sources_digest} {text}".encode()).hexdigest()[:16]
                    key = Key(name, seed, variant.name, grid.engine, rate, digest)
                    cell = Cell(
                        source=name,
                        world=text,
                        seed=seed,
                        variant=variant.name,
                        engine=grid.engine,
                        root=str(root),
                        policy=policy,
                        off=variant.disabled,
                        changed=variant.changed_setting,
                        rate=rate,
                    )
                    prepared.append(Task(key, index, cell, module_path))
    return prepared


def _prepare_sources(grid: Grid, variant: Variant, stack: ExitStack) -> tuple[Path, tuple[str, ...], str]:
    """Return the source tree of a variant, the PYTHONPATH of its cells and a digest of its sources."""
    tree = grid.root if variant.commit is None else check_out(grid.root, variant.commit)
    if grid.engine == "emulator":
        build_tree(tree)  # the emulator starts sidecars there, as the deploy file of that tree says
    if variant.commit is None:
        return tree, (str(ROOT),), source_digest(ROOT)
    # The balancer of that commit runs with the test bed of this tree: a folder that holds only the package
    # of the balancer comes first on the path.
    folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="testbed-")))
    package = EARLIER_PACKAGE if has_earlier_layout(tree) else "balancer"
    (folder / package).symlink_to(tree / package)
    return tree, (str(folder), str(ROOT)), source_digest(ROOT) + source_digest(tree)


async def play(
    grid: Grid, store: Store, jobs: int, on_progress: Callable[[int, int], None]
) -> list[tuple[Key, str]]:
    """Run the cells that have no stored result, at most `jobs` at a time, and return those that failed.

    `on_progress` is called with the number of finished cells and of all cells.  A failed cell comes with the
    reason and is not stored.
    """
    with ExitStack() as stack:
        all_tasks = build_tasks(grid, stack)
        missing = [task for task in all_tasks if not store.has(task.key)]
        done = len(all_tasks) - len(missing)
        on_progress(done, len(all_tasks))
        failed: list[tuple[Key, str]] = []
        queue = iter(missing)

        async def run_queued_tasks() -> None:
            nonlocal done
            for task in queue:
                output, error = await _run_task(task)
                if error is None:
                    store.put(task.key, task.variant_index, json.loads(output))
                else:
                    failed.append((task.key, error))
                done += 1
                on_progress(done, len(all_tasks))

        async with asyncio.TaskGroup() as group:
            for _ in range(min(jobs, len(missing))):
                group.create_task(run_queued_tasks())
        return failed


async def _run_task(task: Task) -> tuple[bytes, str | None]:
    """Run one cell; return its output and, if it failed, the last line of its standard error."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-P",
        "-m",
        "testbed.experiment.cell",
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(task.module_path)},
        start_new_session=True,
    )
    try:
        output, error_output = await process.communicate(msgspec.json.encode(task.cell))
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
    if process.returncode:
        lines = error_output.decode(errors="replace").strip().splitlines() or ["no error message"]
        return b"", lines[-1]
    return output, None
