"""Refutes what others say about the local member, and notices another process of its number."""

from __future__ import annotations

from sidecar.cluster.actions import DuplicateMember
from sidecar.cluster.member_context import MemberContext
from sidecar.cluster.message import MAX_REFUTATIONS, MembershipUpdate, MemberState

_STARTUP_US = 5_000_000  # for so long after it first heard anybody a process supersedes a later incarnation
_YIELD_US = 60_000_000  # and for so long it yields to a duplicate process that was found later


class Refutation:
    """Speaks for the local member.  All times are microseconds."""

    def __init__(self, context: MemberContext) -> None:
        self._context = context
        self._startup_until: int | None = None  # None: it has heard nobody yet
        self._yields_until: int | None = None  # another process of this number takes precedence

    @property
    def is_duplicate(self) -> bool:
        """Whether another process of this number takes precedence over this one."""
        return self._yields_until is not None

    @property
    def next_deadline(self) -> int | None:
        """Clock time in microseconds at which yielding ends; None while it does not yield."""
        return self._yields_until

    def datagram_accepted(self, now: int) -> None:
        """A valid datagram came from another member."""
        if self._startup_until is None:
            self._startup_until = now + _STARTUP_US

    def announce(self, now: int) -> None:
        """Disseminate that the local member is present, unless another process speaks for it."""
        if self.is_duplicate:
            return
        update = self._context.local.update()
        self._context.table.apply(update, now)
        self._context.outbox.dissemination.enqueue(update)

    def local_update_received(self, now: int, update: MembershipUpdate) -> None:
        """Another member says something about the local one."""
        local = self._context.local
        if update.incarnation < local.incarnation:
            return
        if update.incarnation == local.incarnation:
            self._refute(now, update)
        elif update.has_ended or self._is_starting(now):
            # An earlier process of this number, whose clock was ahead, or one that has ended.
            self._begin_incarnation(now, update.incarnation + 1)
        elif update.precedence > self._context.table[local.number].update.precedence:
            self._yield_to(now, update)

    def tick(self, now: int) -> None:
        """Stop yielding to another process of this number after a time."""
        if self._yields_until is not None and self._yields_until <= now:
            believed = self._context.table[self._context.local.number].update
            self._begin_incarnation(now, believed.incarnation + 1)

    def _is_starting(self, now: int) -> bool:
        return self._startup_until is None or now < self._startup_until

    def _refute(self, now: int, update: MembershipUpdate) -> None:
        local = self._context.local
        if update.has_ended or update.refutations >= MAX_REFUTATIONS:
            self._begin_incarnation(now, local.incarnation + 1)
        elif update.state is MemberState.SUSPECTED and update.refutations >= local.refutations:
            local.refutations = update.refutations + 1
            self._context.health.degrade()
            self.announce(now)

    def _begin_incarnation(self, now: int, incarnation: int) -> None:
        """Go on as a new incarnation: others believe, or may believe, that the old one ended."""
        self._context.local.begin_incarnation(incarnation)
        self._yields_until = None
        self.announce(now)

    def _yield_to(self, now: int, update: MembershipUpdate) -> None:
        if not self.is_duplicate:
            self._context.outbox.add(DuplicateMember(self._context.local.number))
        self._yields_until = now + _YIELD_US
        self._context.table.apply(update, now)
        self._context.outbox.dissemination.enqueue(update)
