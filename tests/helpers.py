"""Plays scripted events to one balancer and records its actions."""

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
    """Settings of a permissive deployment; `limits` and `guarantees` change single fields of theirs."""
    return replace(
        Settings(classes=(IDEMPOTENT, NOT_IDEMPOTENT, WITH_KEY), zone="east", clock_resolution_us=5 * MS),
        limits=replace(LIMITS, **(limits or {})),
        guarantees=replace(GUARANTEES, **(guarantees or {})),
        **fields,
    )


def names(count: int) -> list[str]:
    return [f"10.0.0.{number}:80" for number in range(1, count + 1)]


class Stage:
    """Plays events to one balancer; timers fire by themselves as time moves on."""

    def __init__(self, given: Settings | None = None, seed: int = 7, now: int = START) -> None:
        self.now = now
        self.balancer = Balancer(given or settings(), seed)
        self.log: list[tuple[int, Action]] = []
        self._timers: list[tuple[int, str]] = []
        self._next = 1

    def play(self, event: Event) -> list[Action]:
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            self.log.append((self.now, action))
            if isinstance(action, SetTimer):
                self._timers.append((self.now + action.delay_us, action.token))
        return actions

    def servers(
        self, listed: Iterable[str | EndpointEntry], kind: EndpointListKind = EndpointListKind.COMPLETE
    ) -> list[Action]:
        entries = [EndpointEntry(item, zone="east") if isinstance(item, str) else item for item in listed]
        return self.play(EndpointListReceived(kind, entries, 1))

    def drain(self, server: str, state: EndpointState = EndpointState.DRAINING) -> list[Action]:
        return self.servers([EndpointEntry(server, zone="east", state=state)], EndpointListKind.CHANGES)

    def request(self, name: str = "look", remaining_us: int = 2 * S, cost_us: int | None = None) -> int:
        number, self._next = self._next, self._next + 1
        self.play(RequestArrived(number, name, None, None, remaining_us, cost_us))
        return number

    def end(
        self,
        request: int,
        outcome: Outcome = Outcome.DELIVERED,
        attempt: int | None = None,
        answered: bool | None = None,
        report: dict[str, float] | None = None,
    ) -> list[Action]:
        sends = self.sends(request)
        index = len(sends) - 1 if attempt is None else attempt
        sent_at, send = sends[index]
        done = outcome is Outcome.DELIVERED if answered is None else answered
        took = self.now - sent_at
        return self.play(AttemptEnded(request, index, send.server, outcome, took, done, report))

    def wait(self, span_us: int) -> None:
        """Let time pass; due timers fire on the way."""
        until = self.now + span_us
        while True:
            due = sorted(timer for timer in self._timers if timer[0] <= until)
            if not due:
                break
            self._timers.remove(due[0])
            self.now = max(self.now, due[0][0])
            self.play(TimerFired(due[0][1]))
        self.now = until

    def sends(self, request: int | None = None) -> list[tuple[int, SendAttempt]]:
        return [
            (at, action)
            for at, action in self.log
            if isinstance(action, SendAttempt) and (request is None or action.request == request)
        ]

    def targets(self, request: int | None = None) -> list[str]:
        """The endpoints of all attempts, or of one request's, in the order they were sent."""
        return [attempt.server for _, attempt in self.sends(request)]

    def target(self, request: int) -> str:
        return self.sends(request)[-1][1].server

    def said(self, kind: type[_Action]) -> list[_Action]:
        return [action for _, action in self.log if isinstance(action, kind)]

    def serve(
        self, count: int, every_us: int = 20 * MS, taking_us: int = 50 * MS, name: str = "look"
    ) -> None:
        """Healthy traffic: requests at even intervals, all answered after the same time."""
        pending: list[tuple[int, int]] = []
        for _ in range(count):
            self.wait(every_us)
            pending.append((self.now + taking_us, self.request(name)))
            while pending and pending[0][0] <= self.now:
                done = pending.pop(0)[1]
                if self.sends(done):
                    self.end(done)
        for _, done in pending:
            self.wait(every_us)
            if self.sends(done):
                self.end(done)


def serve_singly(stage: Stage, count: int, taking_us: int = 50 * MS, every_us: int = 400 * MS) -> None:
    """Traffic of a small balancer: every request is answered before the next arrives."""
    for _ in range(count):
        request = stage.request()
        stage.wait(taking_us)
        if stage.sends(request):
            stage.end(request)
        stage.wait(every_us - taking_us)


def cells() -> list[EndpointEntry]:
    return [EndpointEntry(name, zone="east", cell=index % 2) for index, name in enumerate(names(8))]
