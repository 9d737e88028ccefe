"""The event log of a run: what can be observed from outside the sidecars, the same for every engine.

The file holds one JSON object per line.  Times are whole microseconds since the start of the run, by one
clock that all writers share.  Several processes write a run, each to a part of its own; `merge_parts` sorts
their events by time, and at equal times puts causes before effects.  A reader must not rely on time alone to
order the events of different writers: how the events of one request relate follows from their kinds.

Attributes whose name differs from the log's key are pinned to the key by `msgspec.field(name=...)`.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path
from types import TracebackType

import msgspec

from testbed.scenario.scenario_run import ScenarioRun


class _Event(msgspec.Struct, tag_field="is", kw_only=True, omit_defaults=True):
    """Base class of events; the key `is` holds the kind."""

    at_us: int = msgspec.field(name="at")


class RunStarted(_Event, tag="began"):
    """The run that is played, by which engine, and with which variant of the program."""

    run: ScenarioRun = msgspec.field(name="day")
    engine: str
    variant: str = "this tree"


class ReplicaStateChanged(_Event, tag="copy"):
    """A process of a replica changed its state; `incarnation` counts the replica's processes from 1.

    The states are started, ready, killed, stopping (after SIGTERM), ended (by itself or after SIGTERM, with
    an exit code), paused and resumed.
    """

    replica: int = msgspec.field(name="copy")
    incarnation: int = msgspec.field(name="life")
    state: str = msgspec.field(name="what")
    exit_code: int | None = msgspec.field(default=None, name="code")


class ServerStateChanged(_Event, tag="server"):
    """A server changed its state: up (its slow start begins), down, draining or gone."""

    server: int
    state: str = msgspec.field(name="what")


class FaultChanged(_Event, tag="trouble"):
    """A fault of the run begins or ends."""

    fault_number: int = msgspec.field(name="number")
    begins: bool


class EndpointListDelivered(_Event, tag="told"):
    """An endpoint list, or changes of it, reached a replica.

    An entry holds the server, its state (active, leaving or left) and when its current process was started;
    None for a server that has run since the start of the run.
    """

    replica: int = msgspec.field(name="copy")
    version: int
    is_full: bool = msgspec.field(name="full")
    entries: list[tuple[int, str, int | None]] = msgspec.field(name="lines")


class DiscoveryPolled(_Event, tag="called"):
    """A replica polled discovery, and the poll ended: with a list, or in a failure."""

    replica: int = msgspec.field(name="copy")
    succeeded: bool = msgspec.field(name="well")


class RequestSent(_Event, tag="taken"):
    """A client wrote the last byte of a request to a connection that the replica's machine had accepted.

    Each attempt of a client has a `request` number of its own; the attempts of one client request share its
    number.  `scheduled_at_us` is when the first attempt was due, regardless of what delayed it.
    `timeout_at_us` is when the client stops waiting for a response to this attempt.
    """

    request: int
    client_request: int = msgspec.field(name="first")
    replica: int = msgspec.field(name="copy")
    service_class: int
    tenant: int
    scheduled_at_us: int = msgspec.field(name="meant")
    timeout_at_us: int = msgspec.field(name="due")


class RequestNotSent(_Event, tag="unreached"):
    """A client could not send a request: its connection was refused, or closed before it was written."""

    request: int
    client_request: int = msgspec.field(name="first")
    replica: int = msgspec.field(name="copy")
    service_class: int
    scheduled_at_us: int = msgspec.field(name="meant")


class AttemptReceived(_Event, tag="arrived"):
    """A server received the last byte of an attempt.

    `sent_at_us` is earlier: in the simulation, when the replica wrote the attempt; in the emulator, when its
    first byte reached the server.
    """

    request: int
    replica: int = msgspec.field(name="copy")
    server: int
    attempt: int  # unique in the run
    sent_at_us: int = msgspec.field(name="sent")
    work_us: int = msgspec.field(name="work")


class AttemptEnded(_Event, tag="ended"):
    """An attempt ended at a server: served, error, full (not executed) or lost (server process ended)."""

    attempt: int
    request: int
    outcome: str = msgspec.field(name="how")


class ResponseReceived(_Event, tag="answered"):
    """A client got a response, or stopped waiting for one.

    `attempt` is the attempt whose body a response with status 200 holds; -1 if no server wrote that body.
    Status 0 means no complete response: the connection ended, or (`timed_out`) the client's timeout and the
    slack after it passed.
    """

    request: int
    status: int
    attempt: int = -1
    timed_out: bool = False


class ConnectionChanged(_Event, tag="connected"):
    """A connection from a replica to a server was opened or closed."""

    replica: int = msgspec.field(name="copy")
    server: int
    opened: bool


class DatagramSent(_Event, tag="datagram"):
    """A datagram from one replica to another was delivered or lost."""

    sender: int
    receiver: int
    size_bytes: int = msgspec.field(name="size")
    delivered: bool = msgspec.field(name="passed")


class MetricsReported(_Event, tag="figures"):
    """The metrics of a replica, as its admin interface reports them (`/api/telemetry`)."""

    replica: int = msgspec.field(name="copy")
    incarnation: int = msgspec.field(name="life")
    pending_requests: int = msgspec.field(name="pending")
    listed_endpoints: int = msgspec.field(name="members")
    unavailable_endpoints: int = msgspec.field(name="unavailable")
    membership: dict[str, str] = msgspec.field(default={}, name="tier")


class WriterLate(_Event, tag="late"):
    """A writer of this log, the load generator or a stand-in, did something later than it was due."""

    writer: str = msgspec.field(name="who")
    late_us: int = msgspec.field(name="by")


class RunFinished(_Event, tag="finished"):
    """The run was played to its end; a log without this event is incomplete."""


Event = (
    RunStarted
    | ReplicaStateChanged
    | ServerStateChanged
    | FaultChanged
    | EndpointListDelivered
    | DiscoveryPolled
    | RequestSent
    | RequestNotSent
    | AttemptReceived
    | AttemptEnded
    | ResponseReceived
    | ConnectionChanged
    | DatagramSent
    | MetricsReported
    | WriterLate
    | RunFinished
)

# The order at equal times: causes before effects.
_KINDS: tuple[type, ...] = (
    RunStarted,
    FaultChanged,
    ServerStateChanged,
    ReplicaStateChanged,
    DiscoveryPolled,
    EndpointListDelivered,
    RequestNotSent,
    RequestSent,
    ConnectionChanged,
    AttemptReceived,
    AttemptEnded,
    ResponseReceived,
    DatagramSent,
    MetricsReported,
    WriterLate,
    RunFinished,
)
_ORDER: dict[type, int] = {kind: place for place, kind in enumerate(_KINDS)}
_ENCODER = msgspec.json.Encoder()
_DECODER: msgspec.json.Decoder[Event] = msgspec.json.Decoder(Event)
_BUFFER_BYTES = 1 << 16
# The time of RunStarted: earlier than what happens before the run's time 0, such as starts of replicas.
BEFORE_RUN_US = -(1 << 50)


class EventLogError(Exception):
    """An event log that can't be read or checked."""


