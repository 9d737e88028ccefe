"""Arbitrary legal sequences of events; the balancer's actions are checked against the rules."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from typing import Any

import pytest
from helpers import IDEMPOTENT, MS, NOT_IDEMPOTENT, START, WITH_KEY, S, server_names, settings
from hypothesis import HealthCheck, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from balancer import Balancer
from balancer.actions import CancelAttempt, CloseIdleConnections, Fail, Reject, SendAttempt, SetTimer
from balancer.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointEntry,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    Event,
    Outcome,
    RequestArrived,
    TimerFired,
)
from balancer.settings import Costs, Idempotency, IdempotencyScope, ServiceClass

SERVERS = server_names(7)
ZONES = ("east", "west")
TICK = 5 * MS
CLOSE_WITHIN = 500 * MS
CLASSES = (
    IDEMPOTENT,
    NOT_IDEMPOTENT,
    *(replace(WITH_KEY, name=f"amend-{scope.value}", idempotency_scope=scope) for scope in IdempotencyScope),
)


@dataclass
class SentAttempt:
    """An attempt, as its server and the endpoint list see it."""

    entry: EndpointEntry  # as listed when it was sent
    sent_at: int
    outcome: Outcome | None = None  # None: pending

    @property
    def is_pending(self) -> bool:
        return self.outcome is None


@dataclass
class ClientRequest:
    """A request, as its client sees it."""

    service_class: ServiceClass
    deadline: int
    is_late: bool  # too late on arrival for a response before the deadline
    attempts: list[SentAttempt] = field(default_factory=list)
    is_over: bool = False


class Referee:
    """Simulates clients, servers and discovery around one balancer and checks all of its actions."""

    def __init__(self, may_hedge: bool, max_attempts: int, seed: int, is_strict: bool) -> None:
        strict = {"full_may_have_executed": True, "close_idle_within_us": CLOSE_WITHIN}
        self.settings = settings(
            classes=CLASSES,
            limits={"hedged_requests": may_hedge, "max_attempts": max_attempts},
            guarantees=strict if is_strict else {},
            costs=Costs(cross_zone=0.03 if is_strict else 0.0),
        )
        self.not_executed = [Outcome.CONNECT_FAILED, Outcome.NOT_SENT]
        if not is_strict:
            self.not_executed.append(Outcome.FULL)
        self.close_by: dict[str, int] = {}  # latest time to close idle connections, by draining endpoint
        self.balancer = Balancer(self.settings, seed)
        self.classes = {service_class.name: service_class for service_class in self.settings.classes}
        self.now = START
        self.timers: list[tuple[int, str]] = []
        self.requests: dict[int, ClientRequest] = {}
        self.listed: dict[str, EndpointEntry] = {}
        self.next_request = 1

    # Events

    def play(self, event: Event) -> None:
        actions = self.balancer.handle(self.now, event)
        self.check_zone_latency()
        for action in actions:
            match action:
                case SendAttempt():
                    self.check_attempt(action)
                case Reject() | Fail():
                    self.check_final_response(action)
                case CancelAttempt():
                    assert action.attempt < len(self.requests[action.request].attempts)
                case CloseIdleConnections():
                    self.close_by.pop(action.server, None)
                case SetTimer():
                    self.timers.append((self.now + action.delay_us, action.token))
                case _:
                    pass
        self.check_counts()

    def arrive(self, class_name: str, remaining_us: int) -> None:
        number, self.next_request = self.next_request, self.next_request + 1
        self.requests[number] = ClientRequest(
            self.classes[class_name], self.now + remaining_us, is_late=remaining_us <= 2 * TICK
        )
        self.play(RequestArrived(number, class_name, None, None, remaining_us))

    def end(self, choice: int, outcome: Outcome) -> None:
        """End one of the pending attempts."""
        pending = [
            (number, index)
            for number, request in self.requests.items()
            for index, attempt in enumerate(request.attempts)
            if attempt.is_pending
        ]
        if not pending:
            return
        number, index = pending[choice % len(pending)]
        request = self.requests[number]
        attempt = request.attempts[index]
        attempt.outcome = outcome
        if outcome is Outcome.DELIVERED:
            request.is_over = True
        server = attempt.entry.server
        self.note_use(server)
        self.play(AttemptEnded(number, index, server, outcome, self.now - attempt.sent_at, request.is_over))

    def note_use(self, server: str) -> None:
        """Note that a connection may be idle from now on, or that its endpoint changed its state."""
        is_required = self.settings.guarantees.close_idle_within_us is not None
        if is_required and self.listed[server].state is not EndpointState.READY:
            self.close_by[server] = self.now + CLOSE_WITHIN
        else:
            self.close_by.pop(server, None)

    def disconnect(self, choice: int) -> None:
        """Disconnect the client of one of the requests without a final response."""
        open_requests = [number for number, request in self.requests.items() if not request.is_over]
        if open_requests:
            number = open_requests[choice % len(open_requests)]
            self.requests[number].is_over = True
            self.play(ClientDisconnected(number))

    def receive_list(self, kind: EndpointListKind, entries: Sequence[EndpointEntry]) -> None:
        before = {name: entry.state for name, entry in self.listed.items()}
        if kind is not EndpointListKind.CHANGES:
            for entry in self.listed.values():
                entry.state = EndpointState.GONE
        for entry in entries:
            self.listed[entry.server] = entry
        for name, entry in self.listed.items():
            if entry.state is not before.get(name):
                self.note_use(name)
        self.play(EndpointListReceived(kind, entries, 1))

    def wait(self, span_us: int) -> None:
        until = self.now + span_us
        while self.timers and min(self.timers)[0] <= until:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            self.play(TimerFired(due[1]))
            self.check_deadlines()
        self.now = until
        self.check_deadlines()

    # Checks

    def may_have_executed(self, request: ClientRequest) -> list[SentAttempt]:
        return [attempt for attempt in request.attempts if attempt.outcome not in self.not_executed]

    def check_attempt(self, action: SendAttempt) -> None:
        request = self.requests[action.request]
        assert not request.is_over, "sent after the final response"
        assert self.now < request.deadline, "sent after the deadline"
        entry = self.listed[action.server]
        assert entry.state is EndpointState.READY, "sent to a draining or gone endpoint"
        assert len(request.attempts) < self.settings.limits.max_attempts, "more attempts than allowed"
        if not self.settings.limits.hedged_requests:
            assert not any(attempt.is_pending for attempt in request.attempts), "two attempts at once"
        self.check_retry(request, entry)
        request.attempts.append(SentAttempt(entry, self.now))

    def check_retry(self, request: ClientRequest, entry: EndpointEntry) -> None:
        executed = self.may_have_executed(request)
        service_class = request.service_class
        if not executed or service_class.idempotency is Idempotency.IDEMPOTENT:
            return
        assert service_class.idempotency is Idempotency.WITH_KEY, "retried without being idempotent"
        window_us = service_class.idempotency_window_us
        assert self.now < executed[0].sent_at + window_us, "retried after servers forgot the key"
        for attempt in executed:
            if service_class.idempotency_scope is IdempotencyScope.ZONE:
                assert attempt.entry.zone == entry.zone, "retried in another zone"
            if service_class.idempotency_scope is IdempotencyScope.CELL:
                assert attempt.entry.cell == entry.cell, "retried in another cell"

    def check_final_response(self, action: Reject | Fail) -> None:
        request = self.requests[action.request]
        assert not request.is_over, "two final responses"
        assert self.now < request.deadline or request.is_late, "answered after the deadline"
        service_class = request.service_class
        if isinstance(action, Reject) and service_class.idempotency is not Idempotency.IDEMPOTENT:
            is_safe_anywhere = (
                service_class.idempotency is Idempotency.WITH_KEY
                and service_class.idempotency_scope is IdempotencyScope.ALL
            )
            assert is_safe_anywhere or not self.may_have_executed(request), "rejected, yet maybe executed"
        request.is_over = True

    def check_deadlines(self) -> None:
        for server, latest in self.close_by.items():
            assert self.now <= latest, f"idle connections to {server} are still open"
        for request in self.requests.values():
            assert request.is_over or self.now < request.deadline, "a request was left unanswered"

    def check_counts(self) -> None:
        """Check the count of attempts in flight of every endpoint."""
        in_flight = dict.fromkeys(SERVERS, 0)
        for request in self.requests.values():
            for attempt in request.attempts:
                in_flight[attempt.entry.server] += attempt.is_pending
        for name, endpoint in self.balancer._endpoints.by_name.items():
            assert endpoint.in_flight == in_flight[name]

    def check_zone_latency(self) -> None:
        """Check the cached sums of relative latency by zone against the endpoints' values."""
        endpoints = self.balancer._endpoints
        zones = endpoints._zone_latency
        if zones is None:
            return
        for is_local, total, count in (
            (True, zones.local_sum, zones.local_count),
            (False, zones.remote_sum, zones.remote_count),
        ):
            latencies = [
                endpoint.relative_latency
                for endpoint in endpoints.available
                if endpoint.ejected_until is None and (endpoint.zone == self.settings.zone) == is_local
            ]
            assert [total, count] == pytest.approx([sum(latencies), len(latencies)])


