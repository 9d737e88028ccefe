"""Membership of this process in the cluster: settings, timer, log lines and metrics.

The protocol itself is in `sidecar.cluster`, without I/O.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Sequence

from sidecar import log_events
from sidecar.clock import Clock
from sidecar.cluster.actions import DuplicateMember, MembershipAction, MemberStateChanged, ProcessStalled
from sidecar.cluster.cluster_size import ClusterSize
from sidecar.cluster.member_table import MemberRecord
from sidecar.cluster.membership import Membership
from sidecar.cluster.message import DropReason, MemberState
from sidecar.cluster.settings import MembershipSettings
from sidecar.log_events import EventLog
from sidecar.peers import Peers
from sidecar.protocol_runner import ProtocolRunner

_LOG_INTERVAL_S = 1.0  # changes within this are logged together in one line
_MAX_LOGGED_CHANGES = 8  # written out in one line; further ones are only counted
_MAX_LISTED_MEMBERS = 64  # absent members with details in the metrics; `view` has the states of all
_STATE_LETTERS = {
    MemberState.PRESENT: "p",
    MemberState.SUSPECTED: "s",
    MemberState.DEAD: "d",
    MemberState.LEFT: "l",
}
_UNKNOWN_LETTER = "?"


class ClusterMembership(ProtocolRunner[Membership, MembershipAction]):
    """Runs the membership protocol while it is switched on and the platform allows datagrams."""

    _label = "membership"

    def __init__(
        self,
        number: int,
        cluster: str,
        seed: int,
        clock: Clock,
        peers: Peers,
        log: EventLog,
        on_size: Callable[[ClusterSize], None],
    ) -> None:
        """Create it switched off; `configure` starts the protocol.

        `on_size` is called with the cluster's size after each event, also if it has not changed.
        """
        super().__init__(clock, peers, log)
        self._number, self._cluster = number, cluster
        self._random = random.Random(f"members {seed}")
        self._on_size = on_size
        self._requests = 0  # received since the last event
        self._changes: list[str] = []  # waiting to be logged
        self._further_changes = 0  # beyond those that are written out in one line
        self._log_timer: asyncio.TimerHandle | None = None
        self._informs = True

    @property
    def membership(self) -> Membership | None:
        """The state of the protocol; None while it is off."""
        return self.protocol

    def configure(self, settings: MembershipSettings) -> None:
        """Start, stop or reconfigure the protocol by the settings and the number of configured peers."""
        size, now = self._peers.size, self._clock.now()
        self._informs = settings.informs
        if not (settings.on and settings.informs):
            # From now on load balancing uses the configured size.
            self._on_size(ClusterSize(size, size, 0, 0, 0, 0))
        if not settings.on or not 0 <= self._number < size:
            self.leave()
        elif self.protocol is None:
            rng = random.Random(self._random.getrandbits(64))
            self.protocol = Membership(self._number, size, self._cluster, settings, rng, now, time.time())
            self._execute(self.protocol.start(now))
        else:
            self._execute(self.protocol.configure(now, size, settings))

    def datagram_received(self, sender: int, payload: bytes) -> None:
        """Process a datagram that came from the address of member `sender`."""
        self._deliver(lambda membership, now: membership.datagram_received(now, sender, payload))

    def request_received(self) -> None:
        """Count a client request; the protocol gets the count with its next event."""
        self._requests += 1

    def leave(self, *, has_successor: bool = False) -> None:
        """Stop the protocol and announce that this member leaves, unless another process continues as it."""
        membership, self.protocol = self.protocol, None
        self._timer.cancel()
        if membership is not None:
            self._execute(membership.leave(has_successor=has_successor))

    def close(self) -> None:
        """Cancel all timers."""
        self._timer.cancel()
        if self._log_timer is not None:
            self._log_timer.cancel()

    def metrics(self) -> dict[str, object] | None:
        """Return the metrics of membership; None while it is off."""
        membership = self.protocol
        if membership is None:
            return None
        now, size, records = self._clock.now(), membership.size(), membership.table.records
        dropped = {reason.value: count for reason, count in membership.dropped.items()}
        return {
            "configured": size.configured,
            "present": size.present,
            "suspected": size.suspected,
            "unknown": size.unknown,
            "dead": size.dead,
            "left": size.left,
            "at_least": size.at_least,
            "at_most": size.at_most,
            "in_minority": size.is_in_minority,
            "doubled": membership.is_duplicate,
            "life": membership.incarnation,
            "doubt_of_itself": membership.health.score,
            "period_s": round(membership.period_us / 1e6, 3),
            "nobody_heard_for_s": round(membership.silence_us(now) / 1e6, 1),
            "dropped": {**dropped, DropReason.UNKNOWN_SENDER.value: self._peers.unknown_sender_count},
            "view": "".join(_letter(record) for record in records),
            "absent": _absent_members(records, now)[:_MAX_LISTED_MEMBERS],
        }

    # Events and actions

    def _tick(self) -> None:
        self._deliver(Membership.tick)

    def _deliver(self, event: Callable[[Membership, int], Sequence[MembershipAction]]) -> None:
        if self.protocol is None:
            return
        requests, self._requests = self._requests, 0

        def event_with_requests(membership: Membership, now: int) -> Sequence[MembershipAction]:
            membership.requests_received(now, requests)
            return event(membership, now)

        super()._deliver(event_with_requests)

    def _execute(self, actions: Sequence[MembershipAction]) -> None:
        super()._execute(actions)
        if self.protocol is not None and self._informs:
            self._on_size(self.protocol.size())

    def _handle(self, action: MembershipAction) -> None:
        match action:
            case MemberStateChanged():
                state = action.state.name.lower()
                self._log_change(f"{action.member} {state} (by {action.reported_by})")
            case DuplicateMember():
                self._log(log_events.MemberNumberConflict(action.member))
            case ProcessStalled():
                self._log(log_events.ProcessStalled(action.duration_us / 1e6))

    # Log lines

    def _log_change(self, change: str) -> None:
        """Add a change to the next log line, which follows within `_LOG_INTERVAL_S`."""
        if len(self._changes) < _MAX_LOGGED_CHANGES:
            self._changes.append(change)
        else:
            self._further_changes += 1
        if self._log_timer is None:
            self._log_timer = asyncio.get_running_loop().call_later(_LOG_INTERVAL_S, self._log_changes)

    def _log_changes(self) -> None:
        self._log_timer = None
        changes, self._changes = ", ".join(self._changes), []
        further = f" and {self._further_changes} more" if self._further_changes else ""
        self._further_changes = 0
        if self.protocol is None:
            return
        size = self.protocol.size()
        counts = f"{size.present} of {size.configured} present"
        for name in ("suspected", "unknown", "dead", "left"):
            if getattr(size, name):
                counts += f", {getattr(size, name)} {name}"
        minority = "; this copy sees half or fewer" if size.is_in_minority else ""
        self._log(log_events.MembershipChanged(f"{counts}{minority}", f"{changes}{further}"))


def _letter(record: MemberRecord) -> str:
    return _UNKNOWN_LETTER if record.is_unknown else _STATE_LETTERS[record.state]


def _absent_members(records: Sequence[MemberRecord], now: int) -> list[dict[str, object]]:
    """Return the members that are not believed present, for the metrics."""
    return [
        {
            "member": number,
            "state": record.state.name.lower(),
            "since_s": round((now - record.state_since) / 1e6, 1),
            "by": record.update.reported_by,
        }
        for number, record in enumerate(records)
        if record.state is not MemberState.PRESENT
    ]
