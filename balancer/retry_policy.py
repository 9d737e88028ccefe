"""The retry policy: which requests may be retried, at which endpoints, until when and how often.

A request must not take effect twice.  An idempotent request may be attempted any number of times.  A request
with an idempotency key may be repeated only within the scope and window in which servers drop repeats of a
key.  Any other request may be retried only if no server can have executed it.  See RFC 9110, section 9.2.2.
"""

from __future__ import annotations

from balancer.context import DecisionContext
from balancer.endpoints import Endpoint
from balancer.requests import Request
from balancer.settings import Idempotency, IdempotencyScope

# Retries and hedged requests allowed for each client request, so that retries do not amplify an overload.
RETRIES_PER_REQUEST = 0.2
# The retry budget accumulates the allowance of at most this many requests.
MAX_SAVED_REQUESTS = 50.0
# Values of `RetryPolicy.send_by`: no limit besides the deadline, and no further attempt.
NO_LIMIT = 2**61
NOT_ALLOWED = 0


class RetryPolicy:
    """Applies the rules of idempotency and keeps the retry budget."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._budget = RETRIES_PER_REQUEST * MAX_SAVED_REQUESTS / 2

    def record_arrival(self) -> None:
        """Add the allowance of one client request to the retry budget."""
        self._budget = min(self._budget + RETRIES_PER_REQUEST, RETRIES_PER_REQUEST * MAX_SAVED_REQUESTS)

    def has_budget(self) -> bool:
        """Whether the budget allows a retry or a hedged request."""
        return self._budget >= 1.0

    def spend(self) -> None:
        """Take one retry or hedged request from the budget."""
        self._budget -= 1.0

    def send_by(self, request: Request) -> int:
        """Return the clock time before which the first byte of another attempt must be sent.

        `NO_LIMIT` if there is no limit besides the deadline, `NOT_ALLOWED` if no attempt may be sent.
        """
        if request.is_body_consumed:
            return NOT_ALLOWED
        idempotency = request.service_class.idempotency
        executed = request.first_attempt_that_may_have_executed()
        if executed is None or idempotency is Idempotency.IDEMPOTENT:
            return NO_LIMIT
        if idempotency is Idempotency.NOT_IDEMPOTENT:
            return NOT_ALLOWED
        # Servers forget a key after its window.  One tick less, because the clock advances only once a tick.
        window_us = request.service_class.idempotency_window_us
        return executed.sent_at + window_us - self._context.settings.clock_resolution_us

    def is_in_scope(self, request: Request, endpoint: Endpoint) -> bool:
        """Whether the endpoint is in the idempotency scope of the first attempt that may have executed.

        Always true for requests without an idempotency key.
        """
        service_class = request.service_class
        if service_class.idempotency is not Idempotency.WITH_KEY:
            return True
        if service_class.idempotency_scope is IdempotencyScope.ALL:
            return True
        executed = request.first_attempt_that_may_have_executed()
        if executed is None:
            return True
        if service_class.idempotency_scope is IdempotencyScope.ZONE:
            return executed.zone == endpoint.zone
        return executed.cell == endpoint.cell

    def is_safe_to_repeat(self, request: Request) -> bool:
        """Whether the client may repeat the request at any server without a risk of executing it twice."""
        service_class = request.service_class
        if service_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        if (
            service_class.idempotency is Idempotency.WITH_KEY
            and service_class.idempotency_scope is IdempotencyScope.ALL
        ):
            return True
        return request.first_attempt_that_may_have_executed() is None

    def has_attempts_left(self, request: Request) -> bool:
        """Whether the number of attempts and the time allow another attempt."""
        max_attempts = self._context.settings.limits.max_attempts
        return self._context.now < self.send_by(request) and len(request.attempts) < max_attempts
