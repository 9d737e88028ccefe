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

from testbed.scenario.day import Day


class _Event(msgspec.Struct, tag_field="is", kw_only=True, omit_defaults=True):
    at: int


class Began(_Event, tag="began"):
    """The day that is played, by which engine, and which variant of the program."""

    day: Day
    engine: str
    variant: str = "this tree"


class Copy(_Event, tag="copy"):
    """What became of a copy; `life` counts its processes from 1.

    started, ready, killed, stopping (SIGTERM), ended (after that, or by itself: `code`), paused, resumed.
    """

    copy: int
    life: int
    what: str
    code: int | None = None


class Server(_Event, tag="server"):
    """What became of a server: up (cold from here), down, silent, heard, draining, gone."""

    server: int
    what: str


class Trouble(_Event, tag="trouble"):
    """A trouble of the day begins or ends."""

    number: int
    begins: bool


class Told(_Event, tag="told"):
    """Discovery's word reached a copy: (server, state, start of its last life) of each line.

    A state is active, leaving or left; a start is None where the server ran from the beginning.
    """

    copy: int
    version: int
    full: bool
    lines: list[tuple[int, str, int | None]]


class Called(_Event, tag="called"):
    """A copy called discovery, and the call ended: well or not."""

    copy: int
    well: bool


class Taken(_Event, tag="taken"):
    """The last byte of a request was written to a connection that the copy's machine accepted.

    `first` is the number of the client's first try, `due` the end of the client's patience with this one, and
    `meant` when the first try should have left, whatever held it up.
    """

    request: int
    first: int
    copy: int
    service_class: int
    tenant: int
    meant: int
    due: int


class Unreached(_Event, tag="unreached"):
    """No copy took the request: its connection was refused, or closed before it was written."""

    request: int
    first: int
    copy: int
    service_class: int
    meant: int


class Arrived(_Event, tag="arrived"):
    """The last byte of an attempt reached a server; `sent` is when its first byte did."""

    request: int
    copy: int
    server: int
    attempt: int  # unique over the day
    sent: int
    work: int


class Ended(_Event, tag="ended"):
    """What a server made of an attempt: served, error, full (never ran), lost (the process ended)."""

    attempt: int
    request: int
    how: str


class Answered(_Event, tag="answered"):
    """What the client got: a status, and for a 200 which attempt's body (-1: none that a server made).

    Status 0: the connection ended, or patience and slack did, without a whole answer.
    """

    request: int
    status: int
    attempt: int = -1
    timed_out: bool = False


class Connected(_Event, tag="connected"):
    """A connection from a copy to a server came up (`opened`) or ended."""

    copy: int
    server: int
    opened: bool


class Datagram(_Event, tag="datagram"):
    """A datagram between copies, when it was passed on or lost."""

    sender: int
    receiver: int
    size: int
    passed: bool


class Figures(_Event, tag="figures"):
    """What a copy says of itself (`/api/telemetry`)."""

    copy: int
    life: int
    pending: int
    members: int
    unavailable: int
    tier: dict[str, str] = {}


class Late(_Event, tag="late"):
    """A writer of this log was late itself: the load, or a stand-in."""

    who: str
    by: int


class Finished(_Event, tag="finished"):
    """The day was played to its end; a log without this line was cut off."""


Event = (
    Began
    | Copy
    | Server
    | Trouble
    | Told
    | Called
    | Taken
    | Unreached
    | Arrived
    | Ended
    | Answered
    | Connected
    | Datagram
    | Figures
    | Late
    | Finished
)

# At equal times, causes before effects.
_KINDS: tuple[type, ...] = (
    Began,
    Trouble,
    Server,
    Copy,
    Called,
    Told,
    Unreached,
    Taken,
    Connected,
    Arrived,
    Ended,
    Answered,
    Datagram,
    Figures,
    Late,
    Finished,
)
_ORDER: dict[type, int] = {kind: place for place, kind in enumerate(_KINDS)}
_ENCODER = msgspec.json.Encoder()
_DECODER: msgspec.json.Decoder[Event] = msgspec.json.Decoder(Event)
_BUFFER = 1 << 16
BEFORE = -(1 << 50)  # when a log begins: before everything that comes ahead of its day


class LogError(Exception):
    """A log that can't be judged."""


class Writer:
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

    def __enter__(self) -> Writer:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, fault: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()


def read(path: Path) -> Iterator[Event]:
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
                    raise LogError(f"{path}, line {number}: {fault}") from None
    except OSError as fault:
        raise LogError(f"{path}: {fault.strerror}") from None


def ordered(events: Iterable[Event]) -> list[Event]:
    """By time, and at equal times by cause."""
    return sorted(events, key=lambda each: (each.at, _ORDER[type(each)]))


def parts(folder: Path) -> list[Path]:
    """The partial logs in a folder, sorted by name."""
    return sorted(folder.glob("part-*.jsonl"))


def merge(folder: Path) -> Path:
    """Put the parts in a folder together into `log.jsonl`, as a whole or not at all; the parts go then."""
    own = parts(folder)
    fresh, whole = folder / "log.new", folder / "log.jsonl"
    fresh.unlink(missing_ok=True)
    with Writer(fresh) as writer:
        for event in ordered(event for part in own for event in read(part)):
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
            return list(read(whole))
        own = parts(path)
        if not own:
            raise LogError(f"{path}: holds no log")
        return ordered(event for part in own for event in read(part))
    return list(read(path))