class EventLogWriter:
    """Appends events to one part of a log, in blocks of 64 KiB; `flush` and `close` write the rest."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("ab", buffering=0)
        self._buffer = bytearray()

    def write(self, event: Event) -> None:
        """Append an event to the buffer; flush the buffer when it is full."""
        self._buffer += _ENCODER.encode(event)
        self._buffer += b"\n"
        if len(self._buffer) >= _BUFFER_BYTES:
            self.flush()

    def flush(self) -> None:
        """Write the buffer to the file."""
        if self._buffer:
            self._file.write(self._buffer)
            self._buffer.clear()

    def close(self) -> None:
        """Flush and close the file."""
        self.flush()
        self._file.close()

    def __enter__(self) -> EventLogWriter:
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()


def read_events(path: Path) -> Iterator[Event]:
    """Yield the events of one file in its order, without an incomplete last line.

    Raises:
        EventLogError: The file can't be read, or another line is not an event.
    """
    try:
        with path.open("rb") as file:
            for number, line in enumerate(file, 1):
                try:
                    yield _DECODER.decode(line)
                except msgspec.DecodeError as error:
                    if not line.endswith(b"\n"):
                        return
                    raise EventLogError(f"{path}, line {number}: {error}") from None
    except OSError as error:
        raise EventLogError(f"{path}: {error.strerror}") from None


def sort_events(events: Iterable[Event]) -> list[Event]:
    """Sort events by time, and at equal times causes before effects."""
    return sorted(events, key=lambda event: (event.at_us, _ORDER[type(event)]))


def log_parts(folder: Path) -> list[Path]:
    """Return the parts of a log in a folder, sorted by name."""
    return sorted(folder.glob("part-*.jsonl"))


def merge_parts(folder: Path) -> Path:
    """Merge the parts in a folder into `log.jsonl` and delete them; return the path of the log.

    The log appears complete or not at all, and the parts are deleted only after that.
    """
    parts = log_parts(folder)
    unfinished, merged = folder / "log.new", folder / "log.jsonl"
    unfinished.unlink(missing_ok=True)
    with EventLogWriter(unfinished) as writer:
        for event in sort_events(event for part in parts for event in read_events(part)):
            writer.write(event)
    unfinished.replace(merged)
    for part in parts:
        part.unlink()
    return merged


def load(path: Path) -> list[Event]:
    """Load a log from its file, or from the folder of a run, even one that was interrupted.

    Raises:
        EventLogError: There is no log, or it can't be read.
    """
    if path.is_dir():
        merged = path / "log.jsonl"
        if merged.exists():
            return list(read_events(merged))
        parts = log_parts(path)
        if not parts:
            raise EventLogError(f"{path}: contains no event log")
        return sort_events(event for part in parts for event in read_events(part))
    return list(read_events(path))
