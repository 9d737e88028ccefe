"""A cluster in virtual time whose members compare configuration versions, each with its own file.

Each member runs `sidecar.cluster` as the sidecar does; reading a file takes no virtual time.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from sidecar.cluster.actions import MembershipAction, ScheduleTick, SendDatagram
from sidecar.cluster.rollout import Rollout
from sidecar.cluster.rollout_actions import ReadConfiguration, RolloutAction, RolloutReport
from sidecar.cluster.rollout_message import is_rollout_message
from sidecar.cluster.rollout_status import RolloutStatus
from sidecar.cluster.settings import MembershipSettings, RolloutSettings
from testbed.cluster_simulation.virtual import Process, VirtualCluster

_NEVER = 1 << 62


@dataclass(frozen=True, slots=True)
class ConfigurationFile:
    """The contents of a member's configuration file: the version, and a digest of the rest."""

    version: int
    digest: int = 0

    @staticmethod
    def of(version: int) -> ConfigurationFile:
        """Return a file whose digest is derived from its version."""
        return ConfigurationFile(version, version * 7_919 & 0xFFFF_FFFF)


class VersionedProcess(Process):
    """A process that runs the rollout protocol beside membership."""

    def __init__(self, cluster: VersionedCluster, number: int, size: int, clock_offset_s: float) -> None:
        self._versioned_cluster = cluster
        self._next_rollout_tick = _NEVER
        self.exchanges = self.exchange_bytes = 0  # rollout datagrams and bytes sent
        self.file_reads = 0
        super().__init__(cluster, number, size, clock_offset_s)
        now, file = cluster.queue.now, cluster.files[number]
        rng = random.Random(cluster.random.getrandbits(64))
        table = self.membership.table
        self.rollout = Rollout(
            number, cluster.name, table, cluster.rollout, rng, now, file.version, file.digest
        )
        if cluster.is_rollout_on:
            self.execute_rollout(self.rollout.start(now))

    def receive(self, sender: int, payload: bytes) -> None:
        """Pass a datagram to the rollout or to the membership, according to its type."""
        if self.is_paused or not self.is_alive or not is_rollout_message(payload):
            super().receive(sender, payload)
        elif self._versioned_cluster.is_rollout_on:
            self.execute_rollout(
                self.rollout.datagram_received(self._versioned_cluster.queue.now, sender, payload)
            )

    def execute(self, actions: list[MembershipAction]) -> None:
        """Execute membership actions, unless membership is off in this cluster."""
        if self._versioned_cluster.is_membership_on:
            super().execute(actions)

    def execute_rollout(self, actions: list[RolloutAction]) -> None:
        """Execute rollout actions: send datagrams, schedule ticks and record versions."""
        cluster = self._versioned_cluster
        for action in actions:
            match action:
                case SendDatagram():
                    self.exchanges += 1
                    self.exchange_bytes += len(action.payload)
                    cluster.transmit(self, action)
                case ScheduleTick():
                    self._next_rollout_tick = action.at
                    cluster.queue.at(action.at + self.processing_delay_us, self._tick_rollout, action.at)
                case ReadConfiguration():
                    self.file_reads += 1
                    self.read()
                case _:
                    cluster.rollout_reports.append((cluster.queue.now, self.number, action))

    def read(self) -> bool:
        """Read the file, as on SIGHUP; return False if the rollout rejects its version."""
        cluster, file = self._versioned_cluster, self._versioned_cluster.files[self.number]
        if not self.rollout.permits(file.version):
            return False
        if (file.version, file.digest) != (self.rollout.version, self.rollout.digest):
            cluster.applied.setdefault(file.version, {}).setdefault(self.number, cluster.queue.now)
            actions = self.rollout.configuration_applied(cluster.queue.now, file.version, file.digest)
            self.execute_rollout(actions if cluster.is_rollout_on else [])
        return True

    def resume(self) -> None:
        """Continue after a pause, with a tick of the rollout at once."""
        super().resume()
        if self.is_alive and self._versioned_cluster.is_rollout_on:
            self.execute_rollout(self.rollout.tick(self._versioned_cluster.queue.now))

    def _tick_rollout(self, at: int) -> None:
        if self.is_alive and not self.is_paused and at == self._next_rollout_tick:
            self.execute_rollout(self.rollout.tick(self._versioned_cluster.queue.now))


class VersionedCluster(VirtualCluster):
    """A cluster whose members have configuration files."""

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
        without_rollout: frozenset[int] = frozenset(),
    ) -> None:
        """Start all members at once, knowing each other, with this version.

        Without `is_membership_on`, the membership protocol does not run and all members remain present.  The
        members `without_rollout` run a program without the rollout protocol.
        """
        self.rollout = rollout or RolloutSettings()
        self.is_rollout_on = self.rollout.on
        self.is_membership_on = is_membership_on
        self.without_rollout = without_rollout
        self.files = {number: ConfigurationFile.of(version) for number in range(size)}
        self.rollout_reports: list[tuple[int, int, RolloutReport]] = []
        self.applied: dict[
            int, dict[int, int]
        ] = {}  # by version and member: time at which it first came in force
        super().__init__(size, seed, loss=loss, settings=settings, is_converged=True)

    def start(self, number: int, clock_offset_s: float = 0.0, size: int | None = None) -> Process:
        """Start a process; one without rollout runs the membership protocol only."""
        if number in self.without_rollout:
            return super().start(number, clock_offset_s, size)
        process = VersionedProcess(self, number, size or self.size, clock_offset_s)
        self.processes.setdefault(number, []).append(process)
        return process

    def versioned(self, number: int) -> VersionedProcess:
        """A member's latest process."""
        process = self.processes[number][-1]
        assert isinstance(process, VersionedProcess)
        return process

    @property
    def versioned_processes(self) -> list[VersionedProcess]:
        """The latest process of each live member that runs the rollout protocol."""
        return [self.versioned(number) for number in self.alive if number not in self.without_rollout]

    def publish(self, version: int, first: int, members: range | None = None) -> None:
        """Write files of this version for all members, or for `members`; only `first` gets SIGHUP."""
        for number in members or range(self.size):
            self.files[number] = ConfigurationFile.of(version)
        self.versioned(first).read()

    def status(self, number: int) -> RolloutStatus:
        """The rollout status that a member reports now."""
        return self.versioned(number).rollout.status(self.queue.now)

    def in_force(self, version: int) -> bool:
        """Whether all live members have the version in force."""
        return all(process.rollout.version == version for process in self.versioned_processes)

    def until_in_force(self, version: int, timeout_s: float, step_s: float = 0.05) -> float | None:
        """Run until all live members have the version in force; return the seconds, None at timeout."""
        started_at = self.queue.now
        while self.queue.now - started_at <= timeout_s * 1e6:
            if self.in_force(version):
                return (self.queue.now - started_at) / 1e6
            self.run(step_s)
        return None

    def until_known(self, timeout_s: float, step_s: float = 0.25) -> float | None:
        """Run until all live members report it in force everywhere; return the seconds, None at timeout."""
        started_at = self.queue.now
        while self.queue.now - started_at <= timeout_s * 1e6:
            if all(
                self.status(process.number).is_in_force_everywhere for process in self.versioned_processes
            ):
                return (self.queue.now - started_at) / 1e6
            self.run(step_s)
        return None
