"""Members in virtual time that compare their configuration's version, each with a file of its own.

Every member runs `sidecar.cluster` as the sidecar does; a look at the file takes no time.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from sidecar.cluster.actions import MembershipAction, ScheduleTick, SendDatagram
from sidecar.cluster.rollout import Rollout
from sidecar.cluster.rollout_actions import (
    AmbiguousVersion,
    ReadConfiguration,
    RolloutAction,
    RolloutConcluded,
    VersionForgotten,
    VersionMissing,
)
from sidecar.cluster.rollout_message import is_rollout_message
from sidecar.cluster.rollout_status import RolloutStatus
from sidecar.cluster.settings import MembershipSettings, RolloutSettings
from testbed.cluster_simulation.virtual import Process, VirtualTier

_NEVER = 1 << 62
Said = RolloutConcluded | AmbiguousVersion | VersionMissing | VersionForgotten


@dataclass(frozen=True, slots=True)
class File:
    """What a member's configuration file says: its version, and a digest of the rest."""

    version: int
    digest: int = 0

    @staticmethod
    def of(version: int) -> File:
        """A file whose contents go with its version."""
        return File(version, version * 7_919 & 0xFFFF_FFFF)


class Versioned(Process):
    """A process that compares versions besides keeping track of the others."""

    def __init__(self, tier: VersionedTier, number: int, size: int, ahead_s: float) -> None:
        self._versions = tier
        self._next_step = _NEVER
        self.exchanges = self.exchange_bytes = 0  # sent
        self.looks = 0
        super().__init__(tier, number, size, ahead_s)
        now, file = tier.queue.now, tier.files[number]
        own = random.Random(tier.random.getrandbits(64))
        table = self.membership.table
        self.rollout = Rollout(number, tier.name, table, tier.rollout, own, now, file.version, file.digest)
        if tier.are_versions_on:
            self.step(self.rollout.start(now))

    def hear(self, sender: int, payload: bytes) -> None:
        if self.is_paused or not self.is_alive or not is_rollout_message(payload):
            super().hear(sender, payload)
        elif self._versions.are_versions_on:
            self.step(self.rollout.datagram_received(self._versions.queue.now, sender, payload))

    def carry_out(self, actions: list[MembershipAction]) -> None:
        if self._versions.is_membership_on:
            super().carry_out(actions)

    def step(self, steps: list[RolloutAction]) -> None:
        tier = self._versions
        for each in steps:
            match each:
                case SendDatagram():
                    self.exchanges += 1
                    self.exchange_bytes += len(each.payload)
                    tier.carry(self, each)
                case ScheduleTick():
                    self._next_step = each.at
                    tier.queue.at(each.at + self.late_us, self._tick_versions, each.at)
                case ReadConfiguration():
                    self.looks += 1
                    self.read()
                case _:
                    tier.said.append((tier.queue.now, self.number, each))

    def read(self) -> bool:
        """Read the file, as at SIGHUP; no if its version is refused."""
        tier, file = self._versions, self._versions.files[self.number]
        if not self.rollout.permits(file.version):
            return False
        if (file.version, file.digest) != (self.rollout.version, self.rollout.digest):
            tier.applied.setdefault(file.version, {}).setdefault(self.number, tier.queue.now)
            steps = self.rollout.configuration_applied(tier.queue.now, file.version, file.digest)
            self.step(steps if tier.are_versions_on else [])
        return True

    def resume(self) -> None:
        super().resume()
        if self.is_alive and self._versions.are_versions_on:
            self.step(self.rollout.tick(self._versions.queue.now))

    def _tick_versions(self, at: int) -> None:
        if self.is_alive and not self.is_paused and at == self._next_step:
            self.step(self.rollout.tick(self._versions.queue.now))


class VersionedTier(VirtualTier):
    """A tier whose members have files."""

    def __init__(
        self,
        size: int,
        seed: int = 1,
        *,
        loss: float = 0.0,
        settings: MembershipSettings | None = None,
        rollout: RolloutSettings | None = None,
        version: int = 1,
        is_membership_on: bool = True,
        before: frozenset[int] = frozenset(),
    ) -> None:
        """All begin at once, know each other and have this version.

        `is_membership_on`: else it is at rest for good, with everybody present.  `before`: members that run
        the program before this one.
        """
        self.rollout = rollout or RolloutSettings()
        self.are_versions_on = self.rollout.on
        self.is_membership_on = is_membership_on
        self.before = before
        self.files = {number: File.of(version) for number in range(size)}
        self.said: list[tuple[int, int, Said]] = []
        self.applied: dict[int, dict[int, int]] = {}  # by version and member, when it came in force first
        super().__init__(size, seed, loss=loss, settings=settings, is_known=True)

    def start(self, number: int, ahead_s: float = 0.0, size: int | None = None) -> Process:
        if number in self.before:
            return super().start(number, ahead_s, size)
        process = Versioned(self, number, size or self.size, ahead_s)
        self.processes.setdefault(number, []).append(process)
        return process

    def versioned(self, number: int) -> Versioned:
        """A member's latest process."""
        process = self.processes[number][-1]
        assert isinstance(process, Versioned)
        return process

    @property
    def everyone(self) -> list[Versioned]:
        """The latest process of each that lives and compares versions."""
        return [self.versioned(number) for number in self.alive if number not in self.before]

    def publish(self, version: int, first: int, members: range | None = None) -> None:
        """Files of this version are with everybody, or with these; one alone gets SIGHUP."""
        for number in members or range(self.size):
            self.files[number] = File.of(version)
        self.versioned(first).read()

    def status(self, number: int) -> RolloutStatus:
        return self.versioned(number).rollout.status(self.queue.now)

    def in_force(self, version: int) -> bool:
        """Whether all that live have it in force."""
        return all(each.rollout.version == version for each in self.everyone)

    def until_in_force(self, version: int, within_s: float, step_s: float = 0.05) -> float | None:
        """Run until all have it; give after how many seconds, or None if not within the bound."""
        began = self.queue.now
        while self.queue.now - began <= within_s * 1e6:
            if self.in_force(version):
                return (self.queue.now - began) / 1e6
            self.run(step_s)
        return None

    def until_known(self, within_s: float, step_s: float = 0.25) -> float | None:
        """Run until all that live answer that it is in force everywhere."""
        began = self.queue.now
        while self.queue.now - began <= within_s * 1e6:
            if all(self.status(each.number).is_in_force_everywhere for each in self.everyone):
                return (self.queue.now - began) / 1e6
            self.run(step_s)
        return None
