"""The number of endpoints that a balancer selects from.

Without a limit, each of many small balancers in front of a large fleet would hold a connection to every
server, and would get too few responses from each to learn anything about it.  The subset grows with the
number of requests in flight, so a busy balancer uses all endpoints.
"""

from __future__ import annotations

MIN_SUBSET_SIZE = 4.0
SUBSET_SIZE_PER_IN_FLIGHT = 1.0


def subset_size(mean_in_flight: float) -> int:
    """Return the subset size for a mean number of requests in flight."""
    return int(MIN_SUBSET_SIZE + SUBSET_SIZE_PER_IN_FLIGHT * mean_in_flight)
