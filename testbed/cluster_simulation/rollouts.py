"""Until a configuration is in force everywhere, and what comparing versions costs: `make rollout`.

In virtual time, from 50 to 1,000 members; every file is there when one member is signalled, and a look at a
file takes no time.  Figures go to docs/capacity/rollout-*.json.
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
from testbed.cluster_simulation.measure import many
from testbed.cluster_simulation.versions import VersionedCluster

SIZES = (50, 100, 200, 400, 750, 1_000)
SEEDS = range(11, 16)  # 1 to 5 were used in tuning
CASES = {"loss-0": 0.0, "loss-5%": 0.05, "loss-30%": 0.3, "zone": 0.0, "off": 0.0}
_JOBS = 4
_BOUND_S = 12.0  # the operators' budget
_WATCHED_S = 120.0  # a change is waited for so long
_SPREADS_S = 15.0  # and its datagrams counted so long
_REST_S = 150.0
_BETWEEN_S = 86_400 / 580  # two changes on the operators' day
_CHANGES = 2
_CALM_SEEDS = 3  # of them for what is sent at rest and over a day, which differ by little
_ZONES = 5
_ZONE_BACK_S = 3.0
_EVENTS = 4_000  # datagrams heard to see what one takes
_LONG_S = 1_000.0  # in place of never, where a figure needs a number to be sorted by


@dataclass(frozen=True, slots=True)
class Changed:
    """One change: seconds since one member had it, and what the members sent for it."""

    size: int
    case: str
    in_force_s: float | None  # until all had it
    in_time: int  # members that had it within the operators' bound
    known_first_s: float | None  # until the first could say that it is in force everywhere
    known_all_s: float | None
    datagrams: float  # of the member that sent the most, a second, over _SPREADS_S
    size_bytes: float  # likewise


@dataclass(frozen=True, slots=True)
class Cost:
    """What was sent a member and second: of the mean member, and of that which sent the most."""

    size: int
    case: str
    datagrams: float
    size_bytes: float
    most_datagrams: float
    most_bytes: float


def _at_rest(size: int, seed: int, loss: float, *, is_on: bool) -> VersionedCluster:
    """A cluster that knows its version, at some moment of an aggregation round."""
    settings = RolloutSettings(on=is_on)
    cluster = VersionedCluster(size, seed, rollout=settings, is_membership_on=False)
    cluster.run(30.0 + 60.0 * random.Random(seed).random())
    cluster.loss = loss
    return cluster


def changed(size: int, seed: int, case: str) -> Changed:
    """One member is signalled; every file is there."""
    cluster = _at_rest(size, seed, CASES[case], is_on=case != "off")
    first = seed * 7_919 % size
    zone = [each for each in range(size) if case == "zone" and each % _ZONES == (first + 1) % _ZONES]
    for number in zone:
        cluster.kill(number)
    cluster.run(0.5 if zone else 0.0)
    cluster.rollout_reports.clear()
    began, sent = cluster.queue.now, _sent(cluster)
    cluster.publish(2, first)
    cluster.run(_ZONE_BACK_S if zone else 0.0)
    for number in zone:
        cluster.start(number)
    cluster.run(_SPREADS_S - (_ZONE_BACK_S if zone else 0.0))
    most = _most(sent, _sent(cluster))
    while cluster.queue.now - began < _WATCHED_S * 1e6 and len(_known(cluster)) < size:
        cluster.run(1.0)
    has = sorted(cluster.applied.get(2, {}).values())
    known = _known(cluster)
    return Changed(
        size,
        case,
        (has[-1] - began) / 1e6 if cluster.in_force(2) else None,
        sum(each - began <= _BOUND_S * 1e6 for each in has) + len(zone),
        (known[0] - began) / 1e6 if known else None,
        (known[-1] - began) / 1e6 if len(known) == size else None,
        most[0] / _SPREADS_S,
        most[1] / _SPREADS_S,
    )


def _known(cluster: VersionedCluster) -> list[int]:
    """When members came to know that version 2 is in force everywhere, the latest word of each."""
    found = {
        by: at
        for at, by, what in cluster.rollout_reports
        if isinstance(what, RolloutConcluded)
        and what.status.version == 2
        and what.status.is_in_force_everywhere
    }
    return sorted(found.values())


def rest(size: int, seed: int) -> Cost:
    """Nothing changes."""
    cluster = _at_rest(size, seed, 0.0, is_on=True)
    before = _sent(cluster)
    cluster.run(_REST_S)
    return _cost("rest", before, _sent(cluster), _REST_S)


def day(size: int, seed: int) -> Cost:
    """A change every so often, as on a day of 580."""
    cluster = _at_rest(size, seed, 0.0, is_on=True)
    before = _sent(cluster)
    for count in range(_CHANGES):
        cluster.publish(2 + count, (seed + count) * 7_919 % size)
        cluster.run(_BETWEEN_S)
    return _cost("day-580", before, _sent(cluster), _CHANGES * _BETWEEN_S)


Sent = dict[int, tuple[int, int]]


def _sent(cluster: VersionedCluster) -> Sent:
    """Datagrams and bytes that each member's process has sent so far."""
    return {each.number: (each.exchanges, each.exchange_bytes) for each in cluster.versioned_processes}


def _most(before: Sent, after: Sent) -> tuple[int, int]:
    """The most that anybody sent meanwhile; a process that is new has sent nothing before."""
    both = [(before.get(number, (0, 0)), own) for number, own in after.items()]
    counts, sizes = zip(
        *((own[0] - old[0], own[1] - old[1]) if own >= old else own for old, own in both), strict=True
    )
    return max(counts), max(sizes)


