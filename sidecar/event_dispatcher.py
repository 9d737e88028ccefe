"""Passes events to the balancer one at a time, and executes the actions that it returns.

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
    """Queues events for the balancer and executes the resulting actions."""

    def __init__(self, balancer: Balancer, clock: Clock, requests: OpenRequests, log: EventLog) -> None:
        self._balancer = balancer
        self._clock = clock
        self._requests = requests
        self._log = log
        self._events: deque[Event] = deque()
        self._is_handling = False
        self.execute: Callable[[Action], None] = lambda _action: None

    def dispatch(self, event: Event) -> None:
        """Handle an event now or, if called while another event is handled, after that one, in order."""
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
            # Determined only here, because an event that was queued earlier may have answered the request.
            event.is_request_answered = self._requests.is_answered(event.request)
        try:
            for action in self._balancer.handle(self._clock.now(), event):
                self.execute(action)
        except Exception as error:
            self._handle_internal_error(event, error)
        if isinstance(event, AttemptEnded):
            self._requests.remove_if_finished(event.request)

    def _handle_internal_error(self, event: Event, error: Exception) -> None:
        """Log an exception that an event caused, and answer its request with status 500."""
        self._log(InternalError(type(event).__name__, error))
        if isinstance(event, (RequestArrived, AttemptEnded)):
            self._requests.respond(event.request, 500)
