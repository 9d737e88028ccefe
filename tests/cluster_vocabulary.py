"""The one place where the recorded conversation names the cluster's classes: events in, neutral lists out.

Renaming a class, a method or a member of an enumeration changes this module and nothing else of the
recorded conversation.
"""

from __future__ import annotations

import random
from typing import Any

from sidecar.cluster.actions import (
    DuplicateMember,
    MemberStateChanged,
    ProcessStalled,
    ScheduleTick,
    SendDatagram,
)
from sidecar.cluster.membership import Membership
from sidecar.cluster.rollout import Rollout
from sidecar.cluster.rollout_actions import (
    AmbiguousVersion,
    ReadConfiguration,
    RolloutConcluded,
    VersionForgotten,
    VersionMissing,
)
from sidecar.cluster.rollout_message import is_rollout_message
from sidecar.cluster.rollout_status import RolloutStatus
from sidecar.cluster.settings import MembershipSettings, RolloutSettings

Output = list[Any]
Event = list[Any]


class Process:
    """One sidecar's part in the cluster: who is there, and which configuration is in force where."""

    def __init__(self, me: int, size: int, seed: int, now: int, unix_s: float, version: int) -> None:
        settings = MembershipSettings()
        self._membership = Membership(me, size, "cluster", settings, random.Random(seed), now, unix_s)
        self._settings = RolloutSettings(round_interval_s=10.0)
        table, rng = self._membership.table, random.Random(seed + 1)
        self._rollout = Rollout(me, "cluster", table, self._settings, rng, now, version, 1_000 + version)

    def play(self, now: int, event: Event) -> list[Output]:  # noqa: PLR0911 - dispatch by kind of event
        """Take one event; give what came of it, of membership and then of configuration versions."""
        membership, rollout = self._membership, self._rollout
        match event:
            case ["start"]:
                return self._rendered(membership.start(now), rollout.start(now))
            case ["heard", sender, payload]:
                data = bytes.fromhex(payload)
                if is_rollout_message(data):
                    return self._rendered([], rollout.datagram_received(now, sender, data))
                return self._rendered(membership.datagram_received(now, sender, data), [])
            case ["tick", "membership"]:
                return self._rendered(membership.tick(now), [])
            case ["tick", "versions"]:
                return self._rendered([], rollout.tick(now))
            case ["worked", requests]:
                membership.requests_received(now, requests)
                return []
            case ["in force", version, digest]:
                return self._rendered([], rollout.configuration_applied(now, version, digest))
            case ["waiting", version]:
                return self._rendered([], rollout.configuration_pending(now, version))
            case ["configure", size]:
                steps = membership.configure(now, size, MembershipSettings())
                return self._rendered(steps, rollout.configure(now, self._settings))
            case ["leave", has_successor]:
                return self._rendered(membership.leave(has_successor=has_successor), [])
        raise ValueError(f"unknown event {event!r}")

    def belief(self, now: int) -> Output:
        """What is believed of the others, and of the version that is in force."""
        membership = self._membership
        members = [
            [m.update.incarnation, m.update.status, m.update.reported_by] for m in membership.table.records
        ]
        size = membership.size()
        counts = [size.configured, size.present, size.suspected, size.unknown, size.dead, size.left]
        return [members, counts, membership.incarnation, _answer(self._rollout.status(now))]

    def dropped(self) -> list[dict[str, int]]:
        """How many datagrams were not taken, by reason, of either kind."""
        return [
            {reason.value: count for reason, count in self._membership.dropped.items()},
            {reason.value: count for reason, count in self._rollout.dropped.items()},
        ]

    @staticmethod
    def _rendered(membership: list[Any], versions: list[Any]) -> list[Output]:
        parts = (("membership", membership), ("versions", versions))
        return [_rendered(part, action) for part, actions in parts for action in actions]


def _answer(answer: RolloutStatus) -> Output:
    return [
        answer.version,
        answer.is_in_force_everywhere,
        answer.in_force_count,
        answer.required_count,
        list(answer.behind),
        answer.behind_count,
        list(answer.missing),
        answer.missing_count,
        answer.min_digest,
        answer.max_digest,
        answer.round_number,
        answer.round_age_us,
    ]


def _rendered(part: str, action: object) -> Output:  # noqa: PLR0911 - dispatch by kind of action
    match action:
        case SendDatagram(receiver, payload):
            return ["send", receiver, payload.hex()]
        case ScheduleTick(at):
            return ["wake", part, at]
        case MemberStateChanged(member, state, life, by):
            return ["news", member, int(state), life, by]
        case DuplicateMember(member):
            return ["doubled", member]
        case ProcessStalled(late_us):
            return ["slept", late_us]
        case ReadConfiguration():
            return ["look"]
        case RolloutConcluded(after_us, answer):
            return ["settled", after_us, _answer(answer)]
        case AmbiguousVersion(version, low, high):
            return ["ambiguous", version, low, high]
        case VersionMissing(version, by, after_us):
            return ["missing", version, by, after_us]
        case VersionForgotten(version, by):
            return ["forgotten", version, by]
    raise ValueError(f"unknown action {action!r}")
