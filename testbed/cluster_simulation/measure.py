"""What membership costs and how quickly it finds out, from 5 to 1,000 members, with tables and plots."""

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
QUIET_SIZES = (10, 100)
QUIET_S = 120.0
SEEDS = 100
PLOT = Path(__file__).resolve().parent.parent.parent / "docs" / "membership-found.svg"
_CONDITIONS = ((0.0, 0.0), (0.05, 0.0), (0.3, 0.0), (0.0, 0.1))  # loss, and the part that is slow
_WARM_S = 8.0  # before the kill
_MOST_S = 400.0  # that a killed one is waited for
_STEP_S = 0.25
_ONE_SUSPICION_US = 10_000_000  # news of one accuser on one life within this is one suspicion


@dataclass(frozen=True, slots=True)
class Found:
    """One member killed: seconds till somebody suspects it, calls it dead, and till all know."""

    size: int
    seed: int
    suspected_s: float
    dead_s: float
    known_s: float


@dataclass(frozen=True, slots=True)
class Quiet:
    """Nobody killed: what was wrongly believed, and what it cost."""

    size: int
    seed: int
    loss: float
    slow: float
    seconds: float
    suspected: int  # suspicions by own sight, each counted once
    dead: int  # lives that were called dead by anybody
    datagrams: float  # a member and second
    size_bytes: float  # likewise


def found(size: int, seed: int) -> Found:
    """Kill one member of a cluster at rest whose members know each other."""
    cluster = VirtualCluster(size, seed, is_converged=True)
    cluster.run(_WARM_S)
    cluster.reports.clear()
    killed = seed % size
    began = cluster.queue.now
    cluster.kill(killed)
    knows: set[int] = set()
    while len(knows) < size - 1 and cluster.queue.now - began < _MOST_S * 1e6:
        cluster.run(_STEP_S)
        knows = {by for _, by, _ in cluster.state_changes(MemberState.DEAD, killed)}

    def first(state: MemberState) -> float:
        return (cluster.state_changes(state, killed)[0][0] - began) / 1e6

    last = max(at for at, _, _ in cluster.state_changes(MemberState.DEAD, killed))
    return Found(size, seed, first(MemberState.SUSPECTED), first(MemberState.DEAD), (last - began) / 1e6)


def quiet(size: int, seed: int, loss: float, slow: float, seconds: float) -> Quiet:
    """Leave a cluster alone; a part of it is slow: every datagram and tick of these comes 0.4 s late."""
    cluster = VirtualCluster(size, seed, loss=loss, is_converged=True)
    for number in range(round(size * slow)):
        cluster.processes[number][0].processing_delay_us = 400_000
    cluster.run(5.0)
    cluster.reports.clear()
    sent, sent_bytes = _sent(cluster)
    cluster.run(seconds)
    per = 1.0 / size / seconds
    suspected = {
        (what.member, what.incarnation, what.reported_by, at // _ONE_SUSPICION_US)
        for at, _, what in cluster.state_changes(MemberState.SUSPECTED)
    }
    dead = {(what.member, what.incarnation) for _, _, what in cluster.state_changes(MemberState.DEAD)}
    return Quiet(
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
    """Datagrams and bytes that all members sent."""
    own = [each[0] for each in cluster.processes.values()]
    return sum(each.sent for each in own), sum(each.sent_bytes for each in own)


def many(work: Callable[..., T], cells: Sequence[tuple[object, ...]], jobs: int) -> list[T]:
    """Do all cells on so many cores, in their order."""
    with ProcessPoolExecutor(jobs) as pool:
        return [each.result() for each in [pool.submit(work, *cell) for cell in cells]]


def quantile(values: Sequence[float], part: float) -> float:
    """The least value that this part of them does not exceed."""
    return float(np.quantile(values, part, method="higher"))


def measure_found(jobs: int) -> None:
    """How quickly a killed member is found: a table, and the plot."""
    cells = [(size, seed) for size in reversed(SIZES) for seed in range(SEEDS)]
    rows = many(found, cells, jobs)
    names = ("suspected first", "called dead first", "known to all")
    print("| members |", " | ".join(f"{each}, s: median, 99th" for each in names), "|")
    points: dict[str, list[tuple[float, float]]] = {name: [] for name in names}
    for size in SIZES:
        own = [each for each in rows if each.size == size]
        columns = [[getattr(each, key) for each in own] for key in ("suspected_s", "dead_s", "known_s")]
        told = " | ".join(f"{quantile(each, 0.5):.1f}, {quantile(each, 0.99):.1f}" for each in columns)
        print(f"| {size} | {told} |", flush=True)
        for name, values in zip(names, columns, strict=True):
            points[name].append((size, quantile(values, 0.5)))
    PLOT.write_text(plots.lines(points, "members", "seconds after a kill, median", is_log=True))


def measure_quiet(jobs: int) -> None:
    """What is wrongly believed where nobody was killed, and what it costs: a table."""
    print(
        "| members | loss, slow | suspected, called dead: an hour and member"
        " | datagrams, bytes: a second and member |"
    )
    for size in QUIET_SIZES:
        for loss, slow in _CONDITIONS:
            calm = many(quiet, [(size, seed, loss, slow, QUIET_S) for seed in range(SEEDS)], jobs)
            hours = len(calm) * QUIET_S / 3_600.0 * size
            print(
                f"| {size} | {loss:g}, {slow:g} | {sum(each.suspected for each in calm) / hours:.2f},"
                f" {sum(each.dead for each in calm) / hours:.3f}"
                f" | {statistics.fmean(each.datagrams for each in calm):.2f},"
                f" {statistics.fmean(each.size_bytes for each in calm):.0f} |",
                flush=True,
            )


def main() -> None:
    """Measure all points: `make membership`."""
    jobs = os.cpu_count() or 1
    measure_found(jobs)
    measure_quiet(jobs)


if __name__ == "__main__":
    main()
