"""One request to one server: an attempt for a client's request, or a health check."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from balancer.events import Outcome
from sidecar.upstream.http_exchange import (
    ExchangeFailure,
    OnStreamingResponse,
    OutgoingRequest,
    Response,
    UpstreamConnection,
)

_UNAVAILABLE_STATUSES = (503, 504)
_NOT_STARTED_HEADER = b"not-started"  # with the value 1: the server has not run the request

OnAttemptEnded = Callable[[Outcome, Response | None], None]


class Attempt:
    """One request to one server, from the decision to its outcome.

    `on_ended` is called exactly once, never from within `Upstream.start` or `Upstream.cancel`.  Times are
    those of the sidecar's clock, in microseconds.
    """

    __slots__ = (
        "connection",
        "deadline",
        "is_ended",
        "is_wanted",
        "is_written",
        "last_progress_at",
        "last_streamed_bytes",
        "make_request",
        "may_execute",
        "on_ended",
        "on_streaming_response",
        "send_by",
        "sent_at",
        "server",
        "timer",
    )

    def __init__(
        self,
        server: str,
        deadline: int,
        make_request: Callable[[int], OutgoingRequest],
        on_ended: OnAttemptEnded,
        on_streaming_response: OnStreamingResponse | None = None,
        send_by: int | None = None,
        is_wanted: Callable[[], bool] = lambda: True,
        may_execute: Callable[[], bool] = lambda: True,
    ) -> None:
        """`make_request` is called with the time left in microseconds.

        The first byte is written before `send_by`, or never; the default is the deadline.  `is_wanted`
        returns whether the client is still waiting for the response.  `may_execute` is called right before
        the first byte is written, and returns whether the server may execute the request.
        """
        self.server = server
        self.deadline = deadline
        self.make_request = make_request
        self.on_ended = on_ended
        self.on_streaming_response = on_streaming_response
        self.send_by = deadline if send_by is None else send_by
        self.is_wanted = is_wanted
        self.may_execute = may_execute
        self.is_ended = False
        self.is_written = False  # the last byte of the request was passed to the system
        self.sent_at = 0  # set by the caller of `Upstream.start`, if needed
        self.connection: UpstreamConnection | None = None  # once the request is written
        self.timer: asyncio.TimerHandle | None = None
        self.last_streamed_bytes = -1  # at the last check of a streamed body's progress
        self.last_progress_at = 0


def outcome_of(result: Response | ExchangeFailure) -> Outcome:
    """Translate the result of an exchange to an outcome for the balancer."""
    if result is ExchangeFailure.REQUEST_INCOMPLETE:
        return Outcome.CONNECT_FAILED
    if result is ExchangeFailure.CONNECTION_LOST:
        return Outcome.CONNECTION_LOST
    if isinstance(result, Response):
        if result.status == 200:
            return Outcome.DELIVERED
        if result.status in _UNAVAILABLE_STATUSES and result.header(_NOT_STARTED_HEADER) == b"1":
            return Outcome.FULL
    return Outcome.ERROR
