"""The events of a log, ordered by what they concern: requests, replica processes, servers and lists."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from testbed import events as log
from testbed.scenario.scenario_run import ScenarioRun

_EXITS = ("killed", "ended")


@dataclass(slots=True)
class Attempt:
    """One attempt of a replica, as a server received and ended it."""

    received: log.AttemptReceived
    outcome: str | None = None  # None: its end is not in the log
    ended_at_us: int | None = None


@dataclass(slots=True)
class Request:
    """One attempt of a client: a request to a replica."""

    sent: log.RequestSent | None = None
    not_sent: bool = False
    response: log.ResponseReceived | None = None  # the first one
    response_count: int = 0
    attempts: list[Attempt] = field(default_factory=list)  # in the order in which the replica sent them

    def may_have_executed(self) -> list[Attempt]:
        """Return the attempts that a server may have executed: all that it did not reject as full."""
        return [attempt for attempt in self.attempts if attempt.outcome != "full"]


@dataclass(slots=True)
class ProcessIncarnation:
    """A process of a replica; the time of a state that is not in the log is None."""

    replica: int
    incarnation: int
    ready_at_us: int | None = None
    stopping_at_us: int | None = None
    killed_at_us: int | None = None
    ended_at_us: int | None = None
    exit_code: int | None = None


@dataclass(slots=True)
class History:
    """All that a log says about one run."""

    run: ScenarioRun
    engine: str
    variant: str
    requests: dict[int, Request]  # by request number
    client_requests: dict[int, list[int]]  # request numbers by client request: first attempt and retries
    not_sent: dict[int, log.RequestNotSent]  # by client request: its first attempt that could not be sent
    incarnations: dict[tuple[int, int], ProcessIncarnation]  # by replica and incarnation
    pauses: dict[int, list[tuple[int, int]]]  # start and end of each, by replica
    server_starts: dict[int, list[int]]  # by server, without the start before the run
    delivered_lists: dict[int, list[log.EndpointListDelivered]]  # by replica, in order
    writer_delays: list[log.WriterLate]
    connection_changes: list[log.ConnectionChanged]
    datagrams: list[log.DatagramSent]
    metrics_reports: list[log.MetricsReported]
    fault_changes: list[log.FaultChanged]
    last_at_us: int
    is_complete: bool  # the run was played to its end


def build_history(events: Iterable[log.Event]) -> History:
    """Build the history of a run from the events of its log.

    Raises:
        EventLogError: The first event is not the start of a run.
    """
    remaining = iter(events)
    start = next(remaining, None)
    if not isinstance(start, log.RunStarted):
        raise log.EventLogError("the first event of the log is not the start of a run")
    return _HistoryBuilder(start).build(remaining)


class _HistoryBuilder:
    """One pass over a log.  The events of a request may come in any order, as several writers log them."""

    def __init__(self, start: log.RunStarted) -> None:
        self._requests: defaultdict[int, Request] = defaultdict(Request)
        self._attempts: dict[int, Attempt] = {}
        self._attempt_ends: dict[int, log.AttemptEnded] = {}
        self._paused_since: dict[int, int] = {}  # by replica
        self._history = History(
            run=start.run,
            engine=start.engine,
            variant=start.variant,
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
        history = self._history
        for event in events:
            history.last_at_us = max(history.last_at_us, event.at_us)
            self._add(event)
        for replica, since_us in self._paused_since.items():
            history.pauses[replica].append((since_us, history.last_at_us))
        for number, end in self._attempt_ends.items():
            attempt = self._attempts.get(number)
            if attempt is not None:
                attempt.outcome, attempt.ended_at_us = end.outcome, end.at_us
        for request in self._requests.values():
            request.attempts.sort(key=lambda attempt: (attempt.received.sent_at_us, attempt.received.attempt))
        return history

    def _add(self, event: log.Event) -> None:
        history = self._history
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
                history.server_starts[event.server].append(event.at_us)
            case log.EndpointListDelivered():
                history.delivered_lists[event.replica].append(event)
            case log.WriterLate():
                history.writer_delays.append(event)
            case log.ConnectionChanged():
                history.connection_changes.append(event)
            case log.DatagramSent():
                history.datagrams.append(event)
            case log.MetricsReported():
                history.metrics_reports.append(event)
            case log.FaultChanged():
                history.fault_changes.append(event)
            case log.RunFinished():
                history.is_complete = True
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
        history = self._history
        match event:
            case log.RequestSent():
                request = self._requests[event.request]
                # A request that crossed the closing of its connection is sent again, under the same number.
                if request.sent is None:
                    history.client_requests[event.client_request].append(event.request)
                request.sent = event
            case log.RequestNotSent():
                self._requests[event.request].not_sent = True
                history.not_sent.setdefault(event.client_request, event)
                history.client_requests[event.client_request].append(event.request)
            case log.AttemptReceived():
                attempt = self._attempts[event.attempt] = Attempt(event)
                self._requests[event.request].attempts.append(attempt)
            case log.AttemptEnded():
                self._attempt_ends.setdefault(event.attempt, event)
            case log.ResponseReceived():
                request = self._requests[event.request]
                request.response_count += 1
                request.response = request.response or event

    def _add_replica_event(self, event: log.ReplicaStateChanged) -> None:
        if event.state == "paused":
            self._paused_since.setdefault(event.replica, event.at_us)
        elif event.state == "resumed" or event.state in _EXITS:
            since_us = self._paused_since.pop(event.replica, None)
            if since_us is not None:
                self._history.pauses[event.replica].append((since_us, event.at_us))
        process = self._history.incarnations.setdefault(
            (event.replica, event.incarnation), ProcessIncarnation(event.replica, event.incarnation)
        )
        if event.state in ("ready", "stopping", "killed", "ended"):
            setattr(process, f"{event.state}_at_us", event.at_us)
        if event.state == "ended":
            process.exit_code = event.exit_code
