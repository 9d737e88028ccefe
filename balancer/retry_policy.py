"""Which requests may be attempted again, where, until when and how often.

A request must not take effect twice.  An idempotent one may be attempted any number of times; one with an
idempotency key only where and while servers drop repeats; any other only if no server executed it.  See RFC
9110, section 9.2.2.
"""

from __future__ import annotations

from balancer.context import DecisionContext
from balancer.endpoints import Endpoint
from balancer.requests import Request
from balancer.settings import Idempotency, IdempotencyScope

# Retries and hedged requests for each request of a client: retries must not multiply an overload.
RETRIES_PER_REQUEST = 0.2
# Requests whose allowance may be saved up.
MAX_SAVED_REQUESTS = 50.0
# A send time without a limit of its own.
NO_LIMIT = 2**61
NOT_ALLOWED = 0


class RetryPolicy:
    """The rules of idempotency, and the budget of retries that follow a failure."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._budget = RETRIES_PER_REQUEST * MAX_SAVED_REQUESTS / 2

    def record_arrival(self) -> None:
        """Add to the budget for a request of a client."""
        self._budget = min(self._budget + RETRIES_PER_REQUEST, RETRIES_PER_REQUEST * MAX_SAVED_REQUESTS)

    def has_budget(self) -> bool:
        """Whether a retry or a hedged request is within the budget."""
        return self._budget >= 1.0

    def spend(self) -> None:
        """Take one retry or hedged request from the budget."""
        self._budget -= 1.0

    def send_by(self, request: Request) -> int:
        """The clock time before which another attempt may be sent, by its first byte; 0: it may not."""
        if request.is_body_consumed:
            return NOT_ALLOWED
        idempotency = request.service_class.idempotency
        executed = request.first_attempt_that_may_have_executed()
        if executed is None or idempotency is Idempotency.IDEMPOTENT:
            return NO_LIMIT
        if idempotency is Idempotency.NOT_IDEMPOTENT:
            return NOT_ALLOWED
        # Servers forget keys; one tick less, since the clock is read once a tick.
        window_us = request.service_class.idempotency_window_us
        return executed.sent_at + window_us - self._context.settings.clock_resolution_us

    def is_in_scope(self, request: Request, endpoint: Endpoint) -> bool:
        """Whether this endpoint would drop the repeat of a request with a key that may have executed."""
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
        """Whether the client may send the request again, to any server, without effect twice."""
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
        """Whether a further attempt is allowed, by number and by time."""
        max_attempts = self._context.settings.limits.max_attempts
        return self._context.now < self.send_by(request) and len(request.attempts) < max_attempts
