"""From two snapshots of a run to samples, and whether they may be used."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from statistics import fmean, median

from testbed.capacity.samples import Sample
from testbed.scale.plan import Plan
from testbed.scale.runner import Snapshot

AGREES_WITHIN = 1.3  # hollow and real members' means at rest, one by the other, either way
LAG_P99_MS, LAG_MOST_MS = (
    50.0,
    1_000.0,
)  # beyond these the machine was the limit; a tick 1 s late is slept through
CORE_PART = 0.9  # likewise, of a core, for any worker
_TRAFFIC = (
    ("member.sent_datagrams", "1/s"),
    ("member.sent_bytes", "B/s"),
    ("member.heard_datagrams", "1/s"),
    ("member.heard_bytes", "B/s"),
)


def quantile(values: list[float], part: float) -> float:
    """The least value that this part of them does not exceed."""
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * part), len(ordered) - 1)]


@dataclass
class Case:
    """What one event gave."""

    name: str
    samples: list[Sample] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)  # why its figures may not be used


class Figures:
    """All cases of a run."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.cases: list[Case] = []

    @property
    def usable(self) -> list[Sample]:
        """All samples of cases without a fault."""
        return [each for case in self.cases if not case.faults for each in case.samples]

    @property
    def unusable(self) -> list[Sample]:
        """The samples of cases that had faults."""
        return [each for case in self.cases if case.faults for each in case.samples]

    @property
    def notes(self) -> list[str]:
        """The notes of all cases."""
        return [each for case in self.cases for each in case.notes]

    @property
    def faults(self) -> list[str]:
        """The faults of all cases."""
        return [each for case in self.cases for each in case.faults]

    def case(self, name: str) -> Case:
        """Add a case; its name tells apart runs with versions and runs that did not settle."""
        if self.plan.has_versions:
            name += "-versions"
        own = Case(name if self.plan.settles else f"{name}-unsettled")
        self.cases.append(own)
        return own

    def sample(
        self, case: Case, measure: str, value: float, unit: str, part: str = "mean", engine: str = "hollow"
    ) -> None:
        """Record one sample of a case, with the plan's size and seed."""
        size = self.plan.members
        case.samples.append(
            Sample(measure, size, round(value, 4), unit, case.name, part, engine, self.plan.seed)
        )

    def spread(
        self, case: Case, measure: str, values: list[float], unit: str, engine: str, parts: tuple[str, ...]
    ) -> None:
        """Parts of a distribution over members."""
        made: dict[str, Callable[[list[float]], float]] = {
            "mean": fmean,
            "median": median,
            "p99": lambda all_of: quantile(all_of, 0.99),
            "max": max,
        }
        for part in parts if values else ():
            self.sample(case, measure, made[part](values), unit, part, engine)

    def between(
        self,
        case: Case,
        first: Snapshot,
        last: Snapshot,
        absent: set[int],
        *,
        is_looked_at: bool = False,
        is_settled: bool = False,
    ) -> None:
        """Costs from one snapshot to the other, of those members that lived all along.

        `is_looked_at`: real ones were asked for their views all the time, which costs more than membership.
        `is_settled`: hollow ones have no old news to tell, and real ones, which have, can't be compared.
        """
        took_s = last.at - first.at
        everybody = ("mean", "p99", "max")
        hollow = [each for each in self.plan.hollow if each not in absent]
        rates = [_rates(first.hollow[each], last.hollow[each], took_s) for each in hollow]
        # What passes between two real members is not seen: those seen are stretched to all others.
        seen = (self.plan.members - 1) / max(len(self.plan.hollow), 1)
        living = [each for each in range(self.plan.real) if each not in absent]
        real = [
            [seen * rate for rate in _rates(first.real[each], last.real[each], took_s)] for each in living
        ]
        for place, (measure, unit) in enumerate(_TRAFFIC):
            self.spread(case, measure, [each[place] for each in rates], unit, "hollow", everybody)
            if not is_settled:
                self.spread(case, measure, [each[place] for each in real], unit, "real", ("mean", "max"))
        calls, failed, lines = (b - a for a, b in zip(first.calls, last.calls, strict=True))
        self.sample(case, "discovery.calls", calls / took_s, "1/s")
        self.sample(case, "discovery.calls_failed", failed / took_s, "1/s")
        self.sample(case, "discovery.lines", lines / took_s, "1/s")
        if not is_looked_at:
            self._usage(case, first, last, took_s)
        self.sample(case, "scale.loop_lag", last.lag_ms[0], "ms", "p99")
        self.sample(case, "scale.loop_lag", last.lag_ms[1], "ms", "max")
        self.sample(case, "scale.took", took_s, "s")
        self._judge_machine(case, first, last, took_s)

    def _usage(self, case: Case, first: Snapshot, last: Snapshot, took_s: float) -> None:
        """Processor time and memory of real processes, with membership and without."""
        spent: dict[bool, list[float]] = {True: [], False: []}
        held: dict[bool, list[float]] = {True: [], False: []}
        for number, now in last.usage.items():
            before = first.usage.get(number)
            if before is not None and now.cpu_s >= before.cpu_s:
                is_member = number < self.plan.real
                spent[is_member].append(100.0 * (now.cpu_s - before.cpu_s) / took_s)
                held[is_member].append(now.memory_mb)
        for measure, unit, values in (("member.cpu", "% core", spent), ("member.memory", "MB", held)):
            self.spread(case, measure, values[True], unit, "real", ("mean", "max"))
            off = Case(f"{case.name}-off")
            self.spread(off, measure, values[False], unit, "real", ("mean", "max"))
            if values[True] and values[False]:
                difference = Case(f"{case.name}-difference")
                without = fmean(values[True]) - fmean(values[False])
                self.sample(difference, measure, without, unit, "mean", "real")
                case.samples += [*off.samples, *difference.samples]
        cpu = [100.0 * (b[0] - a[0]) / took_s for a, b in zip(first.workers, last.workers, strict=True)]
        each = len(self.plan.hollow) / self.plan.workers
        self.sample(case, "member.cpu", fmean(cpu) / each, "% core")

    def _judge_machine(self, case: Case, first: Snapshot, last: Snapshot, took_s: float) -> None:
        p99, most = last.lag_ms
        if p99 > LAG_P99_MS or most > LAG_MOST_MS:
            case.faults.append(
                f"{case.name}: a loop was late by {p99:.0f} ms (99th percentile), {most:.0f} ms at most"
            )
        busiest = max((b[0] - a[0]) / took_s for a, b in zip(first.workers, last.workers, strict=True))
        if busiest > CORE_PART:
            case.faults.append(f"{case.name}: a worker used {busiest:.2f} of a core")

    def judge_kinds(self, case: Case) -> None:
        """Whether hollow and real members cost the same, within the stated factor."""
        means = {
            (each.measure, each.engine): each.value
            for each in case.samples
            if each.part == "mean" and each.case == case.name
        }
        for measure, unit in _TRAFFIC:
            hollow, real = means.get((measure, "hollow")), means.get((measure, "real"))
            if hollow is None or real is None:
                continue
            if not 1 / AGREES_WITHIN <= hollow / max(real, 1e-9) <= AGREES_WITHIN:
                case.faults.append(f"{case.name}: {measure}: hollow {hollow:.2f}, real {real:.2f} {unit}")


def _rates(first: tuple[int, ...], last: tuple[int, ...], took_s: float) -> list[float]:
    """Datagrams and bytes sent, heard, a second."""
    return [(b - a) / took_s for a, b in zip(first, last, strict=True)]
