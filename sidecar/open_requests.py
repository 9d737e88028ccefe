"""Tracks open requests: from their arrival until they are answered and all their attempts have ended.

Final responses are sent to clients only from this module.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

from balancer.events import Outcome
from sidecar.downstream.connection import DownstreamConnection
from sidecar.downstream.request_parsing import IncomingRequest
from sidecar.http import Headers
from sidecar.metrics import REJECTION_STATUSES, Metrics
from sidecar.request_ids import RequestIdTable
from sidecar.upstream.attempt import Attempt


class OpenRequest:
    """A request, its attempts by number and, until it is answered, the connection of its client."""

    __slots__ = (
        "attempts",
        "attempts_in_flight",
        "client",
        "has_claimed_id",
        "incoming",
        "is_rejected",
        "last_outcome",
        "streaming_attempt",
    )

    def __init__(self, client: DownstreamConnection, incoming: IncomingRequest) -> None:
        self.client: DownstreamConnection | None = client  # None after the response or a disconnect
        self.incoming = incoming
        self.attempts: list[Attempt] = []
        self.attempts_in_flight = 0
        self.streaming_attempt: int | None = None  # the attempt whose response is streamed
        self.last_outcome: Outcome | None = None
        self.has_claimed_id = False
        self.is_rejected = False  # its response told the client that it may be sent again

    @property
    def may_have_executed(self) -> bool:
        """Whether a server may have executed the request."""
        return not self.is_rejected and any(attempt.is_written for attempt in self.attempts)

    @property
    def is_body_complete(self) -> bool:
        """Whether the last byte of the request has arrived."""
        return self.incoming.upload is None or self.incoming.upload.is_complete


class OpenRequests:
    """The table of open requests by number."""

    def __init__(
        self,
        metrics: Metrics,
        withdraw: Callable[[Attempt], None],
        request_ids: RequestIdTable | None = None,
    ) -> None:
        """`withdraw` is called for each attempt of an answered request, so that none is sent after that.

        Without `request_ids`, ids may occur repeatedly.
        """
        self._metrics = metrics
        self._request_ids = request_ids
        self._withdraw = withdraw
        self._requests: dict[int, OpenRequest] = {}
        self._next_number = 1
        self.unanswered = 0  # number of requests without a final response

    def __len__(self) -> int:
        return len(self._requests)

    def __getitem__(self, number: int) -> OpenRequest:
        return self._requests[number]

    def get(self, number: int) -> OpenRequest | None:
        """Return a request; None if it is no longer open."""
        return self._requests.get(number)

    def numbers(self) -> list[int]:
        """Return the numbers of all open requests."""
        return list(self._requests)

    @property
    def pending(self) -> int:
        """The number of unanswered requests that have arrived completely."""
        unanswered = (request for request in self._requests.values() if request.client is not None)
        return self.unanswered - sum(not request.is_body_complete for request in unanswered)

    def add(self, client: DownstreamConnection, incoming: IncomingRequest) -> int:
        """Add a request; return its number."""
        number = self._next_number
        self._next_number += 1
        self._requests[number] = OpenRequest(client, incoming)
        self.unanswered += 1
        return number

    def is_answered(self, number: int) -> bool:
        """Return whether the request has its final response, or its client has disconnected."""
        request = self._requests.get(number)
        return request is None or request.client is None

    def is_awaited(self, number: int) -> bool:
        """Return whether the client of an unanswered request is still connected, according to its socket."""
        request = self._requests.get(number)
        return request is not None and request.client is not None and not request.client.has_disconnected()

    def claim_id(self, number: int) -> bool:
        """Return whether a request may be executed, before it is written to a server.

        A request that is not idempotent fails if its id is that of an earlier one that may have executed.
        """
        request = self._requests[number]
        if self._request_ids is None or request.incoming.is_idempotent:
            return True
        if not self._request_ids.claim(request.incoming.request_id, number):
            self.respond(number, HTTPStatus.CONFLICT, body=b"a request of this id may have been executed\n")
            return False
        request.has_claimed_id = True
        return True

    def respond(self, number: int, status: int, headers: Headers | None = None, body: bytes = b"") -> None:
        """Send the final response, unless the request is answered already."""
        client = self.release_client(number)
        if client is not None:
            self._requests[number].is_rejected = status in REJECTION_STATUSES
            self._metrics.response_sent(self._requests[number].incoming.service_class, status)
            client.respond(status, headers or [], body)
        self.remove_if_finished(number)

    def finish_streaming(self, number: int, *, is_complete: bool) -> None:
        """End a streamed response; if it is incomplete, abort the connection so that the client notices."""
        client = self.release_client(number)
        if client is None:
            return
        status = 200 if is_complete else 502
        self._metrics.response_sent(self._requests[number].incoming.service_class, status)
        if is_complete:
            client.finish_streaming()
        else:
            client.abort()

    def release_client(self, number: int) -> DownstreamConnection | None:
        """Mark a request as answered; return its client, or None if it was answered before."""
        request = self._requests.get(number)
        if request is None or request.client is None:
            return None
        client, request.client = request.client, None
        self.unanswered -= 1
        for attempt in request.attempts:
            self._withdraw(attempt)
        return client

    def remove_if_finished(self, number: int) -> None:
        """Remove a request if it is answered and has no attempt in flight."""
        request = self._requests.get(number)
        if request is not None and request.client is None and request.attempts_in_flight == 0:
            del self._requests[number]
            request.incoming.release_memory()
            if request.has_claimed_id and self._request_ids is not None and not request.may_have_executed:
                self._request_ids.release(request.incoming.request_id, number)
