"""The policies of the simulation: the balancer, and baselines with the same events and actions."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol, runtime_checkable

from balancer import Balancer, Settings
from balancer.actions import Action, Fail, Reject, SendAttempt, SetTimer, WatchEndpoints
from balancer.endpoints import EndpointCounts
from balancer.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    Event,
    Outcome,
    RequestArrived,
    TimerFired,
)
from balancer.settings import DiscoveryMode, Idempotency
from testbed.simulation.earlier_module import EarlierModule

_DEADLINE_MARGIN_US = 10_000  # before its deadline, a request that is still pending is answered as failed
_WATCH_RETRY_US = 500_000


class Policy(Protocol):
    """Decides without I/O: takes events and returns actions."""

    def handle(self, now: int, event: Event) -> list[Action]:
        """Handle an event at a time in microseconds; return the actions to execute."""
        ...


@runtime_checkable
class CountsEndpoints(Protocol):
    """A policy that counts the endpoints that it knows, and the unavailable ones among them."""

    def endpoint_counts(self) -> EndpointCounts:
        """The number of endpoints by state."""
        ...


class _Request:
    __slots__ = ("attempt_count", "class_name", "deadline", "may_have_run", "tried")

    def __init__(self, class_name: str, deadline: int) -> None:
        self.class_name, self.deadline = class_name, deadline
        self.attempt_count = 0
        self.may_have_run = False
        self.tried: set[str] = set()


class Baseline:
    """Base class of the baselines: one attempt at a time, and retries only where they are allowed.

    A subclass picks the endpoint of each attempt.  `max_redraws` is the number of retries after a "full"
    response or, for requests that may run twice, after a failure.
    """

    max_redraws = 0

    def __init__(self, settings: Settings, seed: int) -> None:
        self._settings = settings
        self._classes = {service_class.name: service_class for service_class in settings.classes}
        self.random = random.Random(seed)
        self.ready: list[str] = []
        self.in_flight: dict[str, int] = {}
        self._listed: dict[str, EndpointState] = {}
        self._requests: dict[int, _Request] = {}
        self._has_started = False

    def pick(self, tried: set[str]) -> str:
        """Pick one of the ready endpoints; there is at least one."""
        raise NotImplementedError

    def handle(self, now: int, event: Event) -> list[Action]:
        """Handle an event at a time in microseconds; return the actions to execute."""
        actions: list[Action] = []
        if not self._has_started:
            self._has_started = True
            if self._settings.discovery is DiscoveryMode.ON_REQUEST:
                actions.append(WatchEndpoints(is_enabled=True))
        match event:
            case EndpointListReceived():
                actions += self._list_received(event)
            case RequestArrived():
                request = _Request(event.service_class, now + event.remaining_us)
                self._requests[event.request] = request
                timer_us = max(event.remaining_us - _DEADLINE_MARGIN_US, 0)
                actions.append(SetTimer(timer_us, f"due {event.request}"))
                actions += self._send(now, event.request, request)
            case AttemptEnded():
                actions += self._attempt_ended(now, event)
            case ClientDisconnected():
                self._requests.pop(event.request, None)
            case TimerFired():
                actions += self._timer_fired(event.token)
            case _:
                pass
        return actions

    def _list_received(self, event: EndpointListReceived) -> list[Action]:
        if event.kind is EndpointListKind.FAILED:
            return [SetTimer(_WATCH_RETRY_US, "ask")]
        if event.kind is not EndpointListKind.CHANGES:
            self._listed = {}
        self._listed.update({entry.server: entry.state for entry in event.entries})
        self.ready = sorted(name for name, state in self._listed.items() if state is EndpointState.READY)
        return []

    def _timer_fired(self, token: str) -> list[Action]:
        if token == "ask":
            return [WatchEndpoints(is_enabled=True)]
        number = int(token.split(" ")[1])
        if self._requests.pop(number, None) is None:
            return []
        return [Fail(number)]

    def _send(self, now: int, number: int, request: _Request) -> list[Action]:
        if not self.ready or now >= request.deadline - _DEADLINE_MARGIN_US:
            del self._requests[number]
            return [Fail(number) if request.may_have_run else Reject(number)]
        server = self.pick(request.tried)
        request.tried.add(server)
        request.attempt_count += 1
        self.in_flight[server] = self.in_flight.get(server, 0) + 1
        return [SendAttempt(number, server, request.deadline - _DEADLINE_MARGIN_US)]

    def _attempt_ended(self, now: int, event: AttemptEnded) -> list[Action]:
        self.in_flight[event.server] -= 1
        request = self._requests.get(event.request)
        if request is None or event.is_request_answered:
            self._requests.pop(event.request, None)
            return []
        is_not_executed = self._settings.guarantees.proves_not_executed(event.outcome)
        request.may_have_run = request.may_have_run or not is_not_executed
        service_class = self._classes[request.class_name]
        may_retry = not request.may_have_run or service_class.idempotency is Idempotency.IDEMPOTENT
        max_attempts = min(self._settings.limits.max_attempts, 1 + self.max_redraws)
        if may_retry and request.attempt_count < max_attempts:
            return self._send(now, event.request, request)
        del self._requests[event.request]
        may_reject = not request.may_have_run and event.outcome is Outcome.FULL
        return [Reject(event.request) if may_reject else Fail(event.request)]


class Random(Baseline):
    """A random endpoint for each request; a "full" response is final."""

    def pick(self, tried: set[str]) -> str:  # noqa: ARG002 - the base class's signature
        """A random ready endpoint."""
        return self.random.choice(self.ready)


class RoundRobin(Baseline):
    """Each ready endpoint in turn; every replica starts at a random one."""

    _position = -1

    def pick(self, tried: set[str]) -> str:  # noqa: ARG002 - the base class's signature
        """The next ready endpoint."""
        if self._position < 0:
            self._position = self.random.randrange(len(self.ready))
        self._position += 1
        return self.ready[self._position % len(self.ready)]


class BestOf(Baseline):
    """Best of k random endpoints by the requests that this replica has in flight."""

    sample_size = 2

    def pick(self, tried: set[str]) -> str:  # noqa: ARG002 - the base class's signature
        """The endpoint with the fewest requests in flight, of a random sample."""
        sample = self.random.sample(self.ready, min(self.sample_size, len(self.ready)))
        return min(sample, key=lambda endpoint: self.in_flight.get(endpoint, 0))


class BestOfFour(BestOf):
    """Best of 4, which is the balancer's selection without its redraw."""

    sample_size = 4


