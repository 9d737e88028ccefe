"""Endpoints and the table of the endpoints that a balancer knows.

`endpoint_updates` applies endpoint lists and exclusions to the table.
"""

from __future__ import annotations

from dataclasses import dataclass

from balancer.context import DecisionContext
from balancer.events import EndpointState


class FullBackoff:
    """Backoff of one service class at an endpoint that answered "full".

    `objectives` is its duration in multiples of the longest latency objective, `until` the clock time of its
    end.
    """

    __slots__ = ("objectives", "until")

    def __init__(self) -> None:
        self.objectives = 0.0
        self.until = 0


class Endpoint:
    """The state that this balancer keeps of one server.  Times are clock times in microseconds."""

    __slots__ = (
        "abandoned_until",
        "cell",
        "consecutive_failures",
        "ejected_until",
        "ejections",
        "full_backoffs",
        "has_trial_request",
        "idle_since",
        "in_flight",
        "is_excluded",
        "last_response_at",
        "name",
        "nominal_capacity",
        "relative_latency",
        "slow_start_budget",
        "slow_start_budget_at",
        "slow_start_since",
        "started_at",
        "state",
        "subset_position",
        "zone",
    )

    def __init__(self, name: str, subset_position: float) -> None:
        self.name = name
        self.subset_position = subset_position  # random, so that each balancer has an order of its own
        self.zone = ""
        self.cell = 0
        self.nominal_capacity = 1.0
        self.relative_latency = 1.0  # to the latency estimate; 0: to be derived from the nominal capacity
        self.state = EndpointState.GONE
        self.is_excluded = False  # by operators, whatever the endpoint list says
        self.started_at: int | None = None  # None: long ago
        self.slow_start_since: int | None = None
        self.slow_start_budget = 0.0  # while warming up: requests of mean cost that may be sent now
        self.slow_start_budget_at = 0
        self.in_flight = 0
        self.abandoned_until: list[int] = []  # when each abandoned attempt stops counting as in flight
        self.idle_since: int | None = None  # when a connection was last used; None: there is none to reuse
        self.last_response_at = -1
        self.full_backoffs: dict[str, FullBackoff] = {}  # by service class
        self.consecutive_failures = 0
        self.ejections = 0  # consecutive ones
        self.ejected_until: int | None = None  # None: not ejected
        self.has_trial_request = False

    @property
    def is_available(self) -> bool:
        """Whether the endpoint list and the operators allow new requests to the endpoint."""
        return self.state is EndpointState.READY and not self.is_excluded


@dataclass(frozen=True, slots=True)
class EndpointCounts:
    """The number of listed endpoints, and of those among them that are draining, excluded or ejected."""

    listed: int
    unavailable: int


class ZoneLatency:
    """Sums of relative latency over the endpoints of the balancer's own zone and of all others."""

    __slots__ = ("local_count", "local_sum", "remote_count", "remote_sum")

    def __init__(self) -> None:
        self.local_sum = 0.0
        self.local_count = 0.0
        self.remote_sum = 0.0
        self.remote_count = 0.0


class EndpointTable:
    """All endpoints that were ever listed or excluded, and the available ones in subset order."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._zone = context.settings.zone
        self.by_name: dict[str, Endpoint] = {}
        self.available: list[Endpoint] = []
        self.remote_fraction = 0.0  # fraction of the available endpoints that are in other zones
        self._zone_latency: ZoneLatency | None = None  # None: not computed yet

    def get_or_add(self, name: str) -> Endpoint:
        """Return the endpoint of this name; a new endpoint is added as not listed."""
        endpoint = self.by_name.get(name)
        if endpoint is None:
            endpoint = self.by_name[name] = Endpoint(name, self._context.random_stream.random())
        return endpoint

    def counts(self) -> EndpointCounts:
        """Count the endpoints of the current list, draining ones included."""
        listed = [endpoint for endpoint in self.by_name.values() if endpoint.state is not EndpointState.GONE]
        unavailable = sum(
            not endpoint.is_available or endpoint.ejected_until is not None for endpoint in listed
        )
        return EndpointCounts(len(listed), unavailable)

    def refresh(self) -> None:
        """Update the available endpoints after a change of states, exclusions or capacities."""
        available = [endpoint for endpoint in self.by_name.values() if endpoint.is_available]
        available.sort(key=lambda endpoint: endpoint.subset_position)
        self.available = available
        self._zone_latency = None
        remote = sum(endpoint.zone != self._zone for endpoint in available)
        self.remote_fraction = remote / max(len(available), 1)
        mean_capacity = sum(endpoint.nominal_capacity for endpoint in available) / max(len(available), 1)
        for endpoint in available:
            if endpoint.relative_latency <= 0.0:
                # Before the first response, the relative latency follows from the nominal capacity.
                nominal = endpoint.nominal_capacity
                endpoint.relative_latency = mean_capacity / nominal if nominal > 0.0 else 1.0

    def is_local(self, endpoint: Endpoint) -> bool:
        """Whether the endpoint is in the balancer's own zone."""
        return endpoint.zone == self._zone

    def invalidate_zone_latency(self) -> None:
        """Have the zones' latency computed again at the next use, after an ejection or readmission."""
        self._zone_latency = None

    def adjust_latency(self, endpoint: Endpoint, step: float) -> None:
        """Add a step to an endpoint's relative latency and to the sum of its zone."""
        endpoint.relative_latency += step
        zones = self._zone_latency
        if zones is None or not endpoint.is_available or endpoint.ejected_until is not None:
            return
        if self.is_local(endpoint):
            zones.local_sum += step
        else:
            zones.remote_sum += step

    def zone_latency(self) -> ZoneLatency:
        """Return the sums over available endpoints that are not ejected, cached until the table changes."""
        if self._zone_latency is None:
            zones = self._zone_latency = ZoneLatency()
            for endpoint in self.available:
                if endpoint.ejected_until is not None:
                    continue
                if self.is_local(endpoint):
                    zones.local_sum += endpoint.relative_latency
                    zones.local_count += 1.0
                else:
                    zones.remote_sum += endpoint.relative_latency
                    zones.remote_count += 1.0
        return self._zone_latency
