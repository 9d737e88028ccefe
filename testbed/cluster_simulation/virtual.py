"""A cluster on a simulated datagram network in virtual time.

The network loses, delays, duplicates and holds back datagrams, and can be partitioned.  Each member runs
`sidecar.cluster` as the sidecar does; no part of the protocol is modelled.  Times are microseconds.
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
from testbed.simulation.queue import EventQueue

S = 1_000_000
UNIX_S = 1_780_000_000.0  # the wall clock at the start of virtual time
_NEVER = 1 << 62
Report = tuple[int, int, MembershipAction]  # time, reporting member, report


def have_converged(tables: Mapping[int, MemberTable]) -> bool:
    """Whether the tables of the live members, by number, are equal and hold exactly these as present."""
    if len({table.digest for table in tables.values()}) != 1:
        return False
    views = {bytes([record.update.state for record in table.records]) for table in tables.values()}
    return len(views) == 1 and all(
        state == MemberState.PRESENT if number in tables else state >= MemberState.DEAD
        for number, state in enumerate(views.pop())
    )


class Process:
    """A process of a member."""

    def __init__(self, cluster: VirtualCluster, number: int, size: int, clock_offset_s: float) -> None:
        self.number = number
        self.is_alive = True
        # Added to each datagram and tick, as if the process waited for a processor.
        self.processing_delay_us = 0
        self._cluster = cluster
        self.is_paused = False
        self._waiting: list[tuple[int, bytes]] = []  # datagrams that arrived during a pause
        self._next_tick = _NEVER
        self.sent = self.sent_bytes = self.received = self.received_bytes = 0
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
            self.received += 1
            self.received_bytes += len(payload)
            self.execute(self.membership.datagram_received(self._cluster.queue.now, sender, payload))

    def execute(self, actions: list[MembershipAction]) -> None:
        """Execute membership actions: send datagrams, schedule ticks and record events."""
        now = self._cluster.queue.now
        for action in actions:
            match action:
                case SendDatagram():
                    self._cluster.transmit(self, action)
                case ScheduleTick():
                    self._next_tick = action.at
                    self._cluster.queue.at(action.at + self.processing_delay_us, self._tick, action.at)
                case MemberStateChanged() | DuplicateMember() | ProcessStalled():
                    self._cluster.on_report((now, self.number, action))

    def _tick(self, at: int) -> None:
        if self.is_alive and not self.is_paused and at == self._next_tick:
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
        """Continue: process the waiting datagrams before timers, as the event loop does."""
        self.is_paused = False
        waiting, self._waiting = self._waiting, []
        for sender, payload in waiting:
            self.receive(sender, payload)
        if self.is_alive:
            self.execute(self.membership.tick(self._cluster.queue.now))


class VirtualCluster:
    """All members, and the network between them."""

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
        self.queue = EventQueue()
        self.reports: list[Report] = []
        self.on_report: Callable[[Report], None] = self.reports.append  # replaceable, to keep fewer reports
        self.duplicate_probability = 0.0
        self.late_probability = 0.0  # of a delay of up to one second, which also reorders datagrams
        # By sender and receiver: whether a partition drops a datagram now, and the time until
        # which a datagram is held back.
        self.is_partitioned: Callable[[int, int], bool] = lambda _source, _target: False
        self.held_until: Callable[[int, int], int] = lambda _source, _target: 0
        self.processes: dict[int, list[Process]] = {}
        for number in range(size) if start is None else start:
            self.start(number)
        if is_converged:
            self._converge()

    def _converge(self) -> None:
        """Give all members the same table, with all updates disseminated, as after a long rest."""
        first, *others = [processes[0].membership for processes in self.processes.values()]
        for number in self.alive:
            incarnation = self.membership_of(number).incarnation
            first.table.apply(
                MembershipUpdate.create(number, incarnation, MemberState.PRESENT, 0, number), self.queue.now
            )
        for membership in others:
            membership.table.copy_beliefs(first.table)
        for membership in (first, *others):
            membership.mark_all_disseminated()

    # Processes

    def start(self, number: int, clock_offset_s: float = 0.0, size: int | None = None) -> Process:
        """Start a process beside any that the member has; `clock_offset_s` is added to its wall clock."""
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
        """Start a second process beside the first, which leaves after the overlap."""
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

    # Network

    def transmit(self, source: Process, datagram: SendDatagram) -> None:
        """Deliver a datagram to its receivers, with the network's loss, delay and partitions."""
        targets: Sequence[int] = (datagram.receiver,) if datagram.receiver is not None else ()
        if datagram.receiver is None:
            targets = [number for number in range(self.size) if number != source.number]
        source.sent += len(targets)  # a message to all members is one datagram for each
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
        """Deliver a datagram to one process of a member.

        With several, a hash of the source selects the process, as the kernel does for sockets on one port.
        """
        processes = self.processes.get(target)
        if processes:
            process = processes[(source * 2_654_435_761 >> 8) % len(processes)]
            if process.processing_delay_us:
                self.queue.after(process.processing_delay_us, process.receive, source, payload)
            else:
                process.receive(source, payload)

    def run(self, seconds: float) -> None:
        """Run the simulation for a number of virtual seconds."""
        self.queue.run(self.queue.now + int(seconds * S))

    # Agreement and reports

    def is_agreed(self) -> bool:
        """Whether the tables of all live members are equal and hold exactly the live members as present."""
        return have_converged({number: self.membership_of(number).table for number in self.processes})

    def until_agreed(self, timeout_s: float, step_s: float = 0.25) -> float | None:
        """Run until all live members agree; return the seconds that it took, or None at the timeout."""
        started_at = self.queue.now
        while self.queue.now - started_at <= timeout_s * S:
            if self.is_agreed():
                return (self.queue.now - started_at) / S
            self.run(step_s)
        return None

    def state_changes(
        self, state: MemberState, member: int | None = None
    ) -> list[tuple[int, int, MemberStateChanged]]:
        """Return the reports of members entering a state, in order: (time, reporting member, change)."""
        return [
            (at, reporter, report)
            for at, reporter, report in self.reports
            if isinstance(report, MemberStateChanged)
            and report.state is state
            and member in (None, report.member)
        ]
