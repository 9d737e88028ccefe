"""Actions that `Rollout` returns besides datagrams and the next tick: reports and reads of the file."""

from __future__ import annotations

from dataclasses import dataclass

from sidecar.cluster.actions import ScheduleTick, SendDatagram
from sidecar.cluster.rollout_status import RolloutStatus


@dataclass(frozen=True, slots=True)
class ReadConfiguration:
    """Read this sidecar's configuration file again: another member has a newer version."""


@dataclass(frozen=True, slots=True)
class RolloutConcluded:
    """Report that a version is in force everywhere, or late; each at most once per version."""

    after_us: int  # since the local member learned of the version
    status: RolloutStatus


@dataclass(frozen=True, slots=True)
class AmbiguousVersion:
    """Report that members have different contents under one version."""

    version: int
    min_digest: int
    max_digest: int


@dataclass(frozen=True, slots=True)
class VersionMissing:
    """Report that this sidecar's file does not have the newest version; from now on it is read less often."""

    version: int
    first_reported_by: int
    after_us: int  # since the local member learned of the version


@dataclass(frozen=True, slots=True)
class VersionForgotten:
    """Report that a version is no longer considered, because no member has it in force any more."""

    version: int
    first_reported_by: int


RolloutReport = RolloutConcluded | AmbiguousVersion | VersionMissing | VersionForgotten
RolloutAction = SendDatagram | ScheduleTick | ReadConfiguration | RolloutReport
