"""Simulated clients: an open loop with timeouts, retries and a limited number of connections to a replica."""

from __future__ import annotations

import random
import zlib
from collections import deque
from collections.abc import Callable

from balancer.events import RequestArrived
from testbed import events as log
from testbed.load.client_behavior import MAX_REQUESTS_PER_ARRIVAL, ClientBehavior
from testbed.scenario.arrivals import Arrival
from testbed.scenario.scenario_run import ScenarioRun
from testbed.simulation.queue import EventQueue
from testbed.simulation.servers import Sink

# Offers a request to the replica by number, event and work in microseconds; returns whether it was accepted.
OfferRequest = Callable[[int, RequestArrived, int], bool]


class Clients:
    """The clients of one replica.

    A request is a first attempt of a client or a client retry.  Its number is `MAX_REQUESTS_PER_ARRIVAL`
    times the number of the client request, plus the retry index, which is 0 for the first attempt.
    """

    def __init__(
        self,
        run: ScenarioRun,
        replica: int,
        queue: EventQueue,
        sink: Sink,
        rng: random.Random,
        offer_request: OfferRequest,
        timeout_slack_us: int,
    ) -> None:
        """Clients wait `timeout_slack_us` longer than their timeout for the end of a response."""
        self._run, self._replica, self._queue, self._sink = run, replica, queue, sink
        self._behavior = ClientBehavior(run, rng)
        self._offer_request, self._timeout_slack_us = offer_request, timeout_slack_us
        self._pending: dict[int, Arrival] = {}  # by request: sent and not yet answered
        # Waiting for a free connection: the arrival, the timeout and the retry index.
        self._waiting: deque[tuple[Arrival, int, int]] = deque()

    def begin(self, arrival: Arrival, retry_index: int = 0) -> None:
        """Send a request, or queue it while all connections are in use."""
        timeout_at = self._behavior.timeout_at(arrival, self._queue.now)
        if len(self._pending) >= self._run.clients.max_connections:
            self._waiting.append((arrival, timeout_at, retry_index))
        else:
            self._send(arrival, timeout_at, retry_index)

    def _send(self, arrival: Arrival, timeout_at: int, retry_index: int) -> None:
        service_class, now = self._run.classes[arrival.service_class], self._queue.now
        request = arrival.number * MAX_REQUESTS_PER_ARRIVAL + retry_index
        event = RequestArrived(
            request=request,
            service_class=service_class.name,
            tenant=self._run.tenants[arrival.tenant].name if arrival.tenant >= 0 else None,
            key=zlib.crc32(b"%x" % arrival.key),
            remaining_us=timeout_at - now,
            is_client_retry=retry_index > 0,
            is_write=service_class.idempotency != "read_like",
        )
        self._pending[request] = arrival
        if timeout_at <= now or not self._offer_request(request, event, arrival.work_us):
            del self._pending[request]
            self._sink(
                log.RequestNotSent(
                    at_us=now,
                    request=request,
                    client_request=arrival.number,
                    replica=self._replica,
                    service_class=arrival.service_class,
                    scheduled_at_us=arrival.at_us,
                )
            )
            self._retry(arrival, retry_index, 0)
            return
        self._queue.at(timeout_at + self._timeout_slack_us, self._time_out, request)

    def log_sent(self, request: int, client_request: int, timeout_at: int) -> None:
        """Log that the last byte of a request was written to an accepted connection."""
        arrival = self._pending[request]
        self._sink(
            log.RequestSent(
                at_us=self._queue.now,
                request=request,
                client_request=client_request,
                replica=self._replica,
                service_class=arrival.service_class,
                tenant=arrival.tenant,
                scheduled_at_us=arrival.at_us,
                timeout_at_us=timeout_at,
            )
        )

    def receive_response(
        self, request: int, status: int, attempt: int, retry_after_us: int, *, timed_out: bool = False
    ) -> None:
        """Handle a response, or the end of the connection without one (status 0); retry if allowed."""
        arrival = self._pending.pop(request, None)
        if arrival is None:
            return  # it timed out before
        self._sink(
            log.ResponseReceived(
                at_us=self._queue.now, request=request, status=status, attempt=attempt, timed_out=timed_out
            )
        )
        if self._behavior.is_retryable(arrival, status):
            self._retry(arrival, request % MAX_REQUESTS_PER_ARRIVAL, retry_after_us)
        self._send_waiting()

    def connection_lost(self, request: int) -> None:
        """Handle the end of the replica's process before its response."""
        self.receive_response(request, 0, -1, 0)

    def _time_out(self, request: int) -> None:
        if request in self._pending:
            self.receive_response(request, 0, -1, 0, timed_out=True)

    def _send_waiting(self) -> None:
        while self._waiting and len(self._pending) < self._run.clients.max_connections:
            self._send(*self._waiting.popleft())

    def _retry(self, arrival: Arrival, retry_index: int, retry_after_us: int) -> None:
        wait_us = self._behavior.retry_delay_us(arrival, retry_index, retry_after_us, self._queue.now)
        if wait_us is not None:
            self._queue.after(wait_us, self.begin, arrival, retry_index + 1)
