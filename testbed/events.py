"""The event log of a played day: what could be seen from outside the sidecars, by either engine.

One JSON object a line.  Times are whole microseconds from the day's start, by one clock for all writers.  A
day is written by several processes, each into a part of its own; `merge` puts them together by time, and at
equal times by cause.  Who reads must not rely on time alone between writers: what a request's own events mean
follows from their kinds.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path
from types import TracebackType

import msgspec

from testbed.scenario.scenario_run import ScenarioRun


class _Event(msgspec.Struct, tag_field="is", kw_only=True, omit_defaults=True):
    at_us: int = msgspec.field(name="at")


class RunStarted(_Event, tag="began"):
    """The day that is played, by which engine, and which variant of the program."""

    run: ScenarioRun = msgspec.field(name="day")
    engine: str
    variant: str = "this tree"


class ReplicaStateChanged(_Event, tag="copy"):
    """What became of a copy; `life` counts its processes from 1.

    started, ready, killed, stopping (SIGTERM), ended (after that, or by itself: `code`), paused, resumed.
    """

    replica: int = msgspec.field(name="copy")
    incarnation: int = msgspec.field(name="life")
    state: str = msgspec.field(name="what")
    exit_code: int | None = msgspec.field(default=None, name="code")


class ServerStateChanged(_Event, tag="server"):
    """What became of a server: up (cold from here), down, silent, heard, draining, gone."""

    server: int
    state: str = msgspec.field(name="what")


class FaultChanged(_Event, tag="trouble"):
    """A trouble of the day begins or ends."""

    fault_number: int = msgspec.field(name="number")
    begins: bool


class EndpointListDelivered(_Event, tag="told"):
    """Discovery's word reached a copy: (server, state, start of its last life) of each line.

    A state is active, leaving or left; a start is None where the server ran from the beginning.
    """

    replica: int = msgspec.field(name="copy")
    version: int
    is_full: bool = msgspec.field(name="full")
    entries: list[tuple[int, str, int | None]] = msgspec.field(name="lines")


class DiscoveryPolled(_Event, tag="called"):
    """A copy called discovery, and the call ended: well or not."""

    replica: int = msgspec.field(name="copy")
    succeeded: bool = msgspec.field(name="well")


class RequestSent(_Event, tag="taken"):
    """The last byte of a request was written to a connection that the copy's machine accepted.

    `first` is the number of the client's first try, `due` the end of the client's patience with this one, and
    `meant` when the first try should have left, whatever held it up.
    """

    request: int
    client_request: int = msgspec.field(name="first")
    replica: int = msgspec.field(name="copy")
    service_class: int
    tenant: int
    scheduled_at_us: int = msgspec.field(name="meant")
    timeout_at_us: int = msgspec.field(name="due")


class RequestNotSent(_Event, tag="unreached"):
    """No copy took the request: its connection was refused, or closed before it was written."""

    request: int
    client_request: int = msgspec.field(name="first")
    replica: int = msgspec.field(name="copy")
    service_class: int
    scheduled_at_us: int = msgspec.field(name="meant")


class AttemptReceived(_Event, tag="arrived"):
    """The last byte of an attempt reached a server; `sent` is when its first byte did."""

    request: int
    replica: int = msgspec.field(name="copy")
    server: int
    attempt: int  # unique over the day
    sent_at_us: int = msgspec.field(name="sent")
    work_us: int = msgspec.field(name="work")


class AttemptEnded(_Event, tag="ended"):
    """What a server made of an attempt: served, error, full (never ran), lost (the process ended)."""

    attempt: int
    request: int
    outcome: str = msgspec.field(name="how")


class ResponseReceived(_Event, tag="answered"):
    """What the client got: a status, and for a 200 which attempt's body (-1: none that a server made).

    Status 0: the connection ended, or patience and slack did, without a whole answer.
    """

    request: int
    status: int
    attempt: int = -1
    timed_out: bool = False


class ConnectionChanged(_Event, tag="connected"):
    """A connection from a copy to a server came up (`opened`) or ended."""

    replica: int = msgspec.field(name="copy")
    server: int
    opened: bool


class DatagramSent(_Event, tag="datagram"):
    """A datagram between copies, when it was passed on or lost."""

    sender: int
    receiver: int
    size_bytes: int = msgspec.field(name="size")
    delivered: bool = msgspec.field(name="passed")


class MetricsReported(_Event, tag="figures"):
    """What a copy says of itself (`/api/telemetry`)."""

    replica: int = msgspec.field(name="copy")
    incarnation: int = msgspec.field(name="life")
    pending_requests: int = msgspec.field(name="pending")
    listed_endpoints: int = msgspec.field(name="members")
    unavailable_endpoints: int = msgspec.field(name="unavailable")
    membership: dict[str, str] = msgspec.field(default={}, name="tier")


class WriterLate(_Event, tag="late"):
    """A writer of this log was late itself: the load, or a stand-in."""

    writer: str = msgspec.field(name="who")
    late_us: int = msgspec.field(name="by")


class RunFinished(_Event, tag="finished"):
    """The day was played to its end; a log without this line was cut off."""


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

# At equal times, causes before effects.
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
_BUFFER = 1 << 16
BEFORE_RUN_US = -(1 << 50)  # when a log begins: before everything that comes ahead of its day


class EventLogError(Exception):
    """A log that can't be judged."""


class EventLogWriter:
    """Appends events to one part of a log, 64 KiB at a time and what is left at `flush` and `close`."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("ab", buffering=0)
        self._buffer = bytearray()

    def write(self, event: Event) -> None:
        """Append an event to the buffer; flush it when it is full."""
        self._buffer += _ENCODER.encode(event)
        self._buffer += b"\n"
        if len(self._buffer) >= _BUFFER:
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
        self, kind: type[BaseException] | None, fault: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()


def read_events(path: Path) -> Iterator[Event]:
    """The events of one file in its order; a last line that was cut off is left out.

    Raise LogError on any other line that is none of these events.
    """
    try:
        with path.open("rb") as file:
            for number, line in enumerate(file, 1):
                try:
                    yield _DECODER.decode(line)
                except msgspec.DecodeError as fault:
                    if not line.endswith(b"\n"):
                        return
                    raise EventLogError(f"{path}, line {number}: {fault}") from None
    except OSError as fault:
        raise EventLogError(f"{path}: {fault.strerror}") from None


def sort_events(events: Iterable[Event]) -> list[Event]:
    """By time, and at equal times by cause."""
    return sorted(events, key=lambda each: (each.at_us, _ORDER[type(each)]))


def log_parts(folder: Path) -> list[Path]:
    """The partial logs in a folder, sorted by name."""
    return sorted(folder.glob("part-*.jsonl"))


def merge_parts(folder: Path) -> Path:
    """Put the parts in a folder together into `log.jsonl`, as a whole or not at all; the parts go then."""
    own = log_parts(folder)
    fresh, whole = folder / "log.new", folder / "log.jsonl"
    fresh.unlink(missing_ok=True)
    with EventLogWriter(fresh) as writer:
        for event in sort_events(event for part in own for event in read_events(part)):
            writer.write(event)
    fresh.replace(whole)
    for part in own:
        part.unlink()
    return whole


def load(path: Path) -> list[Event]:
    """A log by its file, or by the folder of a day, also of one that was cut off; raise LogError."""
    if path.is_dir():
        whole = path / "log.jsonl"
        if whole.exists():
            return list(read_events(whole))
        own = log_parts(path)
        if not own:
            raise EventLogError(f"{path}: holds no log")
        return sort_events(event for part in own for event in read_events(part))
    return list(read_events(path))
