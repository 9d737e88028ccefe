"""Changes of the endpoint table: endpoint lists, and exclusion by operators."""

from __future__ import annotations

from balancer.actions import CloseIdleConnections, Log
from balancer.context import DecisionContext
from balancer.endpoints import Endpoint, EndpointTable
from balancer.events import EndpointEntry, EndpointListKind, EndpointListReceived, EndpointState
from balancer.outlier_detection import OutlierDetector
from balancer.requests import Request
from balancer.slow_start import SlowStart

# After about this many of the longest latency objective, an endpoint that operators included again is sent
# a request, whether or not it was selected by chance.
INCLUSION_OBJECTIVES = 4.0


class EndpointUpdater:
    """Applies endpoint lists and exclusions; an excluded endpoint is treated as draining over every list."""

    def __init__(
        self,
        context: DecisionContext,
        endpoints: EndpointTable,
        slow_start: SlowStart,
        outliers: OutlierDetector,
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._slow_start = slow_start
        self._outliers = outliers
        self._first_request_due: dict[Endpoint, int] = {}  # of those included again and not used since

    def apply(self, event: EndpointListReceived) -> None:
        """Take over a list, complete or of changes only."""
        if event.kind is not EndpointListKind.CHANGES:
            listed = {entry.server for entry in event.entries}
            for endpoint in self._endpoints.by_name.values():
                if endpoint.name not in listed:
                    self._set_state(endpoint, EndpointState.GONE)
        for entry in event.entries:
            self._apply_entry(entry)
        self._endpoints.refresh()

    def _apply_entry(self, entry: EndpointEntry) -> None:
        endpoint = self._endpoints.get_or_add(entry.server)
        endpoint.zone = entry.zone
        endpoint.cell = entry.cell
        if endpoint.state is EndpointState.GONE or entry.nominal_capacity != endpoint.nominal_capacity:
            endpoint.relative_latency = 0.0
        endpoint.nominal_capacity = max(entry.nominal_capacity, 0.0)
        self._set_state(endpoint, entry.state)
        if entry.started_at is not None and entry.started_at != endpoint.started_at:
            endpoint.started_at = entry.started_at
            self._slow_start.begin(endpoint, entry.started_at)
            if endpoint.ejected_until is not None and entry.state is EndpointState.READY:
                self._outliers.readmit(endpoint)  # a new process: what the old one did says nothing of it

    def _set_state(self, endpoint: Endpoint, state: EndpointState) -> None:
        is_changed, endpoint.state = endpoint.state is not state, state
        if is_changed:
            self.close_idle_if_unavailable(endpoint)
        if state is EndpointState.GONE and endpoint.ejected_until is not None:
            self._outliers.release(endpoint)  # it no longer counts among those that may be ejected

    def close_idle_if_unavailable(self, endpoint: Endpoint) -> None:
        """Close idle connections to an endpoint that is draining, gone or excluded, where that is required.

        Called when it becomes so, and whenever an attempt ends there later and leaves its connection idle.
        """
        is_required = self._context.settings.guarantees.close_idle_within_us is not None
        if is_required and not endpoint.is_available:
            self._context.actions.append(CloseIdleConnections(endpoint.name))

    def exclude(self, name: str) -> None:
        """Send nothing more to an endpoint; attempts that it holds may end there."""
        endpoint = self._endpoints.get_or_add(name)
        if endpoint.is_excluded:
            return
        endpoint.is_excluded = True
        self._first_request_due.pop(endpoint, None)
        if endpoint.ejected_until is not None:
            self._outliers.release(endpoint)  # it gets no trials and is not among those that may be ejected
        self.close_idle_if_unavailable(endpoint)
        self._endpoints.refresh()
        self._context.actions.append(Log(f"excluded {name}"))

    def include(self, name: str) -> None:
        """Use an endpoint again; what it did before the exclusion says little of it."""
        endpoint = self._endpoints.by_name.get(name)
        if endpoint is None or not endpoint.is_excluded:
            return
        endpoint.is_excluded = False
        endpoint.consecutive_failures = endpoint.ejections = 0
        endpoint.relative_latency = 0.0
        self._first_request_due[endpoint] = self._context.time_after(INCLUSION_OBJECTIVES)
        self._endpoints.refresh()
        self._context.actions.append(Log(f"included {name}"))

    def endpoint_after_inclusion(self, request: Request) -> Endpoint | None:
        """An endpoint that was included again, and not selected since, when its time has come; or None.

        Guards small balancers, which might leave it unused for long, above all while it is warming up.
        """
        for endpoint, due in self._first_request_due.items():
            if due <= self._context.now and not request.attempts and endpoint.is_available:
                endpoint.slow_start_budget = max(endpoint.slow_start_budget, request.relative_cost)
                is_ejected = endpoint.ejected_until is not None
                if not is_ejected and self._slow_start.has_budget(endpoint, request.relative_cost):
                    return endpoint
        return None

    def record_attempt(self, endpoint: Endpoint) -> None:
        """The endpoint was sent a request, so it no longer waits for its first one."""
        self._first_request_due.pop(endpoint, None)