entries = st.builds(
    EndpointEntry,
    server=st.sampled_from(SERVERS),
    zone=st.sampled_from(ZONES),
    machine_type=st.just("box"),
    cell=st.integers(0, 2),
    state=st.sampled_from(
        [EndpointState.READY, EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE]
    ),
    nominal_capacity=st.sampled_from([0.0, 1.0, 3.0]),
    started_at=st.sampled_from([None, START - 5 * S, START, START + 2 * S]),
)
arrivals = st.tuples(
    st.just("arrive"),
    st.sampled_from([service_class.name for service_class in CLASSES]),
    st.integers(1, 2_500).map(lambda ms: ms * MS),
)
steps = st.one_of(
    arrivals,
    arrivals,
    st.tuples(st.just("end"), st.integers(0, 50), st.sampled_from(list(Outcome))),
    st.tuples(st.just("end"), st.integers(0, 50), st.just(Outcome.DELIVERED)),
    st.tuples(st.just("end"), st.integers(0, 50), st.just(Outcome.FULL)),
    st.tuples(st.just("disconnect"), st.integers(0, 50)),
    st.tuples(st.just("wait"), st.integers(1, 1_500).map(lambda ms: ms * MS)),
    st.tuples(
        st.just("list"),
        st.sampled_from([EndpointListKind.CHANGES, EndpointListKind.COMPLETE, EndpointListKind.FAILED]),
        st.lists(entries, max_size=5, unique_by=lambda entry: entry.server),
    ),
)


@hypothesis_settings(
    max_examples=500, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck)
)
@given(
    st.booleans(),
    st.booleans(),
    st.integers(0, 4),
    st.integers(0, 1_000),
    st.lists(steps, min_size=5, max_size=60),
)
def test_no_sequence_of_events_breaks_a_rule(
    is_strict: bool, may_hedge: bool, max_attempts: int, seed: int, script: list[Any]
) -> None:
    referee = Referee(may_hedge, max_attempts, seed, is_strict)
    ready = [EndpointEntry(name, "east", "box", index % 3) for index, name in enumerate(SERVERS)]
    referee.receive_list(EndpointListKind.CACHED, ready)
    for step in script:
        match step:
            case ("arrive", name, remaining):
                referee.arrive(name, remaining)
            case ("end", choice, outcome):
                referee.end(choice, outcome)
            case ("disconnect", choice):
                referee.disconnect(choice)
            case ("wait", span):
                referee.wait(span)
            case ("list", kind, changed):
                if kind is EndpointListKind.FAILED:
                    referee.play(EndpointListReceived(kind))
                else:
                    referee.receive_list(kind, changed)
    referee.wait(4 * S)
