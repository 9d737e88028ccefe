"""Time until a configuration is in force everywhere, and costs of the rollout protocol: `make rollout`.

Clusters of 50 to 1,000 members run in virtual time; all files are written before one member is signalled, and
reading a file takes no time.  Samples go to docs/capacity/rollout-*.json.
"""

from __future__ import annotations

import argparse
import random
import statistics
import time
import tracemalloc
from collections.abc import Sequence
from dataclasses import dataclass

from sidecar.cluster.aggregation import AggregationRound
from sidecar.cluster.member_table import MemberTable
from sidecar.cluster.message import cluster_id
from sidecar.cluster.rollout import Rollout
from sidecar.cluster.rollout_actions import RolloutConcluded
from sidecar.cluster.rollout_message import ExchangeKind, encode
from sidecar.cluster.settings import RolloutSettings
from testbed.capacity.samples import Sample, save
from testbed.cluster_simulation.measure import run_parallel
from testbed.cluster_simulation.versions import VersionedCluster

SIZES = (50, 100, 200, 400, 750, 1_000)
SEEDS = range(11, 16)  # 1 to 5 are those that the settings were tuned on
CASES = {"loss-0": 0.0, "loss-5%": 0.05, "loss-30%": 0.3, "zone": 0.0, "off": 0.0}
_JOBS = 4
_IN_FORCE_BOUND_S = 12.0  # the operators' budget for a change
_CHANGE_TIMEOUT_S = 120.0  # until all members know that a change is in force
_TRAFFIC_S = 15.0  # after a change, in which datagrams are counted
_REST_S = 150.0
_BETWEEN_S = 86_400 / 580  # between two changes, on a day with 580 of them
_CHANGES = 2
_COST_SEEDS = 3  # for traffic at rest and over a day, which differs little between seeds
_ZONES = 5
_ZONE_RETURN_S = 3.0
_DATAGRAMS = 4_000  # received, to measure the processor time of one
_NEVER_S = 1_000.0  # stands for a change that never came in force, so that values can be sorted


@dataclass(frozen=True, slots=True)
class Change:
    """One change: seconds since the first member had it in force, and the traffic that it caused."""

    size: int
    case: str
    in_force_s: float | None  # until all members had it in force
    in_time: int  # members that had it in force within _IN_FORCE_BOUND_S
    known_first_s: float | None  # until the first member knew that it is in force everywhere
    known_all_s: float | None  # until all members knew
    datagrams: float  # per second over _TRAFFIC_S, of the member that sent the most
    size_bytes: float  # likewise


@dataclass(frozen=True, slots=True)
class Cost:
    """Traffic sent per member and second: the mean, and that of the member that sent the most."""

    size: int
    case: str
    datagrams: float
    size_bytes: float
    most_datagrams: float
    most_bytes: float


def _at_rest(size: int, seed: int, loss: float, *, is_on: bool) -> VersionedCluster:
    """Return a cluster that knows its version, at a random moment of an aggregation round."""
    settings = RolloutSettings(on=is_on)
    cluster = VersionedCluster(size, seed, rollout=settings, is_membership_on=False)
    cluster.run(30.0 + 60.0 * random.Random(seed).random())
    cluster.loss = loss
    return cluster


def measure_change(size: int, seed: int, case: str) -> Change:
    """Write all files, signal one member, and measure the change; `case` is a key of CASES."""
    cluster = _at_rest(size, seed, CASES[case], is_on=case != "off")
    first = seed * 7_919 % size
    zone = [number for number in range(size) if case == "zone" and number % _ZONES == (first + 1) % _ZONES]
    for number in zone:
        cluster.kill(number)
    cluster.run(0.5 if zone else 0.0)
    cluster.rollout_reports.clear()
    started_at, sent = cluster.queue.now, _sent(cluster)
    cluster.publish(2, first)
    cluster.run(_ZONE_RETURN_S if zone else 0.0)
    for number in zone:
        cluster.start(number)
    cluster.run(_TRAFFIC_S - (_ZONE_RETURN_S if zone else 0.0))
    most = _most(sent, _sent(cluster))
    while cluster.queue.now - started_at < _CHANGE_TIMEOUT_S * 1e6 and len(_known(cluster)) < size:
        cluster.run(1.0)
    in_force_at = sorted(cluster.applied.get(2, {}).values())
    known = _known(cluster)
    return Change(
        size,
        case,
        (in_force_at[-1] - started_at) / 1e6 if cluster.in_force(2) else None,
        sum(at - started_at <= _IN_FORCE_BOUND_S * 1e6 for at in in_force_at) + len(zone),
        (known[0] - started_at) / 1e6 if known else None,
        (known[-1] - started_at) / 1e6 if len(known) == size else None,
        most[0] / _TRAFFIC_S,
        most[1] / _TRAFFIC_S,
    )


