"""Adapter between the cluster protocols and the recorded conversation, whose events and outputs are lists.

The names in these lists are part of the recorded files and stay.  When a class, method or enum member of the
protocols is renamed, only this module follows.
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
    """Membership and rollout of one sidecar."""

    def __init__(self, number: int, size: int, seed: int, now: int, unix_s: float, version: int) -> None:
        settings = MembershipSettings()
        self._membership = Membership(number, size, "cluster", settings, random.Random(seed), now, unix_s)
        self._settings = RolloutSettings(round_interval_s=10.0)
        table, rng = self._membership.table, random.Random(seed + 1)
        self._rollout = Rollout(number, "cluster", table, self._settings, rng, now, version, 1_000 + version)

    def handle(self, now: int, event: Event) -> list[Output]:  # noqa: PLR0911 - dispatch by kind of event
        """Process one event; return the outputs of membership, then those of the rollout."""
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
                actions = membership.configure(now, size, MembershipSettings())
                return self._rendered(actions, rollout.configure(now, self._settings))
            case ["leave", has_successor]:
                return self._rendered(membership.leave(has_successor=has_successor), [])
        raise ValueError(f"unknown event {event!r}")

    def belief(self, now: int) -> Output:
        """Return the member table, the cluster size, the local incarnation and the rollout status."""
        membership = self._membership
        updates = [record.update for record in membership.table.records]
        members = [[update.incarnation, update.status, update.reported_by] for update in updates]
        size = membership.size()
        counts = [size.configured, size.present, size.suspected, size.unknown, size.dead, size.left]
        return [members, counts, membership.incarnation, _rendered_status(self._rollout.status(now))]

    def dropped(self) -> list[dict[str, int]]:
        """Return the counts of dropped datagrams by reason, of membership and of the rollout."""
        return [
            {reason.value: count for reason, count in self._membership.dropped.items()},
            {reason.value: count for reason, count in self._rollout.dropped.items()},
        ]

    @staticmethod
    def _rendered(membership_actions: list[Any], rollout_actions: list[Any]) -> list[Output]:
        protocols = (("membership", membership_actions), ("versions", rollout_actions))
        return [_rendered(protocol, action) for protocol, actions in protocols for action in actions]


def _rendered_status(status: RolloutStatus) -> Output:
    return [
        status.version,
        status.is_in_force_everywhere,
        status.in_force_count,
        status.required_count,
        list(status.behind),
        status.behind_count,
        list(status.missing),
        status.missing_count,
        status.min_digest,
        status.max_digest,
        status.round_number,
        status.round_age_us,
    ]


def _rendered(protocol: str, action: object) -> Output:  # noqa: PLR0911 - dispatch by kind of action
    match action:
        case SendDatagram(receiver, payload):
            return ["send", receiver, payload.hex()]
        case ScheduleTick(at):
            return ["wake", protocol, at]
        case MemberStateChanged(member, state, incarnation, reported_by):
            return ["news", member, int(state), incarnation, reported_by]
        case DuplicateMember(member):
            return ["doubled", member]
        case ProcessStalled(duration_us):
            return ["slept", duration_us]
        case ReadConfiguration():
            return ["look"]
        case RolloutConcluded(after_us, status):
            return ["settled", after_us, _rendered_status(status)]
        case AmbiguousVersion(version, min_digest, max_digest):
            return ["ambiguous", version, min_digest, max_digest]
        case VersionMissing(version, first_reported_by, after_us):
            return ["missing", version, first_reported_by, after_us]
        case VersionForgotten(version, first_reported_by):
            return ["forgotten", version, first_reported_by]
    raise ValueError(f"unknown action {action!r}")
