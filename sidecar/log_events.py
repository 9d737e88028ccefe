"""The log events of the sidecar: each line that it logs is a typed event with a stable name.

An event is written as `NAME: TEXT` on one line.  Operators search for the names, so these must not change;
`docs/on-call.md` describes each event.  `sidecar.log_writer` writes the lines and limits their rate.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from dataclasses import dataclass
from typing import ClassVar


class LogEvent:
    """The base class of log events, which are dataclasses whose fields are inserted into their text."""

    __slots__ = ()

    name: ClassVar[str]
    template: ClassVar[str]  # format string of the text; its placeholders are the fields

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
    """The sidecar accepts clients, and has applied the last known endpoint list."""

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
    """SIGTERM or SIGINT was received: the sidecar completes open requests and closes connections."""

    name = "shutdown_started"
    template = "draining"


@dataclass(frozen=True, slots=True)
class ShutdownCompleted(LogEvent):
    """The process is about to exit with code 0."""

    name = "shutdown_completed"
    template = "drained"


@dataclass(frozen=True, slots=True)
class InternalError(LogEvent):
    """An unexpected exception; the request concerned gets status 500, and the sidecar keeps running."""

    name = "internal_error"
    template = "{context}: {error!r}"

    context: str
    error: BaseException | None


@dataclass(frozen=True, slots=True)
class MemoryHigh(LogEvent):
    """The process is near its memory limit: how much of what peers sent it holds, and for how many."""

    name = "memory_high"
    template = (
        "{used_mb} of {limit_mb} MB; kB held: requests {request_kb}, long bodies {upload_kb}, responses"
        " {response_kb}; open: requests {open_requests}, connections of clients {client_connections}, to"
        " servers {server_connections}"
    )

    used_mb: int
    limit_mb: int
    request_kb: int
    upload_kb: int
    response_kb: int
    open_requests: int
    client_connections: int
    server_connections: int


@dataclass(frozen=True, slots=True)
class LinesDropped(LogEvent):
    """The log's rate limit suppressed this number of lines before this one."""

    name = "log_lines_dropped"
    template = "{count}"

    count: int


# Failed starts: written before the log exists, in a form that the platform recognizes


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
    """The configuration file was reloaded; settings that can change at run time are in force."""

    name = "configuration_reloaded"
    template = "discovery is at {address}:{port}, version {version}"

    address: str
    port: int
    version: int | None


@dataclass(frozen=True, slots=True)
class ConfigurationRejected(LogEvent):
    """The configuration file is invalid, or its version is older than the one in force; nothing changed."""

    name = "configuration_rejected"
    template = "{reason}"

    reason: str


@dataclass(frozen=True, slots=True)
class RestartRequired(LogEvent):
    """The listed keys of the new configuration have changed, but only take effect at a restart."""

    name = "restart_required"
    template = "{keys}"

    keys: tuple[str, ...]


# Operators


@dataclass(frozen=True, slots=True)
class ClientsDrained(LogEvent):
    """An operator requested that clients be drained."""

    name = "clients_drained"
    template = "clients are sent away"


@dataclass(frozen=True, slots=True)
class ClientsResumed(LogEvent):
    """An operator requested that clients be accepted again."""

    name = "clients_resumed"
    template = "clients are accepted again"


@dataclass(frozen=True, slots=True)
class ExclusionsFileIgnored(LogEvent):
    """The file of persisted exclusions is invalid or can't be read."""

    name = "exclusions_file_ignored"
    template = "{reason}"

    reason: str


@dataclass(frozen=True, slots=True)
class RequestIdsNotShared(LogEvent):
    """The file of request ids can't be used, so the other process of a hot restart does not know them."""

    name = "request_ids_not_shared"
    template = "{reason}"

    reason: str


@dataclass(frozen=True, slots=True)
class ExclusionsFileNotWritten(LogEvent):
    """The file of persisted exclusions can't be written."""

    name = "exclusions_file_not_written"
    template = "{reason}"

    reason: str


@dataclass(frozen=True, slots=True)
class ProcessLockFailed(LogEvent):
    """The lock file that marks this process as running can't be created."""

    name = "process_lock_failed"
    template = "{reason}"

    reason: str


# Cluster


@dataclass(frozen=True, slots=True)
class PeerListenFailed(LogEvent):
    """The address for datagrams of other sidecars can't be bound; the sidecar runs without membership."""

    name = "peer_listen_failed"
    template = "{reason}"

    reason: str


@dataclass(frozen=True, slots=True)
class PeerMessageNotSent(LogEvent):
    """A message to another sidecar is too long, or its receiver does not exist."""

    name = "peer_message_not_sent"
    template = "no such peer, or over {max_bytes} bytes"

    max_bytes: int


@dataclass(frozen=True, slots=True)
class MembershipChanged(LogEvent):
    """The states of members changed; logged at most once a second."""

    name = "membership_changed"
    template = "{counts}: {changes}"

    counts: str
    changes: str


@dataclass(frozen=True, slots=True)
class MemberNumberConflict(LogEvent):
    """Another process has used this sidecar's member number for longer than a hot restart takes."""

    name = "member_number_conflict"
    template = "another process claims this sidecar's number {number}"

    number: int


@dataclass(frozen=True, slots=True)
class ProcessStalled(LogEvent):
    """The process was not scheduled for a while; it declares no member dead until it has caught up."""

    name = "process_stalled"
    template = "stood still for {stalled_s:.1f} s"

    stalled_s: float


# Versions of the configuration


@dataclass(frozen=True, slots=True)
class ConfigurationInForceEverywhere(LogEvent):
    """All present members have this version in force."""

    name = "configuration_in_force_everywhere"
    template = "version {version} after {after_s:.1f} s ({in_force} of {present})"

    version: int
    after_s: float
    in_force: int
    present: int


@dataclass(frozen=True, slots=True)
class ConfigurationNotEverywhere(LogEvent):
    """Some members have an older version in force, or have reported none."""

    name = "configuration_not_everywhere"
    template = (
        "version {version} after {after_s:.1f} s ({in_force} of {present}); behind: {behind}; "
        "unheard: {unheard}"
    )

    version: int
    after_s: float
    in_force: int
    present: int
    behind: str  # numbers of the members with an older version
    unheard: str  # numbers of the members that have reported no version


@dataclass(frozen=True, slots=True)
class ConfigurationConflict(LogEvent):
    """Two configuration files with different contents have the same version."""

    name = "configuration_conflict"
    template = "two contents go by version {version}: digests {low_digest:08x} and {high_digest:08x}"

    version: int
    low_digest: int
    high_digest: int


@dataclass(frozen=True, slots=True)
class ConfigurationMissing(LogEvent):
    """Another member has a newer version than this sidecar's file, which is now checked less often."""

    name = "configuration_missing"
    template = "version {version}, first reported by {member}, is not in the file after {after_s:.0f} s"

    version: int
    member: int
    after_s: float


@dataclass(frozen=True, slots=True)
class ConfigurationWithdrawn(LogEvent):
    """No member has this version in force any more, so the previous version is the newest again."""

    name = "configuration_withdrawn"
    template = "version {version}, first reported by {member}, is in force nowhere any more"

    version: int
    member: int


# Lines of the balancer, which it formats itself


@dataclass(frozen=True, slots=True)
class BalancerLine(LogEvent):
    """A line that the balancer requested with a Log action; its text includes the name of the event."""

    text: str

    def __str__(self) -> str:
        return self.text.replace("\n", " ")
