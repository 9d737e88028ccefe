"""How many endpoints a balancer selects from.

Guards against a large fleet seen from many small balancers: each would hold a connection to every server and
learn next to nothing of any.  A busy balancer reaches all endpoints.
"""

from __future__ import annotations

SUBSET_SIZE_AT_REST = 4.0
SUBSET_SIZE_PER_IN_FLIGHT = 1.0  # as many endpoints again as there are busy ones


def subset_size(mean_in_flight: float) -> int:
    """The number of endpoints for this many requests in flight on average."""
    return int(SUBSET_SIZE_AT_REST + SUBSET_SIZE_PER_IN_FLIGHT * mean_in_flight)
