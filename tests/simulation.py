"""Simulated clients, servers and service discovery around balancers, in virtual time.

A run is closed-loop: replies determine the events that follow.  All random numbers come from one generator
that is seeded by the scenario, and events of one instant are delivered in the order of their scheduling.
"""

from __future__ import annotations

import heapq
import itertools
import json
import random
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from simulated_parts import (
    FOREVER_US,
    MS,
    Message,
    S,
    SimulatedAttempt,
    SimulatedRequest,
    SimulatedServer,
    SimulatedSidecar,
)
from simulator_ports import Port
from simulator_scenarios import Fault, Scenario

START_US = 7 * S
PAGES = 16  # endpoint lists in use at a time; their numbers are reused


class Simulation:
    """Runs one scenario and yields the lines of all replies."""

    def __init__(self, scenario: Scenario, port: Port) -> None:
        self._scenario = scenario
        self._port = port
        self._rng = random.Random(scenario.seed)
        self._settings = scenario.settings
        self._tick_us: int = self._settings["quantumUs"]
        self._now = START_US
        self._event_queue: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._batch: list[Message] = []
        self._page = 0
        self._version = 1
        self._next_request = 1
        self._is_discovery_up = True
        self._arrival_factor = 1.0
        self._servers = {server.name: server for server in self._make_servers()}
        self._instances = [SimulatedSidecar(number) for number in range(scenario.instances)]
        self._reply_handlers: dict[str, Callable[..., None]] = {
            "ASSIGN": self._start_attempt,
            "NOT_NOW": self._handle_rejection,
            "SURRENDER": self._handle_failure,
            "ABORT_ATTEMPT": self._cancel_attempt,
            "REMIND": self._schedule_wakeup,
            "SHUT_IDLE": self._close_idle_connection,
            "FOLLOW": self._handle_subscription,
            "REMARK": lambda instance, text: None,
            "COUNTS": lambda instance, listed, unavailable: None,
        }

    def replies(self) -> Iterator[str]:
        """Run to the end and yield the replies, with the texts of log lines replaced by empty ones."""
        for instance in self._instances:
            self._schedule(0, lambda instance=instance: self._start_instance(instance))  # type: ignore[misc]
        for fault in self._scenario.faults:
            self._schedule(fault.at_us, lambda fault=fault: self._start_fault(fault))  # type: ignore[misc]
        end = START_US + self._scenario.duration_us
        while self._event_queue and self._now < end:
            self._advance()
            for line in self._port.exchange(self._now, self._batch):
                message = json.loads(line)
                if message[0] == "REMARK":
                    line = json.dumps([*message[:2], ""], separators=(",", ":"))
                yield line
                if message[0] != "DONE":
                    self._react(message)

    def _advance(self) -> None:
        """Advance to the next tick with events, and collect them."""
        due = max(self._event_queue[0][0], self._now + 1) - START_US
        self._now = START_US + -(-due // self._tick_us) * self._tick_us
        self._batch = []
        while self._event_queue and self._event_queue[0][0] <= self._now:
            heapq.heappop(self._event_queue)[2]()

    def _react(self, message: Message) -> None:
        kind, instance_name, *values = message
        instance = self._instances[int(instance_name.removeprefix("sidecar-"))]
        if instance.is_running:
            self._reply_handlers[kind](instance, *values)

    def _schedule(self, delay_us: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._event_queue, (self._now + int(delay_us), next(self._sequence), callback))

    def _call_later(self, instance: SimulatedSidecar, delay_us: float, callback: Callable[[], None]) -> None:
        """Schedule a callback that is skipped unless the instance still runs in the same process."""
        incarnation = instance.incarnation

        def call() -> None:
            if instance.is_running and instance.incarnation == incarnation:
                callback()

        self._schedule(delay_us, call)

    def _occurs(self, probability: float) -> bool:
        return self._rng.random() < probability

    # Instances and service discovery

    def _make_servers(self) -> Iterator[SimulatedServer]:
        scenario = self._scenario
        for number in range(scenario.servers):
            size = self._rng.choice(scenario.sizes)
            yield SimulatedServer(
                name=f"10.0.{number // 250}.{number % 250 + 1}:8080",
                zone=scenario.zones[number % len(scenario.zones)],
                cell=number % 3,
                nominal=size if scenario.lists_sizes else 1,
                speed=self._rng.uniform(0.8, 1.2),
                concurrency=max(int(2 * size), 1),
                queue_limit=int(scenario.queue_per_size * max(size, 1)),
            )

    def _start_instance(self, instance: SimulatedSidecar) -> None:
        instance.is_running = True
        instance.incarnation += 1
        instance.is_subscribed = self._settings["discovery"] == "pushed"
        settings = {**self._settings, "me": instance.number, "groupSize": self._scenario.group_size}
        self._batch.append(["BEGIN", instance.name, self._rng.randrange(2**32), settings])
        self._send_list(instance, "cached", self._servers.values())
        if self._scenario.arrivals_per_s > 0.0:
            self._schedule_arrival(instance, self._now)

    def _stop_instance(self, instance: SimulatedSidecar) -> None:
        self._batch.append(["EXIT", instance.name])
        instance.is_running = False
        instance.requests.clear()
        instance.idle_since.clear()

    def _send_list(self, instance: SimulatedSidecar, kind: str, servers: Iterable[SimulatedServer]) -> None:
        self._page = (self._page + 1) % PAGES
        lines = [server.list_entry() for server in servers if kind == "delta" or server.state != "gone"]
        self._batch.append(["PAGE", self._page, lines])
        self._batch.append(["TARGETS", instance.name, kind, self._page, self._version])

    def _publish_changes(self, servers: list[SimulatedServer]) -> None:
        """Send changed entries to subscribed instances, to each after a random delay."""
        self._version += 1
        for instance in self._instances:
            if instance.is_subscribed and self._is_discovery_up:
                delay_us = self._rng.uniform(5 * MS, 80 * MS)
                self._call_later(instance, delay_us, lambda i=instance: self._send_list(i, "delta", servers))  # type: ignore[misc]

    def _handle_subscription(self, instance: SimulatedSidecar, wanted: bool) -> None:
        def answer() -> None:
            if not self._is_discovery_up or self._occurs(self._scenario.call_failure_rate):
                self._batch.append(["TARGETS", instance.name, "failed", 0, 0])
                return
            instance.is_subscribed = wanted
            self._send_list(instance, "delta" if self._occurs(0.2) else "full", self._servers.values())

        if not self._occurs(self._scenario.lost_call_rate):
            self._call_later(instance, self._rng.uniform(2 * MS, 60 * MS), answer)

    # Clients

    def _schedule_arrival(self, instance: SimulatedSidecar, after: float) -> None:
        """Schedule the next arrival, relative to the exact time of the last, which may be between ticks."""
        rate = self._scenario.arrivals_per_s * self._arrival_factor / len(self._instances)
        arrives_at = after + self._rng.expovariate(rate) * S
        self._call_later(instance, arrives_at - self._now, lambda: self._arrive(instance, arrives_at))

    def _arrive(self, instance: SimulatedSidecar, arrives_at: float) -> None:
        service_class = self._rng.choices(self._settings["lanes"], self._scenario.lane_weights)[0]
        tenants = self._settings.get("realms")
        tenant = self._rng.choices(tenants, self._scenario.tenant_weights)[0]["name"] if tenants else None
        self._submit(instance, service_class, tenant, flags=int(self._occurs(self._scenario.hint_rate)))
        self._schedule_arrival(instance, arrives_at)

    def _submit(
        self, instance: SimulatedSidecar, service_class: dict[str, Any], tenant: str | None, flags: int
    ) -> None:
        work_us = int(self._scenario.work_us * self._rng.choice(self._scenario.work_factors))
        remaining_us = int(service_class["giveUpUs"] * self._rng.uniform(0.6, 1.0))
        is_body_arriving = self._occurs(self._scenario.streamed_body_rate)
        number, self._next_request = self._next_request, self._next_request + 1
        deadline = self._now + (FOREVER_US if is_body_arriving else remaining_us)
        request = SimulatedRequest(number, service_class, work_us, self._now, deadline, is_body_arriving)
        instance.requests[number] = request
        key = self._rng.randrange(40) if self._occurs(0.5) else None
        name = "unnamed" if self._occurs(self._scenario.unnamed_class_rate) else service_class["name"]
        hint_us = -1 if self._occurs(self._scenario.wrong_hint_rate) else work_us
        item = ["WORK_ITEM", instance.name, number, name, tenant, key, remaining_us, hint_us, flags]
        self._batch.append([*item, is_body_arriving] if self._scenario.is_direct else item)
        if is_body_arriving:
            upload_us = self._rng.expovariate(1 / (200 * MS))
            self._call_later(instance, upload_us, lambda: self._end_upload(instance, request, remaining_us))
        else:
            self._call_later(instance, remaining_us, lambda: self._time_out(instance, request))
        if self._occurs(self._scenario.disconnect_rate):
            delay_us = self._rng.uniform(0, remaining_us)
            self._call_later(instance, delay_us, lambda: self._disconnect(instance, request))

    def _end_upload(self, instance: SimulatedSidecar, request: SimulatedRequest, remaining_us: int) -> None:
        request.is_body_arriving = False
        request.deadline = self._now + remaining_us
        self._batch.append(["COMPLETE", instance.name, request.number, remaining_us])
        self._call_later(instance, remaining_us, lambda: self._time_out(instance, request))
        for index, attempt in enumerate(request.attempts):
            if attempt.is_pending and not attempt.is_started:
                outcome, delay = self._draw_outcome(instance, attempt.server, request)
                self._schedule_attempt_end(instance, request, index, outcome, delay)

    def _disconnect(self, instance: SimulatedSidecar, request: SimulatedRequest) -> None:
        """Disconnect the client early; it may be receiving a streamed response or have its response."""
        request.is_settled = True
        self._batch.append(["CLIENT_GONE", instance.name, request.number])

    def _time_out(self, instance: SimulatedSidecar, request: SimulatedRequest) -> None:
        """Disconnect the client at its timeout, unless its response has begun."""
        if not request.is_settled and not any(attempt.is_started for attempt in request.attempts):
            request.is_settled = True
            self._batch.append(["CLIENT_GONE", instance.name, request.number])

    def _handle_rejection(self, instance: SimulatedSidecar, number: int, retry_in_us: int) -> None:
        service_class = instance.requests[number].service_class
        self._handle_failure(instance, number)
        if self._occurs(self._scenario.client_retry_rate):
            wait_us = retry_in_us or self._rng.uniform(10 * MS, 300 * MS)
            self._call_later(instance, wait_us, lambda: self._submit(instance, service_class, None, flags=3))

    def _handle_failure(self, instance: SimulatedSidecar, number: int) -> None:
        instance.requests[number].is_settled = True

    # Attempts

    def _start_attempt(
        self, instance: SimulatedSidecar, number: int, name: str, timeout_at: int, send_by: int | None = None
    ) -> None:
        request, server = instance.requests[number], self._servers[name]
        index = len(request.attempts)
        request.attempts.append(SimulatedAttempt(server, self._now, timeout_at))
        server.in_flight += 1
        if request.is_settled or self._occurs(self._scenario.unsent_rate):
            self._schedule_attempt_end(instance, request, index, "unused", 0)
            return
        outcome, delay = self._draw_outcome(instance, server, request)
        if not request.is_body_arriving or outcome in ("dial_failed", "dropped", "shed"):
            self._schedule_attempt_end(instance, request, index, outcome, delay)
        elif request.service_class.get("streaming") and self._occurs(0.2):
            self._schedule(delay, lambda: self._start_stream(instance, request, index))

    def _draw_outcome(
        self, instance: SimulatedSidecar, server: SimulatedServer, request: SimulatedRequest
    ) -> tuple[str, float]:
        """Draw the outcome of an attempt and its duration, which its timeout may cut short."""
        idle_since = instance.idle_since.pop(server.name, None)
        if not server.is_reachable:
            return "dial_failed", self._settings["bounds"]["dialTimeoutUs"]
        if not server.is_up:
            return "dial_failed", self._rng.uniform(0, 3 * MS)
        idle_us = 0 if idle_since is None else self._now - idle_since
        is_stale = server.idle_timeout_us <= idle_us < self._settings["bounds"]["idleCloseUs"]
        if is_stale or server.behaviour == "silent":
            return "expired", FOREVER_US
        if server.behaviour != "normal" and self._occurs(0.9):
            return server.behaviour, self._rng.uniform(1 * MS, self._rng.choice((10 * MS, 300 * MS)))
        if server.in_flight > server.queue_limit:
            return "shed", self._rng.uniform(0, 2 * MS)
        load_factor = max(1.0, server.in_flight / server.concurrency)
        factor = server.latency_factor * load_factor / (server.speed * self._slow_start_factor(server))
        return "delivered", request.work_us * factor * self._rng.uniform(0.7, 1.5)

    def _slow_start_factor(self, server: SimulatedServer) -> float:
        if server.started_at is None:
            return 1.0
        slow_start = self._settings["guarantees"]
        age = (self._now - server.started_at) / slow_start["coldUs"]
        factor: float = min(1.0, slow_start["coldFrom"] + age)
        return factor

    def _schedule_attempt_end(
        self, instance: SimulatedSidecar, request: SimulatedRequest, index: int, outcome: str, delay: float
    ) -> None:
        """Schedule the end of an attempt, at its timeout at the latest."""
        attempt = request.attempts[index]
        limit = min(attempt.timeout_at, request.deadline) - self._now
        if request.service_class.get("streaming") and outcome == "delivered" and delay < limit:
            self._schedule(delay, lambda: self._start_stream(instance, request, index))
            return
        if delay >= limit:
            outcome, delay = "expired", max(limit, 0)
        self._schedule(delay, lambda: self._finish(instance, request, index, outcome))

    def _start_stream(self, instance: SimulatedSidecar, request: SimulatedRequest, index: int) -> None:
        attempt = request.attempts[index]
        is_late = request.is_settled or any(other.is_started for other in request.attempts)
        if not attempt.is_pending or is_late or self._is_of_earlier_process(instance, request):
            self._finish(instance, request, index, "unused")
            return
        attempt.is_started = True
        elapsed = self._now - attempt.sent_at
        first = ["FIRST", instance.name, request.number, index, elapsed, attempt.server.name]
        self._batch += [first] * (2 if self._occurs(self._scenario.repeated_end_rate) else 1)
        outcome = "dropped" if self._occurs(0.1) else "delivered"
        delay_us = self._rng.expovariate(1 / (300 * MS))
        self._schedule(delay_us, lambda: self._finish(instance, request, index, outcome))

    def _finish(
        self, instance: SimulatedSidecar, request: SimulatedRequest, index: int, outcome: str
    ) -> None:
        attempt = request.attempts[index]
        if not attempt.is_pending:
            return
        attempt.is_pending = False
        server = attempt.server
        server.in_flight -= 1
        if self._is_of_earlier_process(instance, request):
            return
        if outcome == "delivered" or attempt.is_started:
            request.is_settled = True
        if outcome in ("delivered", "app_error"):
            instance.idle_since[server.name] = self._now
        elapsed = self._now - attempt.sent_at
        message = ["ATTEMPT_END", instance.name, request.number, index, server.name, outcome, elapsed]
        message += [request.is_settled, self._load_report(server, outcome)]
        if self._scenario.is_direct:
            is_consumed = request.is_body_arriving and outcome in ("dropped", "shed") and self._occurs(0.5)
            message.append(is_consumed)
        self._batch += [message] * (2 if self._occurs(self._scenario.repeated_end_rate) else 1)

    @staticmethod
    def _is_of_earlier_process(instance: SimulatedSidecar, request: SimulatedRequest) -> bool:
        """Whether the request belongs to an earlier process of the instance."""
        return instance.requests.get(request.number) is not request

    def _load_report(self, server: SimulatedServer, outcome: str) -> dict[str, float] | None:
        report = self._settings.get("report", {})
        if report.get("source") != "piggyback" or outcome not in ("delivered", "app_error", "shed"):
            return None
        utilization = min(server.in_flight / server.concurrency, 1.0) * self._rng.uniform(0.9, 1.2)
        values = {"util": utilization, "inflight": server.in_flight, "latency_ms": 12.5}
        return {column: values[column] for column in report["columns"]}

    def _cancel_attempt(self, instance: SimulatedSidecar, number: int, index: int) -> None:
        request = instance.requests[number]
        if not request.attempts[index].is_started:
            self._call_later(instance, 0, lambda: self._finish(instance, request, index, "revoked"))

    def _close_idle_connection(self, instance: SimulatedSidecar, name: str) -> None:
        instance.idle_since.pop(name, None)

    def _schedule_wakeup(self, instance: SimulatedSidecar, in_us: int, token: str) -> None:
        self._call_later(instance, in_us, lambda: self._batch.append(["WAKE", instance.name, token]))

    # Faults

    def _start_fault(self, fault: Fault) -> None:
        """Start a fault and schedule its end."""
        start, stop = {
            "behaviour": (self._misbehave, self._recover),
            "slow": (self._slow, self._recover),
            "idle_dies": (self._set_idle_timeout, self._recover),
            "down": (self._stop_servers, self._start_servers),
            "drain": (self._drain, self._start_servers),
            "remove": (self._remove, self._start_servers),
            "relist": (self._change_sizes, None),
            "unreachable": (self._make_unreachable, self._recover),
            "exclude": (self._exclude, self._include),
            "burst": (self._start_burst, self._end_burst),
            "discovery": (self._stop_discovery, self._restore_discovery),
            "restart_instance": (self._stop_first_instance, self._start_first_instance),
            "tier": (self._report_tier_size, None),
            "unasked": (self._send_unsolicited_events, None),
        }[fault.kind]
        servers = [server for server in self._servers.values() if fault.zone in (None, server.zone)]
        servers = self._rng.sample(servers, min(fault.servers or len(servers), len(servers)))
        start(servers, fault)
        if stop is not None:
            self._schedule(fault.duration_us, lambda: stop(servers, fault))

    def _start_burst(self, servers: list[SimulatedServer], fault: Fault) -> None:
        self._arrival_factor = fault.factor

    def _end_burst(self, servers: list[SimulatedServer], fault: Fault) -> None:
        self._arrival_factor = 1.0

    def _stop_discovery(self, servers: list[SimulatedServer], fault: Fault) -> None:
        self._is_discovery_up = False
        for instance in self._instances:
            if instance.is_subscribed and self._settings["discovery"] == "on_request":
                instance.is_subscribed = False
                if instance.is_running:
                    self._batch.append(["TARGETS", instance.name, "failed", 0, 0])

    def _restore_discovery(self, servers: list[SimulatedServer], fault: Fault) -> None:
        self._is_discovery_up = True

    def _stop_first_instance(self, servers: list[SimulatedServer], fault: Fault) -> None:
        self._stop_instance(self._instances[0])

    def _start_first_instance(self, servers: list[SimulatedServer], fault: Fault) -> None:
        self._start_instance(self._instances[0])

    def _report_tier_size(self, servers: list[SimulatedServer], fault: Fault) -> None:
        size, present = self._scenario.group_size, int(fault.factor)
        for instance in self._instances:
            self._batch.append(["TIER", instance.name, size, present, present, 2 * present <= size])

    def _change_sizes(self, servers: list[SimulatedServer], fault: Fault) -> None:
        for server in servers:
            server.nominal = self._rng.choice(self._scenario.sizes)
        self._publish_changes(servers)

    def _send_unsolicited_events(self, servers: list[SimulatedServer], fault: Fault) -> None:
        """Send events about requests and servers that the instance does not know, or that it must ignore."""
        instance, server = self._instances[0], servers[0].name
        name = instance.name
        open_requests = [number for number, request in instance.requests.items() if not request.is_settled]
        settled = [number for number in instance.requests if number not in open_requests]
        self._batch.append(["MEMO", name, 1, "686920"])
        self._batch.append(["SAMPLED", name, 5_000, "delivered", server, {"util": 0.5}])
        self._batch.append(["WAKE", name, "unasked"])
        self._batch += [["CLIENT_GONE", name, number] for number in (2**40, *settled)]
        for number in (2**40, *open_requests):
            end = ["ATTEMPT_END", name, number, 9, server, "delivered", 9, True, None]
            self._batch.append([*end, False] if self._scenario.is_direct else end)
            self._batch.append(["FIRST", name, number, 9, 9, server])
        if self._scenario.is_direct:
            self._batch.append(["COMPLETE", name, 2**40, 5_000])
            self._batch += [["INCLUDE", name, "10.9.9.9:1"], ["EXCLUDE", name, "10.9.9.9:1"]]

    def _misbehave(self, servers: list[SimulatedServer], fault: Fault) -> None:
        for server in servers:
            server.behaviour = fault.behaviour

    def _slow(self, servers: list[SimulatedServer], fault: Fault) -> None:
        for server in servers:
            server.latency_factor = fault.factor

    def _set_idle_timeout(self, servers: list[SimulatedServer], fault: Fault) -> None:
        for server in servers:
            server.idle_timeout_us = int(fault.factor)

    def _recover(self, servers: list[SimulatedServer], fault: Fault) -> None:
        for server in servers:
            server.behaviour, server.latency_factor = "normal", 1.0
            server.is_reachable, server.idle_timeout_us = True, FOREVER_US

    def _make_unreachable(self, servers: list[SimulatedServer], fault: Fault) -> None:
        for server in servers:
            server.is_reachable = False

    def _stop_servers(self, servers: list[SimulatedServer], fault: Fault) -> None:
        for server in servers:
            server.is_up = False
        self._drop_attempts(servers)

    def _drop_attempts(self, servers: list[SimulatedServer]) -> None:
        for instance in self._instances:
            for request in list(instance.requests.values()):
                for index, attempt in enumerate(request.attempts):
                    if attempt.is_pending and attempt.server in servers:
                        self._finish(instance, request, index, "dropped")

    def _start_servers(self, servers: list[SimulatedServer], fault: Fault) -> None:
        for server in servers:
            server.is_up, server.state, server.started_at = True, "ready", self._now
            if fault.moves_servers:
                server.nominal *= 2
                server.zone = self._scenario.zones[0]
        self._publish_changes(servers)

    def _drain(self, servers: list[SimulatedServer], fault: Fault) -> None:
        for server in servers:
            server.state = "draining"
            if fault.moves_servers:
                server.started_at = self._now
        self._publish_changes(servers)
        self._schedule(fault.duration_us / 2, lambda: self._remove(servers, fault))

    def _remove(self, servers: list[SimulatedServer], fault: Fault) -> None:
        for server in servers:
            server.state, server.is_up = "gone", False
        self._publish_changes(servers)
        self._schedule(200 * MS, lambda: self._drop_attempts(servers))

    def _exclude(self, servers: list[SimulatedServer], fault: Fault) -> None:
        for instance in self._instances:
            for server in servers:
                self._batch += [["EXCLUDE", instance.name, server.name]] * 2

    def _include(self, servers: list[SimulatedServer], fault: Fault) -> None:
        for instance in self._instances:
            for server in servers:
                self._batch += [["INCLUDE", instance.name, server.name]] * 2
