"""Requests that a balancer handles, and their attempts."""

from __future__ import annotations

import math

from balancer.endpoints import Endpoint
from balancer.settings import ServiceClass

MIN_COST_BUCKET = -3
MAX_COST_BUCKET = 4


class Attempt:
    """One attempt of a request, pending until it has an outcome.  Times are in microseconds."""

    __slots__ = (
        "cell",
        "endpoint",
        "idle_us",
        "index",
        "is_counted_late",
        "is_in_flight",
        "is_pending",
        "is_silence_recorded",
        "is_trial",
        "may_have_executed",
        "response_started",
        "responses_before",
        "sent_at",
        "zone",
    )

    def __init__(self, index: int, endpoint: Endpoint, sent_at: int, responses_before: int) -> None:
        self.index = index
        self.endpoint = endpoint
        self.zone = endpoint.zone  # as listed when sent; a later list may change them
        self.cell = endpoint.cell
        self.sent_at = sent_at
        self.responses_before = responses_before  # response count of all endpoints when sent
        self.idle_us = 0  # idle time of its connection before; 0: new or in steady use
        self.is_trial = False  # whether it is a trial request to an ejected endpoint
        self.is_pending = True
        self.is_in_flight = False  # whether the server has the complete request and owes its response
        self.may_have_executed = True  # true until its outcome proves otherwise
        self.response_started = False
        self.is_silence_recorded = False  # whether its missing response was recorded
        self.is_counted_late = False  # whether it was counted as a sign of overload before it ended

    @property
    def is_blamed_on_stale_connection(self) -> bool:
        """Whether its missing response is attributed to a stale idle connection."""
        return self.is_silence_recorded and self.idle_us > 0


class Request:
    """A request, kept until it has its final response and all its attempts have ended."""

    __slots__ = (
        "attempts",
        "cost_bucket",
        "deadline",
        "failed_endpoints",
        "full_responses",
        "has_streamed_body",
        "is_answered",
        "is_body_arriving",
        "is_body_consumed",
        "relative_cost",
        "request_id",
        "service_class",
    )

    def __init__(
        self,
        request_id: int,
        service_class: ServiceClass,
        deadline: int,
        relative_cost: float,
        *,
        has_streamed_body: bool,
    ) -> None:
        self.request_id = request_id
        self.service_class = service_class
        self.deadline = deadline  # clock time by which the final response must be sent
        self.relative_cost = relative_cost  # relative to the mean cost of its class
        # Exponent of the relative cost to base 2, limited to the range of buckets.
        self.cost_bucket = max(MIN_COST_BUCKET, min(math.frexp(relative_cost)[1], MAX_COST_BUCKET))
        self.attempts: list[Attempt] = []
        self.failed_endpoints: list[Endpoint] = []  # includes those that answered "full"
        self.full_responses = 0
        self.is_answered = False
        self.has_streamed_body = has_streamed_body  # such a body is not held, which rules out hedging
        self.is_body_arriving = has_streamed_body
        self.is_body_consumed = False  # part of a streamed body is no longer held, so no retry is possible

    def has_pending_attempt(self) -> bool:
        """Whether any attempt is pending."""
        return any(attempt.is_pending for attempt in self.attempts)

    def is_streaming_response(self) -> bool:
        """Whether the client is receiving a response."""
        return any(attempt.response_started and attempt.is_pending for attempt in self.attempts)

    def has_started_response(self) -> bool:
        """Whether a response to the client has begun, complete or not."""
        return any(attempt.response_started for attempt in self.attempts)

    def first_attempt_that_may_have_executed(self) -> Attempt | None:
        """Return the earliest attempt whose outcome does not prove that the server did not execute it."""
        for attempt in self.attempts:
            if attempt.may_have_executed:
                return attempt
        return None
