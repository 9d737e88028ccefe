"""One cluster in virtual time under one event: what each member sent and heard, and when all agreed."""

from __future__ import annotations

from collections.abc import Sequence

import numpy as np

from sidecar.cluster.actions import MemberStateChanged
from sidecar.cluster.message import MemberState
from testbed.capacity.samples import Sample
from testbed.cluster_simulation.virtual import Process, Report, S, VirtualCluster

REQUESTS_PER_S = 293  # 220,000 calls a second over 750 sidecars
BACK_AFTER_S = 5.0  # a member that was restarted
OVERLAP_US = S  # of both processes at an upgrade
_STEP_S = 0.25
_COUNTS = ("sent", "heard", "sent_bytes", "heard_bytes")
_UNITS = {"sent": "1/s", "heard": "1/s", "sent_bytes": "B/s", "heard_bytes": "B/s"}


class OverdueError(Exception):
    """What was waited for did not come within the bound; the text names it."""


class Trial:
    """A cluster, who was killed in it, and who was wrongly called dead."""

    def __init__(self, size: int, seed: int, *, loss: float = 0.0, is_converged: bool = True) -> None:
        self.size, self.seed = size, seed
        self.samples: list[Sample] = []
        self.cluster = VirtualCluster(size, seed, loss=loss, is_converged=is_converged)
        self.cluster.on_report = self._told
        self._born = {number: self.cluster.membership_of(number).incarnation for number in range(size)}
        self._killed: dict[int, int] = {}  # when
        self._known: dict[int, dict[int, int]] = {}  # of a killed one: who knew when
        self._wrong: set[tuple[int, int]] = set()  # member and incarnation
        self._has_been_cut = False
        self._ended = {number: dict.fromkeys(_COUNTS, 0) for number in range(size)}  # by earlier processes
        self._began_at = 0
        self._began_with: dict[int, dict[str, int]] = {}
        self.begin()

    # Faults

    def kill(self, numbers: Sequence[int]) -> None:
        """These end without a word, at once."""
        for number in numbers:
            self._killed[number] = self.cluster.queue.now
            self._known[number] = {}
            self.cluster.kill(number)

    def cut(self, seconds: float) -> None:
        """Halves that do not hear each other for so long."""
        self._has_been_cut = True
        self.cluster.is_partitioned = self._were_cut
        self.cluster.run(seconds)
        self.cluster.is_partitioned = lambda _source, _target: False

    def restart(self, number: int) -> None:
        """A member leaves by its own word, and a process of it begins anew a little later."""
        ended = self.cluster.processes[number]
        self.cluster.leave(number)
        self._keep(number, ended)
        self.cluster.queue.after(int(BACK_AFTER_S * S), self._start, number)

    def upgrade(self, number: int) -> None:
        """A process with the next version goes on beside the present one, which ends a little later."""
        ended = list(self.cluster.processes[number])
        self.cluster.upgrade(number, OVERLAP_US)
        self._born[number] = self.cluster.membership_of(number).incarnation
        self.cluster.queue.after(OVERLAP_US, self._keep, number, ended)

    def _keep(self, number: int, ended: Sequence[Process]) -> None:
        """What processes sent and heard that are no more."""
        for own in ended:
            for count in _COUNTS:
                self._ended[number][count] += getattr(own, count)

    def _start(self, number: int) -> None:
        self._born[number] = self.cluster.start(number).membership.incarnation

    def load(self) -> None:
        """From now on every member is told of the requests that it takes, once a second."""
        for number in range(self.size):
            self.cluster.queue.after(number * S // self.size, self._worked, number)

    def _worked(self, number: int) -> None:
        for own in self.cluster.processes.get(number, []):
            own.membership.requests_received(self.cluster.queue.now, REQUESTS_PER_S)
        self.cluster.queue.after(S, self._worked, number)

    # What is waited for

    def until_known(self, within_s: float) -> None:
        """Run until all that live know of each that was killed; raise OverdueError."""
        began, wanted = self.cluster.queue.now, len(self.cluster.processes)
        while any(len(each) < wanted for each in self._known.values()):
            if self.cluster.queue.now - began > within_s * S:
                raise OverdueError(f"deaths not known to all within {within_s:g} s")
            self.cluster.run(_STEP_S)

    def until_agreed(self, within_s: float) -> float:
        """Run until all agree; give the seconds that it took, or raise OverdueError."""
        found = self.cluster.until_agreed(within_s, _STEP_S)
        if found is None:
            raise OverdueError(f"no agreement within {within_s:g} s")
        return found

    # What is counted

    def begin(self) -> None:
        """Count anew from here."""
        self._began_at = self.cluster.queue.now
        self._began_with = {number: self._totals(number) for number in range(self.size)}
        self._wrong.clear()

    def _totals(self, number: int) -> dict[str, int]:
        own = self.cluster.processes.get(number, [])
        return {
            count: self._ended[number][count] + sum(getattr(each, count) for each in own) for count in _COUNTS
        }

    def add(self, measure: str, value: float, unit: str, case: str, part: str) -> None:
        """Record one sample, with the trial's size and seed."""
        self.samples.append(
            Sample(measure, self.size, round(value, 4), unit, case, part, engine="virtual", seed=self.seed)
        )

    def costs(self, case: str) -> None:
        """What a second cost each member that lives, since `begin`, and how many were wrongly called dead."""
        seconds = (self.cluster.queue.now - self._began_at) / S
        alive = self.cluster.alive
        ends = {number: self._totals(number) for number in alive}
        for count in _COUNTS:
            rates = [(ends[each][count] - self._began_with[each][count]) / seconds for each in alive]
            measure = f"member.{count}" if count.endswith("bytes") else f"member.{count}_datagrams"
            self._parts(measure, rates, _UNITS[count], case)
        wrong = len(self._wrong) / (len(alive) * seconds / 3_600.0)
        self.add("member.wrong_deaths", wrong, "1/h", case, "mean")

    def _parts(self, measure: str, values: Sequence[float], unit: str, case: str) -> None:
        self.add(measure, float(np.mean(values)), unit, case, "mean")
        self.add(measure, float(np.quantile(values, 0.99, method="higher")), unit, case, "p99")
        self.add(measure, max(values), unit, case, "max")

    def deaths(self, case: str) -> None:
        """How long each that lives did not know of each that was killed."""
        waits = [(at - self._killed[killed]) / S for killed, by in self._known.items() for at in by.values()]
        self.add("member.death_known", float(np.median(waits)), "s", case, "median")
        self.add("member.death_known", max(waits), "s", case, "max")

    def _told(self, told: Report) -> None:
        """Deaths alone: of who was killed, when each knew; of who lives, which incarnation was called dead.

        Across a cut that is no error, also where it is told later.
        """
        at, hearer, what = told
        if not isinstance(what, MemberStateChanged) or what.state is not MemberState.DEAD:
            return
        if what.member in self._killed:
            self._known[what.member].setdefault(hearer, at)
        elif (
            what.member in self.cluster.processes
            and what.incarnation >= self._born[what.member]
            and not self._were_cut(what.reported_by, what.member)
        ):
            self._wrong.add((what.member, what.incarnation))

    def _were_cut(self, one: int, other: int) -> bool:
        return self._has_been_cut and self._side(one) is not self._side(other)

    def _side(self, number: int) -> bool:
        return number < self.size // 2
