"""A log put in order by subject: requests and their attempts, copies and their lives, starts of servers."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from testbed import events as log
from testbed.scenario.scenario_run import ScenarioRun

_ENDS = ("killed", "ended")


@dataclass(slots=True)
class Attempt:
    """One attempt as servers saw it."""

    received: log.AttemptReceived
    outcome: str | None = None  # None: the log does not tell
    ended_at_us: int | None = None


@dataclass(slots=True)
class Request:
    """One try of a client."""

    sent: log.RequestSent | None = None
    not_sent: bool = False
    response: log.ResponseReceived | None = None
    response_count: int = 0
    attempts: list[Attempt] = field(default_factory=list)  # in the order they left the copy

    def may_have_executed(self) -> list[Attempt]:
        """The attempts that a server may have processed: all that it did not reject as full."""
        return [attempt for attempt in self.attempts if attempt.outcome != "full"]


@dataclass(slots=True)
class ProcessIncarnation:
    """A process of a copy, as far as the log goes; times that did not come are None."""

    replica: int
    incarnation: int
    ready_at_us: int | None = None
    stopping_at_us: int | None = None
    killed_at_us: int | None = None
    ended_at_us: int | None = None
    exit_code: int | None = None


@dataclass(slots=True)
class History:
    """Everything of one day."""

    run: ScenarioRun
    engine: str
    variant: str
    requests: dict[int, Request]
    client_requests: dict[int, list[int]]  # requests by the first try that they belong to, in order
    not_sent: dict[int, log.RequestNotSent]  # by first try, where its first request was
    incarnations: dict[tuple[int, int], ProcessIncarnation]
    pauses: dict[int, list[tuple[int, int]]]  # of copies
    server_starts: dict[int, list[int]]  # of servers, after the day's beginning
    delivered_lists: dict[int, list[log.EndpointListDelivered]]  # to copies, in order
    writer_delays: list[log.WriterLate]
    connection_changes: list[log.ConnectionChanged]
    datagrams: list[log.DatagramSent]
    metrics_reports: list[log.MetricsReported]
    fault_changes: list[log.FaultChanged]
    last_at_us: int
    is_complete: bool


def build_history(events: Iterable[log.Event]) -> History:
    """Read a log; raise LogError where it does not begin with its day."""
    own = iter(events)
    began = next(own, None)
    if not isinstance(began, log.RunStarted):
        raise log.EventLogError("the log does not begin with its day")
    return _Gathering(began).build(own)


class _Gathering:
    """The pass over a log.  A request's events may come in any order among writers."""

    def __init__(self, began: log.RunStarted) -> None:
        self._requests: defaultdict[int, Request] = defaultdict(Request)
        self._attempts: dict[int, Attempt] = {}
        self._ends: dict[int, log.AttemptEnded] = {}
        self._paused: dict[int, int] = {}
        self._out = History(
            run=began.run,
            engine=began.engine,
            variant=began.variant,
            requests=self._requests,
            client_requests=defaultdict(list),
            not_sent={},
            incarnations={},
            pauses=defaultdict(list),
            server_starts=defaultdict(list),
            delivered_lists=defaultdict(list),
            writer_delays=[],
            connection_changes=[],
            datagrams=[],
            metrics_reports=[],
            fault_changes=[],
            last_at_us=0,
            is_complete=False,
        )

    def build(self, events: Iterable[log.Event]) -> History:
        out = self._out
        for event in events:
            out.last_at_us = max(out.last_at_us, event.at_us)
            self._add(event)
        for copy, since in self._paused.items():
            out.pauses[copy].append((since, out.last_at_us))
        for number, ended in self._ends.items():
            attempt = self._attempts.get(number)
            if attempt is not None:
                attempt.outcome, attempt.ended_at_us = ended.outcome, ended.at_us
        for request in self._requests.values():
            request.attempts.sort(key=lambda attempt: (attempt.received.sent_at_us, attempt.received.attempt))
        return out

    def _add(self, event: log.Event) -> None:
        out = self._out
        match event:
            case (
                log.RequestSent()
                | log.RequestNotSent()
                | log.AttemptReceived()
                | log.AttemptEnded()
                | log.ResponseReceived()
            ):
                self._add_request_event(event)
            case log.ReplicaStateChanged():
                self._add_replica_event(event)
            case log.ServerStateChanged(state="up"):
                out.server_starts[event.server].append(event.at_us)
            case log.EndpointListDelivered():
                out.delivered_lists[event.replica].append(event)
            case log.WriterLate():
                out.writer_delays.append(event)
            case log.ConnectionChanged():
                out.connection_changes.append(event)
            case log.DatagramSent():
                out.datagrams.append(event)
            case log.MetricsReported():
                out.metrics_reports.append(event)
            case log.FaultChanged():
                out.fault_changes.append(event)
            case log.RunFinished():
                out.is_complete = True
            case _:
                pass

    def _add_request_event(
        self,
        event: log.RequestSent
        | log.RequestNotSent
        | log.AttemptReceived
        | log.AttemptEnded
        | log.ResponseReceived,
    ) -> None:
        out = self._out
        match event:
            case log.RequestSent():
                request = self._requests[event.request]
                if request.sent is None:  # else it crossed a close, and was sent once more
                    out.client_requests[event.client_request].append(event.request)
                request.sent = event
            case log.RequestNotSent():
                self._requests[event.request].not_sent = True
                out.not_sent.setdefault(event.client_request, event)
                out.client_requests[event.client_request].append(event.request)
            case log.AttemptReceived():
                attempt = self._attempts[event.attempt] = Attempt(event)
                self._requests[event.request].attempts.append(attempt)
            case log.AttemptEnded():
                self._ends.setdefault(event.attempt, event)
            case log.ResponseReceived():
                request = self._requests[event.request]
                request.response_count += 1
                request.response = request.response or event

    def _add_replica_event(self, event: log.ReplicaStateChanged) -> None:
        if event.state == "paused":
            self._paused.setdefault(event.replica, event.at_us)
        elif event.state == "resumed" or event.state in _ENDS:
            since = self._paused.pop(event.replica, None)
            if since is not None:
                self._out.pauses[event.replica].append((since, event.at_us))
        key = event.replica, event.incarnation
        life = self._out.incarnations.setdefault(key, ProcessIncarnation(event.replica, event.incarnation))
        if event.state in ("ready", "stopping", "killed", "ended"):
            setattr(life, f"{event.state}_at_us", event.at_us)
        if event.state == "ended":
            life.exit_code = event.exit_code
