"""Drives one balancer by scripted events in virtual time and records its actions."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import Any, TypeVar

from balancer import Balancer, Settings
from balancer.actions import Action, SendAttempt, SetTimer
from balancer.events import (
    AttemptEnded,
    EndpointEntry,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    Event,
    Outcome,
    RequestArrived,
    TimerFired,
)
from balancer.settings import Guarantees, Idempotency, IdempotencyScope, Limits, ServiceClass

MS = 1_000
S = 1_000_000
START = 50 * S

IDEMPOTENT = ServiceClass(
    "look",
    deadline_us=2 * S,
    latency_objective_us=500 * MS,
    priority_weight=1.0,
    idempotency=Idempotency.IDEMPOTENT,
)
NOT_IDEMPOTENT = ServiceClass(
    "pay",
    deadline_us=2 * S,
    latency_objective_us=500 * MS,
    priority_weight=10.0,
    idempotency=Idempotency.NOT_IDEMPOTENT,
)
WITH_KEY = ServiceClass(
    "amend",
    deadline_us=4 * S,
    latency_objective_us=500 * MS,
    priority_weight=3.0,
    idempotency=Idempotency.WITH_KEY,
    idempotency_scope=IdempotencyScope.CELL,
    idempotency_window_us=2 * S,
)
LIMITS = Limits(max_attempts=5, hedged_requests=True, may_cancel_attempts=True)
GUARANTEES = Guarantees(
    slow_start_initial_capacity=0.2,
    slow_start_us=10 * S,
    drain_grace_us=500 * MS,
    overload_multiple=3.0,
    overload_window_us=2 * S,
    max_poll_interval_us=10 * S,
)

_Action = TypeVar("_Action")


def settings(
    *,
    limits: Mapping[str, Any] | None = None,
    guarantees: Mapping[str, Any] | None = None,
    **fields: Any,
) -> Settings:
    """Return settings of a permissive deployment; `limits` and `guarantees` override single fields."""
    return replace(
        Settings(classes=(IDEMPOTENT, NOT_IDEMPOTENT, WITH_KEY), zone="east", clock_resolution_us=5 * MS),
        limits=replace(LIMITS, **(limits or {})),
        guarantees=replace(GUARANTEES, **(guarantees or {})),
        **fields,
    )


def server_names(count: int) -> list[str]:
    return [f"10.0.0.{number}:80" for number in range(1, count + 1)]


class BalancerDriver:
    """Passes events to one balancer and records its actions; timers fire as time is advanced by `wait`."""

    def __init__(self, balancer_settings: Settings | None = None, seed: int = 7, now: int = START) -> None:
        self.now = now
        self.balancer = Balancer(balancer_settings or settings(), seed)
        self.actions: list[tuple[int, Action]] = []  # with the time of each
        self._timers: list[tuple[int, str]] = []  # due time, token
        self._next_request = 1

    def handle(self, event: Event) -> list[Action]:
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            self.actions.append((self.now, action))
            if isinstance(action, SetTimer):
                self._timers.append((self.now + action.delay_us, action.token))
        return actions

    def receive_list(
        self, listed: Iterable[str | EndpointEntry], kind: EndpointListKind = EndpointListKind.COMPLETE
    ) -> list[Action]:
        """Receive an endpoint list; a name alone stands for a ready endpoint in the balancer's zone."""
        entries = [EndpointEntry(item, zone="east") if isinstance(item, str) else item for item in listed]
        return self.handle(EndpointListReceived(kind, entries, 1))

    def drain(self, server: str) -> list[Action]:
        return self.set_state(server, EndpointState.DRAINING)

    def set_state(self, server: str, state: EndpointState) -> list[Action]:
        return self.receive_list([EndpointEntry(server, zone="east", state=state)], EndpointListKind.CHANGES)

    def start_request(
        self, class_name: str = "look", remaining_us: int = 2 * S, cost_us: int | None = None
    ) -> int:
        """Let a request arrive; return its number."""
        number, self._next_request = self._next_request, self._next_request + 1
        self.handle(RequestArrived(number, class_name, None, None, remaining_us, cost_us))
        return number

    def end_attempt(
        self,
        request: int,
        outcome: Outcome = Outcome.DELIVERED,
        attempt: int | None = None,
        answered: bool | None = None,
        report: dict[str, float] | None = None,
    ) -> list[Action]:
        """End an attempt of a request, by default the last one."""
        sent = self.sent_attempts(request)
        index = len(sent) - 1 if attempt is None else attempt
        sent_at, action = sent[index]
        is_answered = outcome is Outcome.DELIVERED if answered is None else answered
        elapsed_us = self.now - sent_at
        return self.handle(
            AttemptEnded(request, index, action.server, outcome, elapsed_us, is_answered, report)
        )

    def wait(self, span_us: int) -> None:
        """Advance the time; timers fire when they are due."""
        until = self.now + span_us
        while True:
            due = sorted(timer for timer in self._timers if timer[0] <= until)
            if not due:
                break
            self._timers.remove(due[0])
            self.now = max(self.now, due[0][0])
            self.handle(TimerFired(due[0][1]))
        self.now = until

    def sent_attempts(self, request: int | None = None) -> list[tuple[int, SendAttempt]]:
        """Return the attempts of all requests, or of one request, with the time of sending."""
        return [
            (at, action)
            for at, action in self.actions
            if isinstance(action, SendAttempt) and (request is None or action.request == request)
        ]

    def targets(self, request: int | None = None) -> list[str]:
        """Return the endpoints of all attempts, or of one request's attempts, in the order of sending."""
        return [attempt.server for _, attempt in self.sent_attempts(request)]

    def target(self, request: int) -> str:
        """Return the endpoint of a request's last attempt."""
        return self.sent_attempts(request)[-1][1].server

    def actions_of(self, kind: type[_Action]) -> list[_Action]:
        return [action for _, action in self.actions if isinstance(action, kind)]

    def serve_traffic(
        self, count: int, every_us: int = 20 * MS, taking_us: int = 50 * MS, class_name: str = "look"
    ) -> None:
        """Play healthy traffic: requests at even intervals, all answered after the same time."""
        pending: list[tuple[int, int]] = []
        for _ in range(count):
            self.wait(every_us)
            pending.append((self.now + taking_us, self.start_request(class_name)))
            while pending and pending[0][0] <= self.now:
                request = pending.pop(0)[1]
                if self.sent_attempts(request):
                    self.end_attempt(request)
        for _, request in pending:
            self.wait(every_us)
            if self.sent_attempts(request):
                self.end_attempt(request)


def serve_singly(
    driver: BalancerDriver, count: int, taking_us: int = 50 * MS, every_us: int = 400 * MS
) -> None:
    """Play traffic of a small balancer: every request is answered before the next one arrives."""
    for _ in range(count):
        request = driver.start_request()
        driver.wait(taking_us)
        if driver.sent_attempts(request):
            driver.end_attempt(request)
        driver.wait(every_us - taking_us)


def endpoints_in_two_cells() -> list[EndpointEntry]:
    return [EndpointEntry(name, zone="east", cell=index % 2) for index, name in enumerate(server_names(8))]
