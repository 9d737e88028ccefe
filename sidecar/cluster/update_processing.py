"""Merges updates about other members into the table, disseminates them and keeps the suspicions."""

from __future__ import annotations

from sidecar.cluster.actions import MemberStateChanged
from sidecar.cluster.member_context import MemberContext
from sidecar.cluster.message import MembershipUpdate, MemberState
from sidecar.cluster.suspicion import Suspicion


class UpdateProcessor:
    """Merges updates into one member's table.  All times are microseconds."""

    def __init__(self, context: MemberContext) -> None:
        self._context = context
        self._suspicions: dict[int, Suspicion] = {}  # by member

    @property
    def suspicion_count(self) -> int:
        """The number of running suspicion timeouts."""
        return len(self._suspicions)

    @property
    def suspicion_deadlines(self) -> list[int]:
        """The times at which the suspicions expire."""
        return [suspicion.expires_at for suspicion in self._suspicions.values()]

    def update_received(self, now: int, update: MembershipUpdate) -> None:
        """Process an update from a datagram, about a member other than the local one."""
        if update.state is MemberState.DEAD and self._acknowledged_recently(now, update):
            self._dispute_death(now, update)
        else:
            self.apply(now, update)

    def apply(self, now: int, update: MembershipUpdate) -> None:
        """Apply an update about another member; if it takes precedence, disseminate and report it."""
        if update.member == self._context.local.number:
            return
        record = self._context.table[update.member]
        old_state, old_incarnation = record.state, record.update.incarnation
        if not self._context.table.apply(update, now):
            self._confirm_suspicion(update)
            return
        self._context.outbox.dissemination.enqueue(update)
        if update.state is MemberState.SUSPECTED:
            self._start_suspicion(now, update)
        else:
            self._suspicions.pop(update.member, None)
        if old_state is not update.state or old_incarnation != update.incarnation:
            changed = MemberStateChanged(update.member, update.state, update.incarnation, update.reported_by)
            self._context.outbox.add(changed)

    def suspect(self, now: int, number: int) -> None:
        """Suspect a member that did not acknowledge a ping of the local member."""
        self._apply_in_state(now, number, MemberState.SUSPECTED, self._context.local.number)

    def declare_expired_dead(self, now: int) -> None:
        """Declare dead the members whose suspicion has timed out."""
        for number, suspicion in list(self._suspicions.items()):
            if suspicion.expires_at <= now:
                self._declare_dead(now, number)

    def restart_suspicions(self, now: int) -> None:
        """Restart the timeouts of all suspicions at `now`."""
        for suspicion in self._suspicions.values():
            suspicion.restart(now)

    def discard_from(self, size: int) -> None:
        """Discard the suspicions of members whose number is at least `size`."""
        remaining = {number: suspicion for number, suspicion in self._suspicions.items() if number < size}
        self._suspicions = remaining

    def _acknowledged_recently(self, now: int, update: MembershipUpdate) -> bool:
        """Whether the incarnation in the update acknowledged a ping of the local member recently.

        A reported death of it is doubtful then.  Recent means within the minimum suspicion timeout.
        """
        record = self._context.table[update.member]
        if record.update.incarnation != update.incarnation or record.has_ended or record.last_ack_at is None:
            return False
        return now - record.last_ack_at < self._context.min_suspicion_timeout_us(now)

    def _dispute_death(self, now: int, update: MembershipUpdate) -> None:
        """Suspect a member that is reported dead, and keep the report, so that the member can refute it."""
        record = self._context.table[update.member]
        record.disputed_death = update
        if record.state is MemberState.PRESENT:
            self._apply_in_state(now, update.member, MemberState.SUSPECTED, update.reported_by)

    def _declare_dead(self, now: int, number: int) -> None:
        """End a suspicion and declare the member dead, by the disputed report of its death if any."""
        del self._suspicions[number]
        record = self._context.table[number]
        if record.state is not MemberState.SUSPECTED:
            return
        disputed = record.disputed_death
        if disputed is not None and disputed.precedence > record.update.precedence:
            self.apply(now, disputed)
        else:
            self._apply_in_state(now, number, MemberState.DEAD, self._context.local.number)

    def _apply_in_state(self, now: int, number: int, state: MemberState, reported_by: int) -> None:
        """Change the state of a member, within the incarnation and refutation in force."""
        current = self._context.table[number].update
        update = MembershipUpdate.create(number, current.incarnation, state, current.refutations, reported_by)
        self.apply(now, update)

    def _confirm_suspicion(self, update: MembershipUpdate) -> None:
        """Confirm a suspicion if an update that changed nothing in the table reports the same suspicion."""
        suspicion = self._suspicions.get(update.member)
        if suspicion is None or update.state is not MemberState.SUSPECTED:
            return
        is_same = update.precedence == self._context.table[update.member].update.precedence
        if is_same and suspicion.confirm(update.reported_by):
            self._context.outbox.dissemination.enqueue(update)

    def _start_suspicion(self, now: int, update: MembershipUpdate) -> None:
        """Start the suspicion timeout of a member, unless it is running already."""
        if update.member not in self._suspicions:
            self._suspicions[update.member] = Suspicion(
                now,
                update.reported_by,
                self._context.min_suspicion_timeout_us(now),
                self._context.settings.suspicion_timeout_ratio,
                len(self._context.table),
            )
