"""Plays the cells of a grid, several at once, each in a process of its own."""

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
from testbed.experiment.variants import Variant, checked_out, digest, has_earlier_layout
from testbed.simulation.earlier_module import EARLIER_PACKAGE
from testbed.simulation.policies import EARLIER_MODULE

HERE = Path(__file__).resolve().parent.parent.parent


@dataclass(frozen=True, slots=True)
class Grid:
    """What is played."""

    worlds: tuple[tuple[str, str], ...]  # name and text
    seeds: tuple[int, ...]
    variants: tuple[Variant, ...]
    engine: str = "model"
    rates: tuple[float, ...] = (1.0,)
    root: Path = HERE

    def __post_init__(self) -> None:
        for each in self.variants:
            if self.engine == "emulator" and not each.is_real:
                raise RunError(f"{each.name}: no real copies of it: use the model")


@dataclass(frozen=True, slots=True)
class Task:
    """A cell, its key and where its modules come from."""

    key: Key
    place: int  # of its variant
    cell: Cell
    path: tuple[str, ...]


def tasks(grid: Grid, stack: ExitStack) -> list[Task]:
    """All cells of a grid, seed by seed; `stack` holds what they need while they are played."""
    trees = {each: _tree(grid, each, stack) for each in grid.variants}
    out = []
    for name, text in grid.worlds:
        for rate in grid.rates:
            for seed in grid.seeds:
                for place, each in enumerate(grid.variants):
                    root, path, sources = trees[each]
                    policy = EARLIER_MODULE if has_earlier_layout(root) else each.policy
                    whole = hashlib.sha256(f"{sources} {text}".encode()).hexdigest()[:16]
                    key = Key(name, seed, each.name, grid.engine, rate, whole)
                    cell = Cell(
                        source=name,
                        world=text,
                        seed=seed,
                        variant=each.name,
                        engine=grid.engine,
                        root=str(root),
                        policy=policy,
                        off=each.off,
                        changed=each.changed,
                        rate=rate,
                    )
                    out.append(Task(key, place, cell, path))
    return out


def _tree(grid: Grid, variant: Variant, stack: ExitStack) -> tuple[Path, tuple[str, ...], str]:
    """The tree of a variant, where its modules are found, and one name for its sources."""
    tree = grid.root if variant.commit is None else checked_out(grid.root, variant.commit)
    if grid.engine == "emulator":
        build_tree(tree)  # real copies are started there as its own deploy file says
    if variant.commit is None:
        return tree, (str(HERE),), digest(HERE)
    # Its module with this ground: a folder that holds that package alone comes first.
    folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="testbed-")))
    package = EARLIER_PACKAGE if has_earlier_layout(tree) else "balancer"
    (folder / package).symlink_to(tree / package)
    return tree, (str(folder), str(HERE)), digest(HERE) + digest(tree)


async def play(
    grid: Grid, store: Store, jobs: int, tell: Callable[[int, int], None]
) -> list[tuple[Key, str]]:
    """Play what the store does not have; `tell` hears how many are done.  Give the cells that failed."""
    with ExitStack() as stack:
        everything = tasks(grid, stack)
        left = [each for each in everything if not store.has(each.key)]
        done = len(everything) - len(left)
        tell(done, len(everything))
        failed: list[tuple[Key, str]] = []
        coming = iter(left)

        async def work() -> None:
            nonlocal done
            for task in coming:
                told, fault = await _one(task)
                if fault is None:
                    store.put(task.key, task.place, json.loads(told))
                else:
                    failed.append((task.key, fault))
                done += 1
                tell(done, len(everything))

        async with asyncio.TaskGroup() as group:
            for _ in range(min(jobs, len(left))):
                group.create_task(work())
        return failed


async def _one(task: Task) -> tuple[bytes, str | None]:
    """Play one cell; what it came to, or why it did not."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-P",
        "-m",
        "testbed.experiment.cell",
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(task.path)},
        start_new_session=True,
    )
    try:
        out, fault = await process.communicate(msgspec.json.encode(task.cell))
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
    if process.returncode:
        last = fault.decode(errors="replace").strip().splitlines() or ["no word of why"]
        return b"", last[-1]
    return out, None
