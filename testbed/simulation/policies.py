"""What decides in the model: the module, or a baseline of our own behind the same events and actions."""

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

_EARLY_US = 10_000  # before a request's time is up, it is answered as failed
_ASK_AGAIN_US = 500_000


class Policy(Protocol):
    """Events in, actions out, no I/O."""

    def handle(self, now: int, event: Event) -> list[Action]:
        """Handle an event at a time in microseconds; return the actions to execute."""
        ...


@runtime_checkable
class CountsEndpoints(Protocol):
    """A policy that says how many endpoints it knows, and how many of them it avoids."""

    def endpoint_counts(self) -> EndpointCounts:
        """The number of endpoints by state."""
        ...


class _Open:
    __slots__ = ("attempts", "class_name", "due", "is_out", "may_have_run", "tried")

    def __init__(self, class_name: str, due: int) -> None:
        self.class_name, self.due = class_name, due
        self.attempts = 0
        self.is_out = self.may_have_run = False
        self.tried: set[str] = set()


class Baseline:
    """What every baseline has: a list of servers, one attempt at a time, and the rules on what may run again.

    A subclass says where the next attempt goes; `redraws` says how often a "full" or, for what may run twice,
    a failure is tried again.
    """

    redraws = 0

    def __init__(self, settings: Settings, seed: int) -> None:
        self._settings = settings
        self._classes = {kind.name: kind for kind in settings.classes}
        self.random = random.Random(seed)
        self.ready: list[str] = []
        self.in_flight: dict[str, int] = {}
        self._listed: dict[str, EndpointState] = {}
        self._open: dict[int, _Open] = {}
        self._began = False

    def pick(self, tried: set[str]) -> str:
        """One of the ready servers; there is at least one."""
        raise NotImplementedError

    def handle(self, now: int, event: Event) -> list[Action]:
        """Handle an event at a time in microseconds; return the actions to execute."""
        actions: list[Action] = []
        if not self._began:
            self._began = True
            if self._settings.discovery is DiscoveryMode.ON_REQUEST:
                actions.append(WatchEndpoints(is_enabled=True))
        match event:
            case EndpointListReceived():
                actions += self._heard(event)
            case RequestArrived():
                request = _Open(event.service_class, now + event.remaining_us)
                self._open[event.request] = request
                actions.append(SetTimer(max(event.remaining_us - _EARLY_US, 0), f"due {event.request}"))
                actions += self._send(now, event.request, request)
            case AttemptEnded():
                actions += self._ended(now, event)
            case ClientDisconnected():
                self._open.pop(event.request, None)
            case TimerFired():
                actions += self._fired(event.token)
            case _:
                pass
        return actions

    def _heard(self, event: EndpointListReceived) -> list[Action]:
        if event.kind is EndpointListKind.FAILED:
            return [SetTimer(_ASK_AGAIN_US, "ask")]
        if event.kind is not EndpointListKind.CHANGES:
            self._listed = {}
        self._listed.update({entry.server: entry.state for entry in event.entries})
        self.ready = sorted(name for name, state in self._listed.items() if state is EndpointState.READY)
        return []

    def _fired(self, token: str) -> list[Action]:
        if token == "ask":
            return [WatchEndpoints(is_enabled=True)]
        number = int(token.split(" ")[1])
        if self._open.pop(number, None) is None:
            return []
        return [Fail(number)]

    def _send(self, now: int, number: int, request: _Open) -> list[Action]:
        if not self.ready or now >= request.due - _EARLY_US:
            del self._open[number]
            return [Fail(number) if request.may_have_run else Reject(number)]
        server = self.pick(request.tried)
        request.tried.add(server)
        request.attempts += 1
        request.is_out = True
        self.in_flight[server] = self.in_flight.get(server, 0) + 1
        return [SendAttempt(number, server, request.due - _EARLY_US)]

    def _ended(self, now: int, event: AttemptEnded) -> list[Action]:
        self.in_flight[event.server] -= 1
        request = self._open.get(event.request)
        if request is None or event.is_request_answered:
            self._open.pop(event.request, None)
            return []
        never_ran = self._settings.guarantees.proves_not_executed(event.outcome)
        request.may_have_run = request.may_have_run or not never_ran
        kind = self._classes[request.class_name]
        may_again = not request.may_have_run or kind.idempotency is Idempotency.IDEMPOTENT
        most = min(self._settings.limits.max_attempts, 1 + self.redraws)
        if may_again and request.attempts < most:
            return self._send(now, event.request, request)
        del self._open[event.request]
        harmless = not request.may_have_run and event.outcome is Outcome.FULL
        return [Reject(event.request) if harmless else Fail(event.request)]


class Random(Baseline):
    """One server by chance; a full answer is final."""

    def pick(self, tried: set[str]) -> str:  # noqa: ARG002 - the base class's signature
        """A random ready endpoint."""
        return self.random.choice(self.ready)


class RoundRobin(Baseline):
    """Each server in turn, from a place of its own."""

    _place = -1

    def pick(self, tried: set[str]) -> str:  # noqa: ARG002 - the base class's signature
        """The next ready endpoint, starting at a random one."""
        if self._place < 0:
            self._place = self.random.randrange(len(self.ready))
        self._place += 1
        return self.ready[self._place % len(self.ready)]


class BestOf(Baseline):
    """The one with the fewest of this copy's own requests in flight, of k drawn by chance."""

    drawn = 2

    def pick(self, tried: set[str]) -> str:  # noqa: ARG002 - the base class's signature
        """The endpoint with the fewest requests in flight, of a few drawn at random."""
        drawn = self.random.sample(self.ready, min(self.drawn, len(self.ready)))
        return min(drawn, key=lambda endpoint: self.in_flight.get(endpoint, 0))


class BestOfFour(BestOf):
    """The same of four: the module's draw without its redraw."""

    drawn = 4


class BestOfFourRedrawn(BestOfFour):
    """And drawn again after a full answer or, where that is allowed, a failure."""

    redraws = 3


class SeesTrueState(BestOfFourRedrawn):
    """Best of k by what the servers hold now, of all copies: what no real balancer can see."""

    look: Callable[[str], int]  # how much a server holds; whoever plays it sets this

    def pick(self, tried: set[str]) -> str:  # noqa: ARG002 - the base class's signature
        """The endpoint with the least true load, of a few drawn at random."""
        drawn = self.random.sample(self.ready, min(self.drawn, len(self.ready)))
        return min(drawn, key=self.look)


class LeastInFlight(Baseline):
    """The one with the fewest of this copy's own in flight, of all."""

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
    "true-state": SeesTrueState,
}
EARLIER_MODULE = "earlier-module"  # that of an earlier commit, whose package is on the import path


def policy_named(name: str) -> Callable[[Settings, int], Policy]:
    """Give what makes a policy; raise KeyError if there is none of that name."""
    return EarlierModule if name == EARLIER_MODULE else POLICIES[name]
