"""Costs of membership and its time to detect a death, from 5 to 1,000 members: `make membership`."""

from __future__ import annotations

import os
import statistics
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

import numpy as np

from sidecar.cluster.message import MemberState
from testbed.cluster_simulation.virtual import VirtualCluster
from testbed.report import plots

T = TypeVar("T")
SIZES = (5, 10, 30, 100, 300, 1_000)
FAULT_FREE_SIZES = (10, 100)
FAULT_FREE_S = 120.0
SEEDS = 100
PLOT = Path(__file__).resolve().parent.parent.parent / "docs" / "membership-found.svg"
_CONDITIONS = ((0.0, 0.0), (0.05, 0.0), (0.3, 0.0), (0.0, 0.1))  # datagram loss, fraction of slow members
_WARM_UP_S = 8.0  # before the kill
_TIMEOUT_S = 400.0  # until all know of the killed member
_STEP_S = 0.25
# Reports of one member about one incarnation within this time count as one suspicion.
_ONE_SUSPICION_US = 10_000_000


@dataclass(frozen=True, slots=True)
class Detection:
    """One member killed: seconds until the first suspects it, the first declares it dead, and all know."""

    size: int
    seed: int
    suspected_s: float
    dead_s: float
    known_s: float


@dataclass(frozen=True, slots=True)
class FaultFreeRun:
    """A run in which no member is killed: wrong suspicions, wrong deaths, and traffic."""

    size: int
    seed: int
    loss: float
    slow: float
    seconds: float
    suspected: int  # suspicions raised by a member itself, each counted once
    dead: int  # incarnations that any member declared dead
    datagrams: float  # per member and second
    size_bytes: float  # likewise


def measure_detection(size: int, seed: int) -> Detection:
    """Kill one member of a cluster at rest whose members know each other, and time its detection."""
    cluster = VirtualCluster(size, seed, is_converged=True)
    cluster.run(_WARM_UP_S)
    cluster.reports.clear()
    killed = seed % size
    killed_at = cluster.queue.now
    cluster.kill(killed)
    informed: set[int] = set()
    while len(informed) < size - 1 and cluster.queue.now - killed_at < _TIMEOUT_S * 1e6:
        cluster.run(_STEP_S)
        informed = {observer for _, observer, _ in cluster.state_changes(MemberState.DEAD, killed)}

    def first(state: MemberState) -> float:
        return (cluster.state_changes(state, killed)[0][0] - killed_at) / 1e6

    last = max(at for at, _, _ in cluster.state_changes(MemberState.DEAD, killed))
    return Detection(
        size, seed, first(MemberState.SUSPECTED), first(MemberState.DEAD), (last - killed_at) / 1e6
    )


def measure_fault_free(size: int, seed: int, loss: float, slow: float, seconds: float) -> FaultFreeRun:
    """Run a cluster without killing a member; datagrams and ticks of the slow members are 0.4 s late."""
    cluster = VirtualCluster(size, seed, loss=loss, is_converged=True)
    for number in range(round(size * slow)):
        cluster.processes[number][0].processing_delay_us = 400_000
    cluster.run(5.0)
    cluster.reports.clear()
    sent, sent_bytes = _sent(cluster)
    cluster.run(seconds)
    per = 1.0 / size / seconds
    suspected = {
        (change.member, change.incarnation, change.reported_by, at // _ONE_SUSPICION_US)
        for at, _, change in cluster.state_changes(MemberState.SUSPECTED)
    }
    dead = {(change.member, change.incarnation) for _, _, change in cluster.state_changes(MemberState.DEAD)}
    return FaultFreeRun(
        size,
        seed,
        loss,
        slow,
        seconds,
        len(suspected),
        len(dead),
        (_sent(cluster)[0] - sent) * per,
        (_sent(cluster)[1] - sent_bytes) * per,
    )


def _sent(cluster: VirtualCluster) -> tuple[int, int]:
    """Return the datagrams and bytes that all members have sent."""
    processes = [of_member[0] for of_member in cluster.processes.values()]
    return sum(process.sent for process in processes), sum(process.sent_bytes for process in processes)


def run_parallel(function: Callable[..., T], cells: Sequence[tuple[object, ...]], jobs: int) -> list[T]:
    """Run the function on all cells in this number of processes; return the results in order."""
    with ProcessPoolExecutor(jobs) as pool:
        return [future.result() for future in [pool.submit(function, *cell) for cell in cells]]


def quantile(values: Sequence[float], fraction: float) -> float:
    """Return the value at this quantile, the higher of two neighbours."""
    return float(np.quantile(values, fraction, method="higher"))


def report_detection(jobs: int) -> None:
    """Print a table of the time to detect a killed member, and write the plot."""
    cells = [(size, seed) for size in reversed(SIZES) for seed in range(SEEDS)]
    rows = run_parallel(measure_detection, cells, jobs)
    names = ("suspected first", "called dead first", "known to all")
    print("| members |", " | ".join(f"{name}, s: median, 99th" for name in names), "|")
    points: dict[str, list[tuple[float, float]]] = {name: [] for name in names}
    for size in SIZES:
        of_size = [row for row in rows if row.size == size]
        columns = [[getattr(row, key) for row in of_size] for key in ("suspected_s", "dead_s", "known_s")]
        cells_text = " | ".join(
            f"{quantile(values, 0.5):.1f}, {quantile(values, 0.99):.1f}" for values in columns
        )
        print(f"| {size} | {cells_text} |", flush=True)
        for name, values in zip(names, columns, strict=True):
            points[name].append((size, quantile(values, 0.5)))
    PLOT.write_text(plots.lines(points, "members", "seconds after a kill, median", is_log=True))


def report_fault_free(jobs: int) -> None:
    """Print a table of wrong suspicions, wrong deaths and traffic in runs without a death."""
    print(
        "| members | loss, slow | suspected, called dead: an hour and member"
        " | datagrams, bytes: a second and member |"
    )
    for size in FAULT_FREE_SIZES:
        for loss, slow in _CONDITIONS:
            runs = run_parallel(
                measure_fault_free, [(size, seed, loss, slow, FAULT_FREE_S) for seed in range(SEEDS)], jobs
            )
            hours = len(runs) * FAULT_FREE_S / 3_600.0 * size
            print(
                f"| {size} | {loss:g}, {slow:g} | {sum(run.suspected for run in runs) / hours:.2f},"
                f" {sum(run.dead for run in runs) / hours:.3f}"
                f" | {statistics.fmean(run.datagrams for run in runs):.2f},"
                f" {statistics.fmean(run.size_bytes for run in runs):.0f} |",
                flush=True,
            )


def main() -> None:
    """Measure and report all sizes."""
    jobs = os.cpu_count() or 1
    report_detection(jobs)
    report_fault_free(jobs)


if __name__ == "__main__":
    main()
