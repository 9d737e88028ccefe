"""Admission control: rejects requests on arrival while the fleet is overloaded.

Guards against congestion collapse: a fleet that answers every request too late serves nobody, and clients
retry requests that failed late.  As the concurrency window fills up, the probability of admission falls
exponentially, and faster for requests of lower priority.
"""

from __future__ import annotations

import math

from balancer.concurrency_window import ConcurrencyWindow
from balancer.context import DecisionContext
from balancer.moving_average import DecayingRate
from balancer.settings import ServiceClass

# At middle rank the admission probability is exp(-this * pressure): one in fifty just below a full window.
PRESSURE_EXPONENT = 4.0
# Factor on that exponent for the lowest rank; it falls linearly with the rank, to 0 for the highest rank.
LOWEST_RANK_FACTOR = 2.0
# Averaging time of the demand of a class and tenant, in multiples of the longest latency objective.
DEMAND_AVERAGING_OBJECTIVES = 4.0
# Mean Retry-After, in multiples of the latency objective of the request's class.
RETRY_AFTER_OBJECTIVES = 0.6


class Demand:
    """The request rate of one tenant in one service class."""

    __slots__ = ("rate", "service_class", "tenant")

    def __init__(self, service_class: ServiceClass, tenant: str | None, window_us: float) -> None:
        self.service_class = service_class
        self.tenant = tenant
        self.rate = DecayingRate(window_us)


class AdmissionController:
    """Admits or rejects requests by admission pressure and by their priority rank in the current demand."""

    def __init__(self, context: DecisionContext, window: ConcurrencyWindow) -> None:
        self._context = context
        self._window = window
        settings = context.settings
        self._tenants = {tenant.name: tenant for tenant in settings.tenants}
        self._total_quota_share = sum(tenant.quota_share for tenant in settings.tenants) or 1.0
        self._demands: dict[tuple[str, str | None], Demand] = {}

    def admits(self, service_class: ServiceClass, tenant: str | None) -> bool:
        """Return whether a new request is admitted; counts it as demand in either case."""
        demand = self._demands.get((service_class.name, tenant))
        if demand is None:
            window_us = DEMAND_AVERAGING_OBJECTIVES * self._context.longest_objective_us
            demand = Demand(service_class, tenant, window_us)
            self._demands[(service_class.name, tenant)] = demand
        demand.rate.add(self._context.now, 1.0)
        pressure = self._window.pressure()
        if pressure <= 0.0:
            return True
        if pressure < 1.0:  # a full window admits no request of any rank
            exponent = LOWEST_RANK_FACTOR * (PRESSURE_EXPONENT * pressure) * (1.0 - self._rank(demand))
            if self._context.random_stream.random() < math.exp(-exponent):
                return True
        self._window.record_rejection()
        return False

    def retry_after_us(self, service_class: ServiceClass) -> int:
        """Return how long a rejected client should wait before it retries; 0: send no Retry-After.

        The jitter keeps clients that were rejected together from retrying together.
        """
        limits = self._context.settings.limits
        if not limits.retry_after:
            return 0
        objectives = RETRY_AFTER_OBJECTIVES * (0.5 + self._context.random_stream.random())
        return min(int(objectives * service_class.latency_objective_us), limits.max_retry_after_us)

    def _rank(self, demand: Demand) -> float:
        """Return the fraction of total demand with a lower weight, plus half of the demand of equal weight.

        Each sidecar sees a different part of the traffic, so quotas are compared with the tenants' shares of
        the demand and not with absolute rates.
        """
        now = self._context.now
        demands = list(self._demands.values())
        rates = [other.rate.per_us(now) for other in demands]
        total_rate = sum(rates)
        tenant_rates: dict[str | None, float] = {}
        for other, rate in zip(demands, rates, strict=True):
            tenant_rates[other.tenant] = tenant_rates.get(other.tenant, 0.0) + rate
        weights = [self._weight(other, tenant_rates[other.tenant], total_rate) for other in demands]
        weight = weights[demands.index(demand)]
        lower_rate = sum(rate for rate, other in zip(rates, weights, strict=True) if other < weight)
        equal_rate = sum(rate for rate, other in zip(rates, weights, strict=True) if other == weight)
        return (lower_rate + 0.5 * equal_rate) / total_rate if total_rate > 0.0 else 0.5

    def _weight(self, demand: Demand, tenant_rate: float, total_rate: float) -> float:
        """Return the class's priority weight, reduced by the part of the tenant's demand beyond its quota."""
        weight = demand.service_class.priority_weight
        tenant = self._tenants.get(demand.tenant or "")
        if tenant is None or tenant_rate <= 0.0:
            return weight
        quota = total_rate * tenant.quota_share / self._total_quota_share
        within_quota = min(1.0, quota / tenant_rate)
        over_quota_weight = self._context.settings.over_quota_weight
        return weight * (within_quota + (1.0 - within_quota) * over_quota_weight)
