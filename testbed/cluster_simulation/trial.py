"""A simulated cluster under one event: what each member sends and receives, and when all agree."""

from __future__ import annotations

from collections.abc import Sequence

import numpy as np

from sidecar.cluster.actions import MemberStateChanged
from sidecar.cluster.message import MemberState
from testbed.capacity.samples import Sample
from testbed.cluster_simulation.virtual import Process, Report, S, VirtualCluster

REQUESTS_PER_S = 293  # 220,000 calls a second over 750 sidecars
BACK_AFTER_S = 5.0  # between the end and the next start of a restarted member
OVERLAP_US = S  # that both processes of a member run during an upgrade
_STEP_S = 0.25
# By counter of a process: the measure of its rate, and the unit.
_MEASURES = {
    "sent": ("member.sent_datagrams", "1/s"),
    "received": ("member.heard_datagrams", "1/s"),
    "sent_bytes": ("member.sent_bytes", "B/s"),
    "received_bytes": ("member.heard_bytes", "B/s"),
}


class OverdueError(Exception):
    """An awaited state was not reached within the timeout; the text names it."""


class Trial:
    """A cluster with the members killed in it, and those wrongly declared dead."""

    def __init__(self, size: int, seed: int, *, loss: float = 0.0, is_converged: bool = True) -> None:
        self.size, self.seed = size, seed
        self.samples: list[Sample] = []
        self.cluster = VirtualCluster(size, seed, loss=loss, is_converged=is_converged)
        self.cluster.on_report = self._record_death
        self._incarnations = {
            number: self.cluster.membership_of(number).incarnation for number in range(size)
        }
        self._killed: dict[int, int] = {}  # by member: time of the kill
        self._known: dict[int, dict[int, int]] = {}  # by killed member, then observer: when it knew
        self._wrong: set[tuple[int, int]] = set()  # member and incarnation
        self._had_partition = False
        # Counters of the processes that have ended, by member.
        self._ended = {number: dict.fromkeys(_MEASURES, 0) for number in range(size)}
        self._started_at = 0
        self._initial_totals: dict[int, dict[str, int]] = {}
        self.begin()

    # Faults

    def kill(self, numbers: Sequence[int]) -> None:
        """Kill members at once, without notifying the others."""
        for number in numbers:
            self._killed[number] = self.cluster.queue.now
            self._known[number] = {}
            self.cluster.kill(number)

    def partition(self, seconds: float) -> None:
        """Separate the two halves of the cluster for a number of virtual seconds."""
        self._had_partition = True
        self.cluster.is_partitioned = self._crosses_partition
        self.cluster.run(seconds)
        self.cluster.is_partitioned = lambda _source, _target: False

    def restart(self, number: int) -> None:
        """Have a member leave, and start it again after `BACK_AFTER_S`."""
        ended = self.cluster.processes[number]
        self.cluster.leave(number)
        self._add_ended(number, ended)
        self.cluster.queue.after(int(BACK_AFTER_S * S), self._start, number)

    def upgrade(self, number: int) -> None:
        """Start the next process of a member beside the present one, which leaves after `OVERLAP_US`."""
        ended = list(self.cluster.processes[number])
        self.cluster.upgrade(number, OVERLAP_US)
        self._incarnations[number] = self.cluster.membership_of(number).incarnation
        self.cluster.queue.after(OVERLAP_US, self._add_ended, number, ended)

    def _add_ended(self, number: int, ended: Sequence[Process]) -> None:
        """Add the counters of processes that have ended."""
        for process in ended:
            for counter in _MEASURES:
                self._ended[number][counter] += getattr(process, counter)

    def _start(self, number: int) -> None:
        self._incarnations[number] = self.cluster.start(number).membership.incarnation

    def load(self) -> None:
        """From now on report `REQUESTS_PER_S` received requests to every member, once a second."""
        for number in range(self.size):
            self.cluster.queue.after(number * S // self.size, self._report_requests, number)

    def _report_requests(self, number: int) -> None:
        for process in self.cluster.processes.get(number, []):
            process.membership.requests_received(self.cluster.queue.now, REQUESTS_PER_S)
        self.cluster.queue.after(S, self._report_requests, number)

    # Waiting

    def until_known(self, timeout_s: float) -> None:
        """Run until all live members know of each killed one; raise OverdueError at the timeout."""
        started_at, wanted = self.cluster.queue.now, len(self.cluster.processes)
        while any(len(observers) < wanted for observers in self._known.values()):
            if self.cluster.queue.now - started_at > timeout_s * S:
                raise OverdueError(f"deaths not known to all within {timeout_s:g} s")
            self.cluster.run(_STEP_S)

    def until_agreed(self, timeout_s: float) -> float:
        """Run until all agree; return the seconds that it took, or raise OverdueError at the timeout."""
        elapsed_s = self.cluster.until_agreed(timeout_s, _STEP_S)
        if elapsed_s is None:
            raise OverdueError(f"no agreement within {timeout_s:g} s")
        return elapsed_s

    # Counters

    def begin(self) -> None:
        """Start to count from the present virtual time."""
        self._started_at = self.cluster.queue.now
        self._initial_totals = {number: self._totals(number) for number in range(self.size)}
        self._wrong.clear()

    def _totals(self, number: int) -> dict[str, int]:
        processes = self.cluster.processes.get(number, [])
        return {
            counter: self._ended[number][counter] + sum(getattr(process, counter) for process in processes)
            for counter in _MEASURES
        }

    def add(self, measure: str, value: float, unit: str, case: str, part: str) -> None:
        """Record one sample, with the trial's size and seed."""
        self.samples.append(
            Sample(measure, self.size, round(value, 4), unit, case, part, engine="virtual", seed=self.seed)
        )

    def add_costs(self, case: str) -> None:
        """Record the traffic of each live member per second since `begin`, and the rate of wrong deaths."""
        seconds = (self.cluster.queue.now - self._started_at) / S
        alive = self.cluster.alive
        totals = {number: self._totals(number) for number in alive}
        for counter, (measure, unit) in _MEASURES.items():
            rates = [
                (totals[number][counter] - self._initial_totals[number][counter]) / seconds
                for number in alive
            ]
            self._add_statistics(measure, rates, unit, case)
        wrong = len(self._wrong) / (len(alive) * seconds / 3_600.0)
        self.add("member.wrong_deaths", wrong, "1/h", case, "mean")

    def _add_statistics(self, measure: str, values: Sequence[float], unit: str, case: str) -> None:
        self.add(measure, float(np.mean(values)), unit, case, "mean")
        self.add(measure, float(np.quantile(values, 0.99, method="higher")), unit, case, "p99")
        self.add(measure, max(values), unit, case, "max")

    def add_detection_times(self, case: str) -> None:
        """Record how long each live member took to learn of each killed one."""
        waits = [
            (at - self._killed[killed]) / S for killed, times in self._known.items() for at in times.values()
        ]
        self.add("member.death_known", float(np.median(waits)), "s", case, "median")
        self.add("member.death_known", max(waits), "s", case, "max")

    def _record_death(self, report: Report) -> None:
        """Record a report of a death: when its observer knew, or, of a live member, that it is wrong.

        A death that was reported across a partition is not wrong, even if it is learned after the partition.
        """
        at, observer, change = report
        if not isinstance(change, MemberStateChanged) or change.state is not MemberState.DEAD:
            return
        if change.member in self._killed:
            self._known[change.member].setdefault(observer, at)
        elif (
            change.member in self.cluster.processes
            and change.incarnation >= self._incarnations[change.member]
            and not self._crosses_partition(change.reported_by, change.member)
        ):
            self._wrong.add((change.member, change.incarnation))

    def _crosses_partition(self, source: int, target: int) -> bool:
        return self._had_partition and self._side(source) is not self._side(target)

    def _side(self, number: int) -> bool:
        return number < self.size // 2
