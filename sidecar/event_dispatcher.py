"""Brings events to the balancer, one at a time, and has the actions that it returns executed.

This is the only caller of `Balancer.handle`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from balancer import Balancer
from balancer.actions import Action
from balancer.events import AttemptEnded, Event, RequestArrived
from sidecar.clock import Clock
from sidecar.log_events import EventLog, InternalError
from sidecar.open_requests import OpenRequests


class EventDispatcher:
    """The queue of events in front of the balancer."""

    def __init__(self, balancer: Balancer, clock: Clock, requests: OpenRequests, log: EventLog) -> None:
        self._balancer = balancer
        self._clock = clock
        self._requests = requests
        self._log = log
        self._events: deque[Event] = deque()
        self._is_handling = False
        self.execute: Callable[[Action], None] = lambda _action: None

    def dispatch(self, event: Event) -> None:
        """Handle an event at once; from within the handling of another, right after it and in order."""
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._is_handling = False

    def _handle(self, event: Event) -> None:
        if isinstance(event, AttemptEnded):
            # Looked up only now: an event before this one may have answered the request.
            event.is_request_answered = self._requests.is_answered(event.request)
        try:
            for action in self._balancer.handle(self._clock.now(), event):
                self.execute(action)
        except Exception as error:
            self._handle_internal_error(event, error)
        if isinstance(event, AttemptEnded):
            self._requests.remove_if_finished(event.request)

    def _handle_internal_error(self, event: Event, error: Exception) -> None:
        """Keep running after a defect in the balancer, and leave no client without a response."""
        self._log(InternalError(type(event).__name__, error))
        if isinstance(event, (RequestArrived, AttemptEnded)):
            self._requests.respond(event.request, 500)
