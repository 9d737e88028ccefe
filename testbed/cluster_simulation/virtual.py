"""Members over a network of datagrams in virtual time: lost, late, doubled, held, cut; and who is gone.

Every member runs `sidecar.cluster` as the sidecar does; nothing of it is modelled.  Times are microseconds.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping, Sequence

from sidecar.cluster.actions import (
    DuplicateMember,
    MembershipAction,
    MemberStateChanged,
    ProcessStalled,
    ScheduleTick,
    SendDatagram,
)
from sidecar.cluster.member_table import MemberTable
from sidecar.cluster.membership import Membership
from sidecar.cluster.message import MembershipUpdate, MemberState
from sidecar.cluster.settings import MembershipSettings
from testbed.simulation.queue import Queue

S = 1_000_000
UNIX_S = 1_780_000_000.0  # the wall clock when virtual time begins
_NEVER = 1 << 62
Report = tuple[int, int, MembershipAction]  # at, by which member, what


def have_converged(tables: Mapping[int, MemberTable]) -> bool:
    """Whether all that live, by number, hold the same lives and ends, and just those that live present."""
    if len({each.digest for each in tables.values()}) != 1:
        return False
    views = {bytes([each.update.state for each in table.records]) for table in tables.values()}
    return len(views) == 1 and all(
        each == MemberState.PRESENT if number in tables else each >= MemberState.DEAD
        for number, each in enumerate(views.pop())
    )


class Process:
    """One process of a member."""

    def __init__(self, cluster: VirtualCluster, number: int, size: int, clock_offset_s: float) -> None:
        self.number = number
        self.is_alive = True
        # Added to each datagram and tick, as if the process waited for a processor.
        self.processing_delay_us = 0
        self._cluster = cluster
        self.is_paused = False
        self._waiting: list[tuple[int, bytes]] = []  # what came while it was paused
        self._wake = _NEVER
        self.sent = self.sent_bytes = self.heard = self.heard_bytes = 0
        self.membership = Membership(
            number,
            size,
            cluster.name,
            cluster.settings,
            random.Random(cluster.random.getrandbits(64)),
            cluster.queue.now,
            UNIX_S + cluster.queue.now / 1e6 + clock_offset_s,
        )
        self.execute(self.membership.start(cluster.queue.now))

    def receive(self, sender: int, payload: bytes) -> None:
        """Receive a datagram; a paused process receives it when it resumes."""
        if self.is_paused:
            self._waiting.append((sender, payload))
        elif self.is_alive:
            self.heard += 1
            self.heard_bytes += len(payload)
            self.execute(self.membership.datagram_received(self._cluster.queue.now, sender, payload))

    def execute(self, actions: list[MembershipAction]) -> None:
        """Execute membership actions: send datagrams, schedule ticks and record events."""
        now = self._cluster.queue.now
        for action in actions:
            match action:
                case SendDatagram():
                    self._cluster.transmit(self, action)
                case ScheduleTick():
                    self._wake = action.at
                    self._cluster.queue.at(action.at + self.processing_delay_us, self._tick, action.at)
                case MemberStateChanged() | DuplicateMember() | ProcessStalled():
                    self._cluster.on_report((now, self.number, action))

    def _tick(self, at: int) -> None:
        if self.is_alive and not self.is_paused and at == self._wake:
            self.execute(self.membership.tick(self._cluster.queue.now))

    def kill(self) -> None:
        """End without notifying the others."""
        self.is_alive = False

    def leave(self, *, has_successor: bool = False) -> None:
        """Shut down gracefully, notifying the others."""
        self.execute(self.membership.leave(has_successor=has_successor))
        self.is_alive = False

    def pause(self) -> None:
        """Stop the process; datagrams to it wait."""
        self.is_paused = True

    def resume(self) -> None:
        """Go on: what came meanwhile first, as sockets are read before timers are looked at."""
        self.is_paused = False
        waiting, self._waiting = self._waiting, []
        for sender, payload in waiting:
            self.receive(sender, payload)
        if self.is_alive:
            self.execute(self.membership.tick(self._cluster.queue.now))


class VirtualCluster:
    """All members, and what lies between them."""

    def __init__(
        self,
        size: int,
        seed: int = 1,
        *,
        loss: float = 0.0,
        delay_us: int = 1_000,
        settings: MembershipSettings | None = None,
        name: str = "a",
        start: Iterable[int] | None = None,
        is_converged: bool = False,
    ) -> None:
        """Start the members `start`, by default all; with `is_converged` they already know each other."""
        self.size, self.loss, self.delay_us, self.name = size, loss, delay_us, name
        self.settings = settings or MembershipSettings()
        self.random = random.Random(seed)
        self.queue = Queue()
        self.reports: list[Report] = []
        self.on_report: Callable[[Report], None] = self.reports.append  # or whoever needs less than all of it
        self.duplicate_probability = 0.0
        self.late_probability = 0.0  # part of the datagrams that come up to a second late, out of order
        # Whether a datagram from one to another is lost to a cut now, and until when one is held back.
        self.is_partitioned: Callable[[int, int], bool] = lambda _source, _target: False
        self.held_until: Callable[[int, int], int] = lambda _source, _target: 0
        self.processes: dict[int, list[Process]] = {}
        for number in range(size) if start is None else start:
            self.start(number)
        if is_converged:
            self._converge()

    def _converge(self) -> None:
        """Have everybody know everybody, as after a long rest; what was to be told of it is told."""
        first, *others = [each[0].membership for each in self.processes.values()]
        for number in self.alive:
            incarnation = self.membership_of(number).incarnation
            first.table.apply(
                MembershipUpdate.create(number, incarnation, MemberState.PRESENT, 0, number), self.queue.now
            )
        for each in others:
            each.table.copy_beliefs(first.table)
        for each in (first, *others):
            each.mark_all_disseminated()

    # Who lives

    def start(self, number: int, clock_offset_s: float = 0.0, size: int | None = None) -> Process:
        """A process begins, beside any that the member has; its wall clock is so far ahead."""
        process = Process(self, number, size or self.size, clock_offset_s)
        self.processes.setdefault(number, []).append(process)
        return process

    def kill(self, number: int) -> None:
        """Kill all processes of a member."""
        for process in self.processes.pop(number, []):
            process.kill()

    def leave(self, number: int) -> None:
        """Shut down all processes of a member gracefully."""
        for process in self.processes.pop(number, []):
            process.leave()

    def upgrade(self, number: int, overlap_us: int = S) -> None:
        """A second process beside the first, which ends a little later."""
        (old,) = self.processes[number]
        self.start(number)

        def retire() -> None:
            self.processes[number].remove(old)
            old.leave(has_successor=True)

        self.queue.after(overlap_us, retire)

    def membership_of(self, number: int) -> Membership:
        """The membership of a member's latest process."""
        return self.processes[number][-1].membership

    @property
    def alive(self) -> list[int]:
        """The numbers of the members that run, sorted."""
        return sorted(self.processes)

    # What lies between

    def transmit(self, source: Process, datagram: SendDatagram) -> None:
        """Deliver a datagram to its receivers, with the network's loss, delay and partitions."""
        targets: Sequence[int] = (datagram.receiver,) if datagram.receiver is not None else ()
        if datagram.receiver is None:
            targets = [each for each in range(self.size) if each != source.number]
        source.sent += len(targets)  # a word to all is as many datagrams
        source.sent_bytes += len(targets) * len(datagram.payload)
        for target in targets:
            if self.is_partitioned(source.number, target) or self.random.random() < self.loss:
                continue
            late = self.random.randrange(S) if self.random.random() < self.late_probability else 0
            at = max(self.queue.now + self.delay_us + late, self.held_until(source.number, target))
            for _ in range(2 if self.random.random() < self.duplicate_probability else 1):
                self.queue.at(
                    at + source.processing_delay_us, self.deliver, source.number, target, datagram.payload
                )

    def deliver(self, source: int, target: int, payload: bytes) -> None:
        """Hand a datagram to one process of a member; which, is by its source, as the system does it."""
        found = self.processes.get(target)
        if found:
            process = found[(source * 2_654_435_761 >> 8) % len(found)]
            if process.processing_delay_us:
                self.queue.after(process.processing_delay_us, process.receive, source, payload)
            else:
                process.receive(source, payload)

    def run(self, seconds: float) -> None:
        """Run the simulation for a number of virtual seconds."""
        self.queue.run(self.queue.now + int(seconds * S))

    # What is believed

    def is_agreed(self) -> bool:
        """Whether all that live hold the same lives and ends, and believe just those that live present."""
        return have_converged({number: self.membership_of(number).table for number in self.processes})

    def until_agreed(self, within_s: float, step_s: float = 0.25) -> float | None:
        """Run until all agree; give after how many seconds, or None if not within the bound."""
        began = self.queue.now
        while self.queue.now - began <= within_s * S:
            if self.is_agreed():
                return (self.queue.now - began) / S
            self.run(step_s)
        return None

    def state_changes(
        self, state: MemberState, member: int | None = None
    ) -> list[tuple[int, int, MemberStateChanged]]:
        """What was told of members becoming so, in order of time."""
        return [
            (at, by, what)
            for at, by, what in self.reports
            if isinstance(what, MemberStateChanged) and what.state is state and member in (None, what.member)
        ]
