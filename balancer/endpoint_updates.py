"""Updates of the endpoint table by endpoint lists and by operators' exclusions."""

from __future__ import annotations

from balancer.actions import CloseIdleConnections, Log
from balancer.context import DecisionContext
from balancer.endpoints import Endpoint, EndpointTable
from balancer.events import EndpointEntry, EndpointListKind, EndpointListReceived, EndpointState
from balancer.outlier_detection import OutlierDetector
from balancer.requests import Request
from balancer.slow_start import SlowStart

# Delay, in multiples of the longest latency objective, after which an endpoint that operators included again
# is sent a request even if it was not selected.
INCLUSION_OBJECTIVES = 4.0

# Longest delay until discovery reports a server that has started.
MAX_NOTIFICATION_DELAY_US = 6_000_000

# A start longer ago than this is not explained by a step of a wall clock.
MAX_CLOCK_STEP_US = 2 * 3_600_000_000


class EndpointUpdater:
    """Applies endpoint lists and exclusions; an excluded endpoint stays excluded whatever the lists say."""

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
        self._last_list_at: int | None = None  # of discovery, not the list known from an earlier process
        self._first_request_due: dict[Endpoint, int] = {}  # endpoints included again and not used since

    def apply(self, event: EndpointListReceived) -> None:
        """Apply an endpoint list, either complete or with changes only."""
        if event.kind is not EndpointListKind.CHANGES:
            listed = {entry.server for entry in event.entries}
            for endpoint in self._endpoints.by_name.values():
                if endpoint.name not in listed:
                    self._set_state(endpoint, EndpointState.GONE)
        earliest_start = self._earliest_start(event.kind)
        for entry in event.entries:
            self._apply_entry(entry, earliest_start)
        if event.kind is not EndpointListKind.CACHED:
            self._last_list_at = self._context.now
        self._endpoints.refresh()

    def _earliest_start(self, kind: EndpointListKind) -> int:
        """Return the clock time after which servers must have started whose start is news; 0 if unknown.

        Start times come from the wall clocks of servers, which may be stepped, as may that of this machine.
        A server that seems to have started shortly before, or in the future, is taken to have started now.
        """
        if self._last_list_at is None:
            return 0
        reported_since = self._context.now if kind is EndpointListKind.CHANGES else self._last_list_at
        return reported_since - MAX_NOTIFICATION_DELAY_US

    def _plausible_start(self, started_at: int, earliest_start: int) -> int:
        now = self._context.now
        is_stepped = now - MAX_CLOCK_STEP_US <= started_at < earliest_start or started_at > now
        return now if is_stepped else started_at

    def _apply_entry(self, entry: EndpointEntry, earliest_start: int) -> None:
        endpoint = self._endpoints.get_or_add(entry.server)
        endpoint.zone = entry.zone
        endpoint.cell = entry.cell
        if endpoint.state is EndpointState.GONE or entry.nominal_capacity != endpoint.nominal_capacity:
            endpoint.relative_latency = 0.0
        endpoint.nominal_capacity = max(entry.nominal_capacity, 0.0)
        self._set_state(endpoint, entry.state)
        if entry.started_at is not None and entry.started_at != endpoint.started_at:
            endpoint.started_at = entry.started_at
            self._slow_start.begin(endpoint, self._plausible_start(entry.started_at, earliest_start))
            if endpoint.ejected_until is not None and entry.state is EndpointState.READY:
                self._outliers.readmit(endpoint)  # a new process: failures of the old one do not count

    def _set_state(self, endpoint: Endpoint, state: EndpointState) -> None:
        is_changed = endpoint.state is not state
        endpoint.state = state
        if is_changed:
            self.close_idle_if_unavailable(endpoint)
        if state is EndpointState.GONE and endpoint.ejected_until is not None:
            self._outliers.release(endpoint)  # it no longer counts towards the limit of ejected endpoints

    def close_idle_if_unavailable(self, endpoint: Endpoint) -> None:
        """Close idle connections to a draining, gone or excluded endpoint, if the platform requires it.

        Called when the endpoint becomes unavailable, and whenever an attempt ends there later and leaves its
        connection idle.
        """
        is_required = self._context.settings.guarantees.close_idle_within_us is not None
        if is_required and not endpoint.is_available:
            self._context.actions.append(CloseIdleConnections(endpoint.name))

    def exclude(self, name: str) -> None:
        """Exclude an endpoint from new attempts; its pending attempts continue."""
        endpoint = self._endpoints.get_or_add(name)
        if endpoint.is_excluded:
            return
        endpoint.is_excluded = True
        self._first_request_due.pop(endpoint, None)
        if endpoint.ejected_until is not None:
            # It gets no trial requests and does not count towards the limit of ejected endpoints.
            self._outliers.release(endpoint)
        self.close_idle_if_unavailable(endpoint)
        self._endpoints.refresh()
        self._context.actions.append(Log(f"excluded {name}"))

    def include(self, name: str) -> None:
        """Include an endpoint again; its failures and latency from before the exclusion are discarded."""
        endpoint = self._endpoints.by_name.get(name)
        if endpoint is None or not endpoint.is_excluded:
            return
        endpoint.is_excluded = False
        endpoint.consecutive_failures = endpoint.ejections = 0
        endpoint.relative_latency = 0.0
        self._first_request_due[endpoint] = self._context.jittered_time_after(INCLUSION_OBJECTIVES)
        self._endpoints.refresh()
        self._context.actions.append(Log(f"included {name}"))

    def endpoint_after_inclusion(self, request: Request) -> Endpoint | None:
        """Return an endpoint that was included again, if it is due for its first request; or None.

        Without this, a small balancer could leave the endpoint unused for long, above all while it is warming
        up.
        """
        for endpoint, due in self._first_request_due.items():
            if due <= self._context.now and not request.attempts and endpoint.is_available:
                endpoint.slow_start_budget = max(endpoint.slow_start_budget, request.relative_cost)
                is_ejected = endpoint.ejected_until is not None
                if not is_ejected and self._slow_start.has_budget(endpoint, request.relative_cost):
                    return endpoint
        return None

    def record_attempt(self, endpoint: Endpoint) -> None:
        """Note that the endpoint was sent an attempt, so it needs no first request any more."""
        self._first_request_due.pop(endpoint, None)