def _cost(case: str, before: Sent, after: Sent, seconds: float) -> Cost:
    size, most = len(after), _most(before, after)
    per = 1.0 / size / seconds
    datagrams = sum(each[0] for each in after.values()) - sum(each[0] for each in before.values())
    size_bytes = sum(each[1] for each in after.values()) - sum(each[1] for each in before.values())
    return Cost(size, case, datagrams * per, size_bytes * per, most[0] / seconds, most[1] / seconds)


# One member by itself


def alone(size: int) -> tuple[float, float]:
    """Bytes that a member holds for it, and processor microseconds for a datagram heard and answered."""
    table, payloads = MemberTable(size, 0), [_payload(size, 1, number) for number in range(1, _EVENTS + 1)]
    _member(table, payloads)  # what is made once for all
    tracemalloc.start()
    rollout = _member(table, payloads)
    kept = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    began = time.process_time_ns()
    for index, payload in enumerate(payloads):
        rollout.datagram_received((index + 1) * 150_000, 1, payload)
    return kept, (time.process_time_ns() - began) / 1e3 / _EVENTS


def _member(table: MemberTable, payloads: Sequence[bytes]) -> Rollout:
    """A member that has heard of some rounds."""
    rollout = Rollout(0, "a", table, RolloutSettings(), random.Random(1), 0, 1, 5)
    rollout.start(0)
    for number, payload in enumerate(payloads[:3]):
        rollout.datagram_received(number * 150_000, 1, payload)
    return rollout


def _payload(size: int, sender: int, number: int) -> bytes:
    """A push-pull message with news: the next round, with all members but the receiver in it."""
    round_ = AggregationRound(1, number, sender, number * 150_000, 5, 5, (1 << size) - 2)
    return encode(cluster_id("a"), sender, ExchangeKind.PUSH_PULL, round_, 0, number * 150_000)


# Figures


def _both(
    measure: str, size: int, values: Sequence[float | None], unit: str, case: str, engine: str = "virtual"
) -> list[Sample]:
    """Median and greatest over the seeds; a change that never came in force stands as _LONG_S."""
    numbers = [_LONG_S if each is None else each for each in values]
    return [
        Sample(measure, size, round(statistics.median(numbers), 3), unit, case, "median", engine),
        Sample(measure, size, round(max(numbers), 3), unit, case, "max", engine),
    ]


def _of_change(size: int, case: str, rows: Sequence[Changed]) -> list[Sample]:
    out: list[Sample] = []
    for measure, unit, values in (
        ("config.in_force", "s", [each.in_force_s for each in rows]),
        ("config.in_time", "members", [float(each.in_time) for each in rows]),
        ("config.known_first", "s", [each.known_first_s for each in rows]),
        ("config.known_everywhere", "s", [each.known_all_s for each in rows]),
        ("config.sent_datagrams", "1/s", [each.datagrams for each in rows]),
        ("config.sent_bytes", "B/s", [each.size_bytes for each in rows]),
    ):
        out += _both(measure, size, values, unit, f"change {case}")
    return out


def _of_cost(size: int, case: str, rows: Sequence[Cost]) -> list[Sample]:
    out: list[Sample] = []
    for measure, unit, mean, most in (
        ("config.sent_datagrams", "1/s", [e.datagrams for e in rows], [e.most_datagrams for e in rows]),
        ("config.sent_bytes", "B/s", [e.size_bytes for e in rows], [e.most_bytes for e in rows]),
    ):
        out.append(Sample(measure, size, round(statistics.fmean(mean), 3), unit, case, "mean", "virtual"))
        out.append(Sample(measure, size, round(max(most), 3), unit, case, "max", "virtual"))
    return out


def _told(samples: Sequence[Sample]) -> None:
    for each in samples:
        print(f"{each.measure:26} {each.size:5g} {each.case:18} {each.part:7} {each.value:10g} {each.unit}")


def main() -> None:
    """Measure all points."""
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("--sizes", type=int, nargs="+", default=SIZES)
    words.add_argument("--seeds", type=int, nargs="+", default=list(SEEDS))
    words.add_argument("--save", action="store_true", help="write docs/capacity/rollout-*.json")
    given = words.parse_args()
    command = "make rollout"
    cells = [(size, seed, case) for size in given.sizes for case in CASES for seed in given.seeds]
    cells.sort(reverse=True)
    rows = many(changed, cells, _JOBS)
    quiet = [(size, seed) for size in sorted(given.sizes, reverse=True) for seed in given.seeds[:_CALM_SEEDS]]
    costs = [*many(rest, quiet, _JOBS), *many(day, quiet, _JOBS)]
    before: list[Sample] = []
    after: list[Sample] = []
    by_itself: list[Sample] = []
    for size in given.sizes:
        for case in CASES:
            own = [each for each in rows if (each.size, each.case) == (size, case)]
            (before if case == "off" else after).extend(_of_change(size, case, own))
        for kind in ("rest", "day-580"):
            after += _of_cost(size, kind, [e for e in costs if (e.size, e.case) == (size, kind)])
        kept, spent = alone(size)
        by_itself.append(Sample("config.memory", size, kept, "B", "a member"))
        by_itself.append(Sample("config.processor", size, round(spent, 1), "us", "a datagram answered"))
    for each in (before, after, by_itself):
        _told(each)
    if given.save:
        seeds = f"seeds {given.seeds[0]} to {given.seeds[-1]}; {_LONG_S:g} s stands for never"
        save(
            "rollout-virtual",
            command,
            after,
            notes=f"{seeds}, the first {_CALM_SEEDS} at rest and over a day; membership at rest",
        )
        save("rollout-before", command, before, notes=f"{seeds}; without the mechanism")
        save("rollout-alone", command, by_itself)


if __name__ == "__main__":
    main()
