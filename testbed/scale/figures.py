"""Computes samples from two snapshots of a scale run, and decides whether they are usable."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from statistics import fmean, median

from testbed.capacity.samples import Sample
from testbed.scale.plan import Plan
from testbed.scale.runner import Snapshot

MAX_COST_RATIO = 1.3  # of the mean costs of simulated and real members at rest, in either direction
# Beyond these limits the machine determined the result; a tick that is 1 s late counts as a stalled process.
MAX_LAG_P99_MS = 50.0
MAX_LAG_MS = 1_000.0
MAX_CORE_FRACTION = 0.9  # of a core, for each worker
_TRAFFIC = (
    ("member.sent_datagrams", "1/s"),
    ("member.sent_bytes", "B/s"),
    ("member.heard_datagrams", "1/s"),
    ("member.heard_bytes", "B/s"),
)


def quantile(values: list[float], fraction: float) -> float:
    """Return the value at the rank of this fraction in sorted order, at most the last."""
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * fraction), len(ordered) - 1)]


@dataclass
class Case:
    """The results of one event, or of one phase of it."""

    name: str
    samples: list[Sample] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)  # reasons why the samples are not usable


class Figures:
    """The cases of a scale run, and their samples."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.cases: list[Case] = []

    @property
    def usable(self) -> list[Sample]:
        """The samples of cases without faults."""
        return [sample for case in self.cases if not case.faults for sample in case.samples]

    @property
    def unusable(self) -> list[Sample]:
        """The samples of cases with faults."""
        return [sample for case in self.cases if case.faults for sample in case.samples]

    @property
    def notes(self) -> list[str]:
        """The notes of all cases."""
        return [note for case in self.cases for note in case.notes]

    @property
    def faults(self) -> list[str]:
        """The faults of all cases."""
        return [fault for case in self.cases for fault in case.faults]

    def case(self, name: str) -> Case:
        """Add a case; its name has a suffix in runs that compare versions or do not settle."""
        if self.plan.has_versions:
            name += "-versions"
        case = Case(name if self.plan.settles else f"{name}-unsettled")
        self.cases.append(case)
        return case

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
        """Record the named statistics of a distribution over members; none without values."""
        statistics: dict[str, Callable[[list[float]], float]] = {
            "mean": fmean,
            "median": median,
            "p99": lambda numbers: quantile(numbers, 0.99),
            "max": max,
        }
        for part in parts if values else ():
            self.sample(case, measure, statistics[part](values), unit, part, engine)

    def between(
        self,
        case: Case,
        first: Snapshot,
        last: Snapshot,
        absent: set[int],
        *,
        is_polled: bool = False,
        is_settled: bool = False,
    ) -> None:
        """Record the costs between two snapshots, of the members that were alive all the time.

        `is_polled`: real members were polled for their views, whose cost exceeds that of membership;
        processor time and memory are then not recorded.
        `is_settled`: simulated members have no old updates left to send but real ones have, so that their
        traffic is not recorded.
        """
        elapsed_s = last.at - first.at
        parts = ("mean", "p99", "max")
        simulated = [number for number in self.plan.simulated if number not in absent]
        simulated_rates = [
            _rates(first.simulated[number], last.simulated[number], elapsed_s) for number in simulated
        ]
        # Traffic between two real members is not counted: what a real member exchanges with the simulated
        # ones is extrapolated to all other members.
        scale = (self.plan.members - 1) / max(len(self.plan.simulated), 1)
        live_real = [number for number in range(self.plan.real) if number not in absent]
        real_rates = [
            [scale * rate for rate in _rates(first.real[number], last.real[number], elapsed_s)]
            for number in live_real
        ]
        for index, (measure, unit) in enumerate(_TRAFFIC):
            self.spread(case, measure, [rates[index] for rates in simulated_rates], unit, "hollow", parts)
            if not is_settled:
                self.spread(
                    case, measure, [rates[index] for rates in real_rates], unit, "real", ("mean", "max")
                )
        calls, failed, entries = (
            after - before for before, after in zip(first.discovery_calls, last.discovery_calls, strict=True)
        )
        self.sample(case, "discovery.calls", calls / elapsed_s, "1/s")
        self.sample(case, "discovery.calls_failed", failed / elapsed_s, "1/s")
        self.sample(case, "discovery.lines", entries / elapsed_s, "1/s")
        if not is_polled:
            self._add_usage(case, first, last, elapsed_s)
        self.sample(case, "scale.loop_lag", last.lag_ms[0], "ms", "p99")
        self.sample(case, "scale.loop_lag", last.lag_ms[1], "ms", "max")
        self.sample(case, "scale.took", elapsed_s, "s")
        self._check_machine_limits(case, first, last, elapsed_s)

    def _add_usage(self, case: Case, first: Snapshot, last: Snapshot, elapsed_s: float) -> None:
        """Processor time and memory of real processes, with membership and without."""
        cpu: dict[bool, list[float]] = {True: [], False: []}
        memory: dict[bool, list[float]] = {True: [], False: []}
        for number, now in last.usage.items():
            before = first.usage.get(number)
            if before is not None and now.cpu_s >= before.cpu_s:
                is_member = number < self.plan.real
                cpu[is_member].append(100.0 * (now.cpu_s - before.cpu_s) / elapsed_s)
                memory[is_member].append(now.memory_mb)
        for measure, unit, values in (("member.cpu", "% core", cpu), ("member.memory", "MB", memory)):
            self.spread(case, measure, values[True], unit, "real", ("mean", "max"))
            off = Case(f"{case.name}-off")
            self.spread(off, measure, values[False], unit, "real", ("mean", "max"))
            if values[True] and values[False]:
                difference = Case(f"{case.name}-difference")
                mean_difference = fmean(values[True]) - fmean(values[False])
                self.sample(difference, measure, mean_difference, unit, "mean", "real")
                case.samples += [*off.samples, *difference.samples]
        worker_cpu = [
            100.0 * (after[0] - before[0]) / elapsed_s
            for before, after in zip(first.workers, last.workers, strict=True)
        ]
        members_per_worker = len(self.plan.simulated) / self.plan.workers
        self.sample(case, "member.cpu", fmean(worker_cpu) / members_per_worker, "% core")

    def _check_machine_limits(self, case: Case, first: Snapshot, last: Snapshot, elapsed_s: float) -> None:
        p99, max_lag = last.lag_ms
        if p99 > MAX_LAG_P99_MS or max_lag > MAX_LAG_MS:
            case.faults.append(
                f"{case.name}: a loop was late by {p99:.0f} ms (99th percentile), {max_lag:.0f} ms at most"
            )
        busiest = max(
            (after[0] - before[0]) / elapsed_s
            for before, after in zip(first.workers, last.workers, strict=True)
        )
        if busiest > MAX_CORE_FRACTION:
            case.faults.append(f"{case.name}: a worker used {busiest:.2f} of a core")

    def compare_kinds(self, case: Case) -> None:
        """Add a fault for each traffic measure whose means of simulated and real members differ too much."""
        means = {
            (sample.measure, sample.engine): sample.value
            for sample in case.samples
            if sample.part == "mean" and sample.case == case.name
        }
        for measure, unit in _TRAFFIC:
            simulated, real = means.get((measure, "hollow")), means.get((measure, "real"))
            if simulated is None or real is None:
                continue
            if not 1 / MAX_COST_RATIO <= simulated / max(real, 1e-9) <= MAX_COST_RATIO:
                case.faults.append(f"{case.name}: {measure}: hollow {simulated:.2f}, real {real:.2f} {unit}")


def _rates(first: tuple[int, ...], last: tuple[int, ...], elapsed_s: float) -> list[float]:
    """Return datagrams and bytes sent, then received, per second."""
    return [(after - before) / elapsed_s for before, after in zip(first, last, strict=True)]
