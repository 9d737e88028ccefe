"""Modelled clients: open loop, with patience, retries and a bounded number of connections to their copy."""

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
from testbed.simulation.queue import Queue
from testbed.simulation.servers import Sink

Take = Callable[[int, RequestArrived, int], bool]  # whether somebody is there to take it


class Clients:
    """The application beside one copy."""

    def __init__(
        self,
        day: ScenarioRun,
        copy: int,
        queue: Queue,
        sink: Sink,
        rng: random.Random,
        take: Take,
        grace_us: int,
    ) -> None:
        self._day, self._copy, self._queue, self._sink = day, copy, queue, sink
        self._behavior = ClientBehavior(day, rng)
        self._take, self._grace_us = take, grace_us
        self._out: dict[int, Arrival] = {}  # tries that wait for an answer
        self._waiting: deque[tuple[Arrival, int, int]] = deque()  # and for a connection: due, place

    def begin(self, arrival: Arrival, place: int = 0) -> None:
        """A first try is due, or a retry."""
        due = self._behavior.timeout_at(arrival, self._queue.now)
        if len(self._out) >= self._day.clients.max_connections:
            self._waiting.append((arrival, due, place))
        else:
            self._ask(arrival, due, place)

    def _ask(self, arrival: Arrival, due: int, place: int) -> None:
        kind, now = self._day.classes[arrival.service_class], self._queue.now
        number = arrival.number * MAX_REQUESTS_PER_ARRIVAL + place
        event = RequestArrived(
            request=number,
            service_class=kind.name,
            tenant=self._day.tenants[arrival.tenant].name if arrival.tenant >= 0 else None,
            key=zlib.crc32(b"%x" % arrival.key),
            remaining_us=due - now,
            is_client_retry=place > 0,
            is_write=kind.idempotency != "read_like",
        )
        self._out[number] = arrival
        if due <= now or not self._take(number, event, arrival.work_us):
            del self._out[number]
            self._sink(
                log.RequestNotSent(
                    at_us=now,
                    request=number,
                    client_request=arrival.number,
                    replica=self._copy,
                    service_class=arrival.service_class,
                    scheduled_at_us=arrival.at_us,
                )
            )
            self._retry(arrival, place, 0)
            return
        self._queue.at(due + self._grace_us, self._give_up, number)

    def taken(self, number: int, arrival_first: int, due: int) -> None:
        """Its last byte was written to a connection that was accepted."""
        arrival = self._out[number]
        self._sink(
            log.RequestSent(
                at_us=self._queue.now,
                request=number,
                client_request=arrival_first,
                replica=self._copy,
                service_class=arrival.service_class,
                tenant=arrival.tenant,
                scheduled_at_us=arrival.at_us,
                timeout_at_us=due,
            )
        )

    def answered(
        self, request: int, status: int, attempt: int, after_us: int, *, timed_out: bool = False
    ) -> None:
        """An answer, or (status 0) the end of the connection without one."""
        arrival = self._out.pop(request, None)
        if arrival is None:
            return
        self._sink(
            log.ResponseReceived(
                at_us=self._queue.now, request=request, status=status, attempt=attempt, timed_out=timed_out
            )
        )
        if self._behavior.is_retryable(arrival, status):
            self._retry(arrival, request % MAX_REQUESTS_PER_ARRIVAL, after_us)
        self._next()

    def lost(self, request: int) -> None:
        """The copy was killed under it."""
        self.answered(request, 0, -1, 0)

    def _give_up(self, request: int) -> None:
        if request in self._out:
            self.answered(request, 0, -1, 0, timed_out=True)

    def _next(self) -> None:
        while self._waiting and len(self._out) < self._day.clients.max_connections:
            self._ask(*self._waiting.popleft())

    def _retry(self, arrival: Arrival, place: int, after_us: int) -> None:
        wait_us = self._behavior.retry_delay_us(arrival, place, after_us, self._queue.now)
        if wait_us is not None:
            self._queue.after(wait_us, self.begin, arrival, place + 1)
