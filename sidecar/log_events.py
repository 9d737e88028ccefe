"""Every line that the sidecar writes to its log, as a typed event with a stable name.

An event is written as `NAME: TEXT` on one line.  Names are stable: operators search for them, and
`docs/on-call.md` lists each with its meaning.  Writing lines at a limited rate is up to `sidecar.log_writer`.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from dataclasses import dataclass
from typing import ClassVar


class LogEvent:
    """The base of all events; each is a dataclass whose fields appear in its text."""

    __slots__ = ()

    name: ClassVar[str]
    template: ClassVar[str]  # of the text: a format string over the fields

    def __str__(self) -> str:
        values = {field.name: _display(getattr(self, field.name)) for field in self._fields()}
        text = self.template.format(**values)
        return f"{self.name}: {text}".replace("\n", " ")

    def _fields(self) -> tuple[dataclasses.Field[object], ...]:
        return dataclasses.fields(self)  # type: ignore[arg-type]


EventLog = Callable[[LogEvent], None]


def _display(value: object) -> object:
    if value is None:
        return "none"
    return ", ".join(map(str, value)) if isinstance(value, (tuple, list)) else value


# Start and end of the process


@dataclass(frozen=True, slots=True)
class Listening(LogEvent):
    """Clients are accepted and the last known endpoint list is in use."""

    name = "listening"
    template = "{sidecar} serves on {address}:{port}"

    sidecar: str
    address: str
    port: int


@dataclass(frozen=True, slots=True)
class AdminInterfaceListening(LogEvent):
    """The admin interface accepts connections."""

    name = "admin_interface_listening"
    template = "{address}:{port}"

    address: str
    port: int


@dataclass(frozen=True, slots=True)
class ShutdownStarted(LogEvent):
    """SIGTERM or SIGINT came: requests in flight are completed, connections are closed."""

    name = "shutdown_started"
    template = "draining"


@dataclass(frozen=True, slots=True)
class ShutdownCompleted(LogEvent):
    """The process is about to exit with code 0."""

    name = "shutdown_completed"
    template = "drained"


@dataclass(frozen=True, slots=True)
class InternalError(LogEvent):
    """A defect; the request at hand got status 500, the sidecar keeps running."""

    name = "internal_error"
    template = "{context}: {error!r}"

    context: str
    error: BaseException | None


@dataclass(frozen=True, slots=True)
class LinesDropped(LogEvent):
    """Lines that the rate limit of the log suppressed before this one."""

    name = "log_lines_dropped"
    template = "{count}"

    count: int


# Starts that failed: written before there is a log, in a form that the platform knows


@dataclass(frozen=True, slots=True)
class ConfigurationInvalid(LogEvent):
    """The configuration is invalid; exit code 2.  The reason begins with the key."""

    name = "sidecar"
    template = "config: {reason}"

    reason: str


@dataclass(frozen=True, slots=True)
class ListenFailed(LogEvent):
    """The address for clients can't be bound; exit code 1."""

    name = "sidecar"
    template = "can't listen: {reason}"

    reason: str


# Configuration


@dataclass(frozen=True, slots=True)
class ConfigurationReloaded(LogEvent):
    """The configuration file was read again, and what may change at run time is in force."""

    name = "configuration_reloaded"
    template = "discovery is at {address}:{port}, version {version}"

    address: str
    port: int
    version: int | None


@dataclass(frozen=True, slots=True)
class ConfigurationRejected(LogEvent):
    """The configuration file is invalid or older than what is in force; nothing has changed."""

    name = "configuration_rejected"
    template = "{reason}"

    reason: str


@dataclass(frozen=True, slots=True)
class RestartRequired(LogEvent):
    """These keys of the new configuration only take effect at a restart."""

    name = "restart_required"
    template = "{keys}"

    keys: tuple[str, ...]


# Operators


@dataclass(frozen=True, slots=True)
class ClientsDrained(LogEvent):
    """Operators asked for clients to be sent away."""

    name = "clients_drained"
    template = "clients are sent away"


