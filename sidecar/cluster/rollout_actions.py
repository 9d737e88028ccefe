"""Actions that `Rollout` returns besides datagrams and the next tick: reports, and reading the file."""

from __future__ import annotations

from dataclasses import dataclass

from sidecar.cluster.actions import ScheduleTick, SendDatagram
from sidecar.cluster.rollout_status import RolloutStatus


@dataclass(frozen=True, slots=True)
class ReadConfiguration:
    """Read this sidecar's configuration file again: another member has a newer version."""


@dataclass(frozen=True, slots=True)
class RolloutConcluded:
    """Once for each version: it is in force everywhere, or is not although it should be by now."""

    after_us: int  # since the version was heard of here
    status: RolloutStatus


@dataclass(frozen=True, slots=True)
class AmbiguousVersion:
    """Members have different contents under one version."""

    version: int
    min_digest: int
    max_digest: int


@dataclass(frozen=True, slots=True)
class VersionMissing:
    """This sidecar's file does not have the newest version; it is read but rarely from now on."""

    version: int
    first_reported_by: int
    after_us: int  # since the version was heard of here


@dataclass(frozen=True, slots=True)
class VersionForgotten:
    """A version that nobody has in force any more."""

    version: int
    first_reported_by: int


RolloutReport = RolloutConcluded | AmbiguousVersion | VersionMissing | VersionForgotten
RolloutAction = SendDatagram | ScheduleTick | ReadConfiguration | RolloutReport
