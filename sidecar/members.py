"""The other sidecars, for this process: membership's datagrams, timer, log lines and figures.

What is believed is `sidecar.cluster`'s; here it gets its time and chance, its datagrams are carried, and who
wants to know is told.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

from sidecar.clock import Clock, Timer
from sidecar.cluster.membership import Membership
from sidecar.cluster.message import State
from sidecar.cluster.settings import MembershipSettings
from sidecar.cluster.view import Action, Datagram, Doubled, News, Size, Slept, Wake
from sidecar.log_events import (
    EventLog,
    InternalError,
    MemberNumberConflict,
    MembershipChanged,
    ProcessStalled,
)
from sidecar.peers import Peers

_SAY_EVERY_S = 1.0  # what changed is told in one line, at most so often
_MOST_NAMED = 8  # changes in one line; what is beyond is counted
_MOST_LISTED = 64  # members in the figures by name; the view holds all
_AGAIN_US = 1_000_000  # after a defect, the next tick
_LETTERS = {State.PRESENT: "p", State.SUSPECTED: "s", State.DEAD: "d", State.LEFT: "l"}
_UNKNOWN = "?"


class Members:
    """Keeps track of the tier while it is switched on and the platform allows datagrams."""

    def __init__(
        self,
        me: int,
        tier: str,
        seed: int,
        clock: Clock,
        peers: Peers,
        log: EventLog,
        on_size: Callable[[Size], None],
    ) -> None:
        """`on_size` hears the tier's size after each event, whether it changed or not."""
        self.membership: Membership | None = None
        self.requests = 0  # taken since membership was told last
        self._me, self._tier = me, tier
        self._random = random.Random(f"members {seed}")
        self._clock, self._peers, self._log, self._on_size = clock, peers, log, on_size
        self._timer = Timer(clock, self._tick)
        self._changes: list[str] = []
        self._unnamed = 0  # changes beyond those that one line names
        self._saying: asyncio.TimerHandle | None = None
        self._informs = True

    def configure(self, settings: MembershipSettings) -> None:
        """Be on or off, with these settings and the peers that there are now."""
        size, now = self._peers.size, self._clock.now()
        self._informs = settings.informs
        if not (settings.on and settings.informs):
            self._on_size(Size(size, size, 0, 0, 0, 0))  # from here on the decisions go by what is configured
        if not settings.on or not 0 <= self._me < size:
            self.leave()
        elif self.membership is None:
            own = random.Random(self._random.getrandbits(64))
            self.membership = Membership(self._me, size, self._tier, settings, own, now, time.time())
            self._carry_out(self.membership.start(now))
        else:
            self._carry_out(self.membership.configure(now, size, settings))

    def heard(self, sender: int, payload: bytes) -> None:
        """A datagram from a member."""
        self._play(lambda membership, now: membership.heard(now, sender, payload))

    def leave(self, has_successor: bool = False) -> None:
        """This process ends: say so, unless another goes on in its place."""
        membership, self.membership = self.membership, None
        self._timer.cancel()
        if membership is not None:
            self._carry_out(membership.leave(self._clock.now(), has_successor))

    def close(self) -> None:
        self._timer.cancel()
        if self._saying is not None:
            self._saying.cancel()

    def figures(self) -> dict[str, object] | None:
        """What operators see of it; None while it is off."""
        membership = self.membership
        if membership is None:
            return None
        now, size, members = self._clock.now(), membership.size(), membership.table.members
        absent = [
            {
                "member": number,
                "state": each.state.name.lower(),
                "since_s": round((now - each.since) / 1e6, 1),
                "by": each.claim.by,
            }
            for number, each in enumerate(members)
            if each.state is not State.PRESENT
        ]
        return {
            "configured": size.configured,
            "present": size.present,
            "suspected": size.suspected,
            "unknown": size.unknown,
            "dead": size.dead,
            "left": size.left,
            "at_least": size.low,
            "at_most": size.high,
            "in_minority": size.in_minority,
            "doubled": membership.is_doubled,
            "life": membership.life,
            "doubt_of_itself": membership.health.score,
            "period_s": round(membership.period_us / 1e6, 3),
            "nobody_heard_for_s": round(membership.silent_for(now) / 1e6, 1),
            "dropped": {**membership.dropped, "a stranger": self._peers.strangers},
            "view": "".join(_UNKNOWN if each.is_unknown else _LETTERS[each.state] for each in members),
            "absent": absent[:_MOST_LISTED],
        }

    def _tick(self) -> None:
        self._play(Membership.tick)

    def _play(self, event: Callable[[Membership, int], list[Action]]) -> None:
        """Bring an event to membership; live on after a defect in it."""
        membership, now = self.membership, self._clock.now()
        if membership is None:
            return
        requests, self.requests = self.requests, 0
        try:
            membership.worked(now, requests)
            self._carry_out(event(membership, now))
        except Exception as fault:
            self._log(InternalError("membership", fault))
            if not self._timer.is_set:
                self._timer.schedule(now + _AGAIN_US)

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Datagram():
                    self._peers.tell(action.receiver, action.payload)
                case Wake():
                    self._timer.schedule(action.at)
                case News():
                    self._changed(f"{action.member} {action.state.name.lower()} (by {action.by})")
                case Doubled():
                    self._log(MemberNumberConflict(action.member))
                case Slept():
                    self._log(ProcessStalled(action.late_us / 1e6))
        if self.membership is not None and self._informs:
            self._on_size(self.membership.size())

    # The log

    def _changed(self, what: str) -> None:
        if len(self._changes) < _MOST_NAMED:
            self._changes.append(what)
        else:
            self._unnamed += 1
        if self._saying is None:
            self._saying = asyncio.get_running_loop().call_later(_SAY_EVERY_S, self._say)

    def _say(self) -> None:
        self._saying = None
        named, self._changes = ", ".join(self._changes), []
        more, self._unnamed = f" and {self._unnamed} more" if self._unnamed else "", 0
        if self.membership is None:
            return
        size = self.membership.size()
        counted = f"{size.present} of {size.configured} present"
        for name in ("suspected", "unknown", "dead", "left"):
            if getattr(size, name):
                counted += f", {getattr(size, name)} {name}"
        minority = "; this copy sees half or fewer" if size.in_minority else ""
        self._log(MembershipChanged(f"{counted}{minority}", f"{named}{more}"))
