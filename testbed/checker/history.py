"""A log put in order by subject: requests and their attempts, copies and their lives, starts of servers."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from testbed import events as log
from testbed.scenario.day import Day

_ENDS = ("killed", "ended")


@dataclass(slots=True)
class Attempt:
    """One attempt as servers saw it."""

    arrived: log.Arrived
    how: str | None = None  # None: the log does not tell
    ended_at: int | None = None


@dataclass(slots=True)
class Request:
    """One try of a client."""

    taken: log.Taken | None = None
    unreached: bool = False
    answered: log.Answered | None = None
    answers: int = 0
    attempts: list[Attempt] = field(default_factory=list)  # in the order they left the copy

    def may_have_run(self) -> list[Attempt]:
        """The attempts that a server may have processed: all that it did not reject as full."""
        return [attempt for attempt in self.attempts if attempt.how != "full"]


@dataclass(slots=True)
class Life:
    """A process of a copy, as far as the log goes; times that did not come are None."""

    copy: int
    life: int
    ready: int | None = None
    stopping: int | None = None
    killed: int | None = None
    ended: int | None = None
    code: int | None = None


@dataclass(slots=True)
class History:
    """Everything of one day."""

    day: Day
    engine: str
    variant: str
    requests: dict[int, Request]
    first_tries: dict[int, list[int]]  # requests by the first try that they belong to, in order
    unreached: dict[int, log.Unreached]  # by first try, where its first request was
    lives: dict[tuple[int, int], Life]
    pauses: dict[int, list[tuple[int, int]]]  # of copies
    starts: dict[int, list[int]]  # of servers, after the day's beginning
    told: dict[int, list[log.Told]]  # to copies, in order
    late: list[log.Late]
    connected: list[log.Connected]
    datagrams: list[log.Datagram]
    figures: list[log.Figures]
    troubles: list[log.Trouble]
    last_at: int
    is_complete: bool


def gather(events: Iterable[log.Event]) -> History:
    """Read a log; raise LogError where it does not begin with its day."""
    own = iter(events)
    began = next(own, None)
    if not isinstance(began, log.Began):
        raise log.LogError("the log does not begin with its day")
    return _Gathering(began).all(own)


class _Gathering:
    """The pass over a log.  A request's events may come in any order among writers."""

    def __init__(self, began: log.Began) -> None:
        self._requests: defaultdict[int, Request] = defaultdict(Request)
        self._attempts: dict[int, Attempt] = {}
        self._ends: dict[int, log.Ended] = {}
        self._paused: dict[int, int] = {}
        self._out = History(
            day=began.day,
            engine=began.engine,
            variant=began.variant,
            requests=self._requests,
            first_tries=defaultdict(list),
            unreached={},
            lives={},
            pauses=defaultdict(list),
            starts=defaultdict(list),
            told=defaultdict(list),
            late=[],
            connected=[],
            datagrams=[],
            figures=[],
            troubles=[],
            last_at=0,
            is_complete=False,
        )

    def all(self, events: Iterable[log.Event]) -> History:
        out = self._out
        for event in events:
            out.last_at = max(out.last_at, event.at)
            self._add(event)
        for copy, since in self._paused.items():
            out.pauses[copy].append((since, out.last_at))
        for number, ended in self._ends.items():
            attempt = self._attempts.get(number)
            if attempt is not None:
                attempt.how, attempt.ended_at = ended.how, ended.at
        for request in self._requests.values():
            request.attempts.sort(key=lambda attempt: (attempt.arrived.sent, attempt.arrived.attempt))
        return out

    def _add(self, event: log.Event) -> None:
        out = self._out
        match event:
            case log.Taken() | log.Unreached() | log.Arrived() | log.Ended() | log.Answered():
                self._add_request_event(event)
            case log.Copy():
                self._add_replica_event(event)
            case log.Server(what="up"):
                out.starts[event.server].append(event.at)
            case log.Told():
                out.told[event.copy].append(event)
            case log.Late():
                out.late.append(event)
            case log.Connected():
                out.connected.append(event)
            case log.Datagram():
                out.datagrams.append(event)
            case log.Figures():
                out.figures.append(event)
            case log.Trouble():
                out.troubles.append(event)
            case log.Finished():
                out.is_complete = True
            case _:
                pass

    def _add_request_event(
        self, event: log.Taken | log.Unreached | log.Arrived | log.Ended | log.Answered
    ) -> None:
        out = self._out
        match event:
            case log.Taken():
                request = self._requests[event.request]
                if request.taken is None:  # else it crossed a close, and was sent once more
                    out.first_tries[event.first].append(event.request)
                request.taken = event
            case log.Unreached():
                self._requests[event.request].unreached = True
                out.unreached.setdefault(event.first, event)
                out.first_tries[event.first].append(event.request)
            case log.Arrived():
                attempt = self._attempts[event.attempt] = Attempt(event)
                self._requests[event.request].attempts.append(attempt)
            case log.Ended():
                self._ends.setdefault(event.attempt, event)
            case log.Answered():
                request = self._requests[event.request]
                request.answers += 1
                request.answered = request.answered or event

    def _add_replica_event(self, event: log.Copy) -> None:
        if event.what == "paused":
            self._paused.setdefault(event.copy, event.at)
        elif event.what == "resumed" or event.what in _ENDS:
            since = self._paused.pop(event.copy, None)
            if since is not None:
                self._out.pauses[event.copy].append((since, event.at))
        key = event.copy, event.life
        life = self._out.lives.setdefault(key, Life(event.copy, event.life))
        if event.what in ("ready", "stopping", "killed", "ended"):
            setattr(life, event.what, event.at)
        if event.what == "ended":
            life.code = event.code
