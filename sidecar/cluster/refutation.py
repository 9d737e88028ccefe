"""Refutes suspicions and deaths of the local member, and detects another process with its number."""

from __future__ import annotations

from sidecar.cluster.actions import DuplicateMember
from sidecar.cluster.member_context import MemberContext
from sidecar.cluster.message import MAX_REFUTATIONS, MembershipUpdate, MemberState

# For this long after its first valid datagram, a process that learns of a later incarnation of its member
# takes it for an earlier process whose clock was ahead, and replaces it.
_STARTUP_US = 5_000_000
# After that it takes a later incarnation for a duplicate process, and yields to it for this long.
_YIELD_US = 60_000_000


class Refutation:
    """Processes updates about the local member and answers them.  All times are microseconds."""

    def __init__(self, context: MemberContext) -> None:
        self._context = context
        self._startup_until: int | None = None  # None: no valid datagram received yet
        self._yields_until: int | None = None  # None: no duplicate process takes precedence

    @property
    def is_duplicate(self) -> bool:
        """Whether another process with the same member number takes precedence over this one."""
        return self._yields_until is not None

    @property
    def next_deadline(self) -> int | None:
        """The time at which this process stops yielding to a duplicate; None while it does not yield."""
        return self._yields_until

    def datagram_accepted(self, now: int) -> None:
        """Begin the startup interval with the first valid datagram from another member."""
        if self._startup_until is None:
            self._startup_until = now + _STARTUP_US

    def announce(self, now: int) -> None:
        """Disseminate that the local member is present, unless this process yields to a duplicate."""
        if self.is_duplicate:
            return
        update = self._context.local.update()
        self._context.table.apply(update, now)
        self._context.outbox.dissemination.enqueue(update)

    def local_update_received(self, now: int, update: MembershipUpdate) -> None:
        """Process an update about the local member that another member sent."""
        local = self._context.local
        if update.incarnation < local.incarnation:
            return
        if update.incarnation == local.incarnation:
            self._refute(now, update)
        elif update.has_ended or self._is_starting(now):
            # The update is about an earlier process of this member, whose clock was ahead, or an ended one.
            self._begin_incarnation(now, update.incarnation + 1)
        elif update.precedence > self._context.table[local.number].update.precedence:
            self._yield_to(now, update)

    def tick(self, now: int) -> None:
        """Stop yielding to a duplicate process when the time has come, with a new incarnation."""
        if self._yields_until is not None and self._yields_until <= now:
            believed = self._context.table[self._context.local.number].update
            self._begin_incarnation(now, believed.incarnation + 1)

    def _is_starting(self, now: int) -> bool:
        return self._startup_until is None or now < self._startup_until

    def _refute(self, now: int, update: MembershipUpdate) -> None:
        """Refute a suspicion of this incarnation, or replace it if it was declared dead.

        It is also replaced when its number of refutations has reached the maximum.
        """
        local = self._context.local
        if update.has_ended or update.refutations >= MAX_REFUTATIONS:
            self._begin_incarnation(now, local.incarnation + 1)
        elif update.state is MemberState.SUSPECTED and update.refutations >= local.refutations:
            local.refutations = update.refutations + 1
            self._context.health.degrade()
            self.announce(now)

    def _begin_incarnation(self, now: int, incarnation: int) -> None:
        """Begin a new incarnation, because other members consider the old one ended, or may do so."""
        self._context.local.begin_incarnation(incarnation)
        self._yields_until = None
        self.announce(now)

    def _yield_to(self, now: int, update: MembershipUpdate) -> None:
        """Report a duplicate process, unless it is known, and adopt its incarnation in the table."""
        if not self.is_duplicate:
            self._context.outbox.add(DuplicateMember(self._context.local.number))
        self._yields_until = now + _YIELD_US
        self._context.table.apply(update, now)
        self._context.outbox.dissemination.enqueue(update)