class BestOfFourRedrawn(BestOfFour):
    """Best of 4 with a redraw after a "full" response or, where that is allowed, a failure."""

    max_redraws = 3


class TrueStateBestOfFour(BestOfFourRedrawn):
    """Best of 4 with redraw by the servers' current load from all replicas, which no real balancer knows."""

    server_load: Callable[[str], int]  # the number of jobs that a server holds; set by the simulation

    def pick(self, tried: set[str]) -> str:  # noqa: ARG002 - the base class's signature
        """The endpoint with the least load, of a random sample."""
        sample = self.random.sample(self.ready, min(self.sample_size, len(self.ready)))
        return min(sample, key=self.server_load)


class LeastInFlight(Baseline):
    """Of all ready endpoints, the one with the fewest requests of this replica in flight."""

    def pick(self, tried: set[str]) -> str:  # noqa: ARG002 - the base class's signature
        """The endpoint with the fewest requests in flight; ties are broken at random."""
        return min(self.ready, key=lambda endpoint: (self.in_flight.get(endpoint, 0), self.random.random()))


POLICIES: dict[str, Callable[[Settings, int], Policy]] = {
    "module": Balancer,
    "random": Random,
    "round-robin": RoundRobin,
    "best-of-2": BestOf,
    "best-of-4": BestOfFour,
    "best-of-4-redraw": BestOfFourRedrawn,
    "least-in-flight": LeastInFlight,
    "true-state": TrueStateBestOfFour,
}
EARLIER_MODULE = "earlier-module"  # the balancer of an earlier commit, whose package is on the import path


def policy_factory(name: str) -> Callable[[Settings, int], Policy]:
    """Return the factory of a policy, called with settings and a seed.

    Raises:
        KeyError: There is no policy of that name.
    """
    return EarlierModule if name == EARLIER_MODULE else POLICIES[name]