def _known(cluster: VersionedCluster) -> list[int]:
    """Return the sorted times of each member's last report that version 2 is in force everywhere."""
    times = {
        member: at
        for at, member, report in cluster.rollout_reports
        if isinstance(report, RolloutConcluded)
        and report.status.version == 2
        and report.status.is_in_force_everywhere
    }
    return sorted(times.values())


def measure_at_rest(size: int, seed: int) -> Cost:
    """Measure the traffic of a cluster without a change."""
    cluster = _at_rest(size, seed, 0.0, is_on=True)
    before = _sent(cluster)
    cluster.run(_REST_S)
    return _cost("rest", before, _sent(cluster), _REST_S)


def measure_day(size: int, seed: int) -> Cost:
    """Measure the traffic with changes at the rate of a day with 580 of them."""
    cluster = _at_rest(size, seed, 0.0, is_on=True)
    before = _sent(cluster)
    for count in range(_CHANGES):
        cluster.publish(2 + count, (seed + count) * 7_919 % size)
        cluster.run(_BETWEEN_S)
    return _cost("day-580", before, _sent(cluster), _CHANGES * _BETWEEN_S)


Sent = dict[int, tuple[int, int]]


def _sent(cluster: VersionedCluster) -> Sent:
    """Return the rollout datagrams and bytes that each member's process has sent so far."""
    return {
        process.number: (process.exchanges, process.exchange_bytes) for process in cluster.versioned_processes
    }


def _most(before: Sent, after: Sent) -> tuple[int, int]:
    """Return the most datagrams and bytes that one member sent; a new process starts at zero."""
    pairs = [(before.get(number, (0, 0)), new) for number, new in after.items()]
    counts, sizes = zip(
        *((new[0] - old[0], new[1] - old[1]) if new >= old else new for old, new in pairs), strict=True
    )
    return max(counts), max(sizes)


def _cost(case: str, before: Sent, after: Sent, seconds: float) -> Cost:
    size, most = len(after), _most(before, after)
    per = 1.0 / size / seconds
    datagrams = sum(sent[0] for sent in after.values()) - sum(sent[0] for sent in before.values())
    size_bytes = sum(sent[1] for sent in after.values()) - sum(sent[1] for sent in before.values())
    return Cost(size, case, datagrams * per, size_bytes * per, most[0] / seconds, most[1] / seconds)


# Costs of a single member


def measure_single_member(size: int) -> tuple[float, float]:
    """Return a member's memory for the rollout in bytes, and processor microseconds per datagram answered."""
    table, payloads = MemberTable(size, 0), [_payload(size, 1, number) for number in range(1, _DATAGRAMS + 1)]
    _member(table, payloads)  # so that allocations shared by all members are not counted
    tracemalloc.start()
    rollout = _member(table, payloads)
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    started_ns = time.process_time_ns()
    for index, payload in enumerate(payloads):
        rollout.datagram_received((index + 1) * 150_000, 1, payload)
    return memory_bytes, (time.process_time_ns() - started_ns) / 1e3 / _DATAGRAMS


def _member(table: MemberTable, payloads: Sequence[bytes]) -> Rollout:
    """Return a member that has received some rounds."""
    rollout = Rollout(0, "a", table, RolloutSettings(), random.Random(1), 0, 1, 5)
    rollout.start(0)
    for number, payload in enumerate(payloads[:3]):
        rollout.datagram_received(number * 150_000, 1, payload)
    return rollout


def _payload(size: int, sender: int, number: int) -> bytes:
    """Return a push-pull message of a new round, with reports of all members but the receiver."""
    round_ = AggregationRound(1, number, sender, number * 150_000, 5, 5, (1 << size) - 2)
    return encode(cluster_id("a"), sender, ExchangeKind.PUSH_PULL, round_, 0, number * 150_000)


