"""The order in which events reach the balancer, and the handling of its exceptions."""

from __future__ import annotations

from collections.abc import Callable
from typing import cast

import pytest

from balancer import Balancer
from balancer.actions import Action, Log
from balancer.events import ClientDisconnected, Event, TimerFired
from sidecar.clock import Clock
from sidecar.event_dispatcher import EventDispatcher
from sidecar.log_events import InternalError, LogEvent
from sidecar.metrics import Metrics
from sidecar.open_requests import OpenRequests
from sidecar.shutdown_state import ShutdownState

Handler = Callable[[Event], list[Action]]


class ScriptedBalancer:
    """A balancer whose actions are returned by a function."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler

    def handle(self, now: int, event: Event) -> list[Action]:
        return self._handler(event)


def create_dispatcher(handler: Handler, log: list[LogEvent]) -> EventDispatcher:
    requests = OpenRequests(Metrics([]), lambda attempt: None)
    return EventDispatcher(cast(Balancer, ScriptedBalancer(handler)), Clock(), requests, log.append)


def test_event_dispatched_by_an_action_is_handled_after_all_actions() -> None:
    steps: list[str] = []

    def handle(event: Event) -> list[Action]:
        steps.append(f"handle {cast(TimerFired, event).token}")
        return [Log("one"), Log("two")] if event == TimerFired("first") else []

    def execute(action: Action) -> None:
        steps.append(f"execute {cast(Log, action).text}")
        if action == Log("one"):
            dispatcher.dispatch(TimerFired("second"))

    dispatcher = create_dispatcher(handle, [])
    dispatcher.execute = execute
    dispatcher.dispatch(TimerFired("first"))
    assert steps == ["handle first", "execute one", "execute two", "handle second"]


def test_exception_is_logged_and_the_next_event_is_handled() -> None:
    handled: list[Event] = []
    log: list[LogEvent] = []

    def handle(event: Event) -> list[Action]:
        handled.append(event)
        if isinstance(event, TimerFired):
            raise ZeroDivisionError
        return []

    dispatcher = create_dispatcher(handle, log)
    dispatcher.dispatch(TimerFired("x"))
    dispatcher.dispatch(ClientDisconnected(1))
    assert handled == [TimerFired("x"), ClientDisconnected(1)]
    assert [type(event) for event in log] == [InternalError]
    assert str(log[0]) == "internal_error: TimerFired: ZeroDivisionError()"


@pytest.mark.parametrize(
    ("remaining_us", "now", "limited_us"),
    [(500, 0, 500), (5_000, 0, 1_000), (5_000, 400, 600), (5_000, 1_000, 1), (5_000, 9_999, 1)],
)
def test_remaining_time_is_limited_to_the_end_of_the_shutdown(
    remaining_us: int, now: int, limited_us: int
) -> None:
    state = ShutdownState()
    assert state.limit_remaining_time(remaining_us, now) == remaining_us and not state.is_shutting_down
    state.begin(respond_by=1_000)
    assert state.limit_remaining_time(remaining_us, now) == limited_us and state.is_shutting_down