@dataclass(frozen=True, slots=True)
class ClientsResumed(LogEvent):
    """Operators asked for clients to be accepted again."""

    name = "clients_resumed"
    template = "clients are accepted again"


@dataclass(frozen=True, slots=True)
class ExclusionsFileIgnored(LogEvent):
    """The file of excluded servers is invalid or can't be read."""

    name = "exclusions_file_ignored"
    template = "{reason}"

    reason: str


@dataclass(frozen=True, slots=True)
class ExclusionsFileNotWritten(LogEvent):
    """The file of excluded servers could not be written."""

    name = "exclusions_file_not_written"
    template = "{reason}"

    reason: str


@dataclass(frozen=True, slots=True)
class ProcessLockFailed(LogEvent):
    """The lock file that marks this process as alive could not be created."""

    name = "process_lock_failed"
    template = "{reason}"

    reason: str


# Cluster


@dataclass(frozen=True, slots=True)
class PeerListenFailed(LogEvent):
    """Datagrams of other sidecars can't be received; the sidecar serves without membership."""

    name = "peer_listen_failed"
    template = "{reason}"

    reason: str


@dataclass(frozen=True, slots=True)
class PeerMessageNotSent(LogEvent):
    """A message to other sidecars is too long, or its receiver does not exist."""

    name = "peer_message_not_sent"
    template = "no such peer, or over {max_bytes} bytes"

    max_bytes: int


@dataclass(frozen=True, slots=True)
class MembershipChanged(LogEvent):
    """The view of the cluster changed; at most one line a second."""

    name = "membership_changed"
    template = "{counts}: {changes}"

    counts: str
    changes: str


@dataclass(frozen=True, slots=True)
class MemberNumberConflict(LogEvent):
    """Another process uses this sidecar's number in `peers` for longer than a hot restart takes."""

    name = "member_number_conflict"
    template = "another process claims this sidecar's number {number}"

    number: int


@dataclass(frozen=True, slots=True)
class ProcessStalled(LogEvent):
    """The process did not run for a while; until it has caught up it declares no member dead."""

    name = "process_stalled"
    template = "stood still for {stalled_s:.1f} s"

    stalled_s: float


# Versions of the configuration


@dataclass(frozen=True, slots=True)
class ConfigurationInForceEverywhere(LogEvent):
    """All present sidecars report that they have this version in force."""

    name = "configuration_in_force_everywhere"
    template = "version {version} after {after_s:.1f} s ({in_force} of {present})"

    version: int
    after_s: float
    in_force: int
    present: int


@dataclass(frozen=True, slots=True)
class ConfigurationNotEverywhere(LogEvent):
    """Some sidecars report an older version, or none."""

    name = "configuration_not_everywhere"
    template = (
        "version {version} after {after_s:.1f} s ({in_force} of {present}); behind: {behind}; "
        "unheard: {unheard}"
    )

    version: int
    after_s: float
    in_force: int
    present: int
    behind: str  # numbers of members
    unheard: str  # likewise


@dataclass(frozen=True, slots=True)
class ConfigurationConflict(LogEvent):
    """Two files with different contents were published under one version."""

    name = "configuration_conflict"
    template = "two contents go by version {version}: digests {low_digest:08x} and {high_digest:08x}"

    version: int
    low_digest: int
    high_digest: int


@dataclass(frozen=True, slots=True)
class ConfigurationMissing(LogEvent):
    """Another sidecar has a newer version, but this one's file does not; from now on it is checked rarely."""

    name = "configuration_missing"
    template = "version {version}, first reported by {member}, is not in the file after {after_s:.0f} s"

    version: int
    member: int
    after_s: float


@dataclass(frozen=True, slots=True)
class ConfigurationWithdrawn(LogEvent):
    """No sidecar has this version in force any more; the version before counts again."""

    name = "configuration_withdrawn"
    template = "version {version}, first reported by {member}, is in force nowhere any more"

    version: int
    member: int


# Lines that the balancer words itself, and begins with a name


@dataclass(frozen=True, slots=True)
class BalancerLine(LogEvent):
    """A line that the balancer asks for, written as it is."""

    text: str

    def __str__(self) -> str:
        return self.text.replace("\n", " ")