# Figures


def _median_and_max(
    measure: str, size: int, values: Sequence[float | None], unit: str, case: str, engine: str = "virtual"
) -> list[Sample]:
    """Return the median and the maximum over the seeds, with _NEVER_S for a change never in force."""
    numbers = [_NEVER_S if value is None else value for value in values]
    return [
        Sample(measure, size, round(statistics.median(numbers), 3), unit, case, "median", engine),
        Sample(measure, size, round(max(numbers), 3), unit, case, "max", engine),
    ]


def _change_samples(size: int, case: str, rows: Sequence[Change]) -> list[Sample]:
    samples: list[Sample] = []
    for measure, unit, values in (
        ("config.in_force", "s", [row.in_force_s for row in rows]),
        ("config.in_time", "members", [float(row.in_time) for row in rows]),
        ("config.known_first", "s", [row.known_first_s for row in rows]),
        ("config.known_everywhere", "s", [row.known_all_s for row in rows]),
        ("config.sent_datagrams", "1/s", [row.datagrams for row in rows]),
        ("config.sent_bytes", "B/s", [row.size_bytes for row in rows]),
    ):
        samples += _median_and_max(measure, size, values, unit, f"change {case}")
    return samples


def _cost_samples(size: int, case: str, rows: Sequence[Cost]) -> list[Sample]:
    samples: list[Sample] = []
    for measure, unit, mean, most in (
        (
            "config.sent_datagrams",
            "1/s",
            [row.datagrams for row in rows],
            [row.most_datagrams for row in rows],
        ),
        ("config.sent_bytes", "B/s", [row.size_bytes for row in rows], [row.most_bytes for row in rows]),
    ):
        samples.append(Sample(measure, size, round(statistics.fmean(mean), 3), unit, case, "mean", "virtual"))
        samples.append(Sample(measure, size, round(max(most), 3), unit, case, "max", "virtual"))
    return samples


def _print_samples(samples: Sequence[Sample]) -> None:
    for sample in samples:
        print(
            f"{sample.measure:26} {sample.size:5g} {sample.case:18} {sample.part:7}"
            f" {sample.value:10g} {sample.unit}"
        )


def main() -> None:
    """Measure all sizes, cases and seeds, and print or save the samples."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES)
    parser.add_argument("--seeds", type=int, nargs="+", default=list(SEEDS))
    parser.add_argument("--save", action="store_true", help="write docs/capacity/rollout-*.json")
    arguments = parser.parse_args()
    command = "make rollout"
    cells = [(size, seed, case) for size in arguments.sizes for case in CASES for seed in arguments.seeds]
    cells.sort(reverse=True)
    rows = run_parallel(measure_change, cells, _JOBS)
    cost_cells = [
        (size, seed)
        for size in sorted(arguments.sizes, reverse=True)
        for seed in arguments.seeds[:_COST_SEEDS]
    ]
    costs = [*run_parallel(measure_at_rest, cost_cells, _JOBS), *run_parallel(measure_day, cost_cells, _JOBS)]
    before: list[Sample] = []
    after: list[Sample] = []
    single: list[Sample] = []
    for size in arguments.sizes:
        for case in CASES:
            case_rows = [row for row in rows if (row.size, row.case) == (size, case)]
            (before if case == "off" else after).extend(_change_samples(size, case, case_rows))
        for kind in ("rest", "day-580"):
            after += _cost_samples(
                size, kind, [cost for cost in costs if (cost.size, cost.case) == (size, kind)]
            )
        memory_bytes, processor_us = measure_single_member(size)
        single.append(Sample("config.memory", size, memory_bytes, "B", "a member"))
        single.append(Sample("config.processor", size, round(processor_us, 1), "us", "a datagram answered"))
    for group in (before, after, single):
        _print_samples(group)
    if arguments.save:
        seeds = f"seeds {arguments.seeds[0]} to {arguments.seeds[-1]}; {_NEVER_S:g} s stands for never"
        save(
            "rollout-virtual",
            command,
            after,
            notes=f"{seeds}, the first {_COST_SEEDS} at rest and over a day; membership at rest",
        )
        save("rollout-before", command, before, notes=f"{seeds}; without the mechanism")
        save("rollout-alone", command, single)


if __name__ == "__main__":
    main()
