"""Simulated clients, servers and service discovery around balancers, in virtual time.

A run is closed-loop: replies decide which events come next.  All chance is drawn from one generator that is
seeded by the scenario, and events of one instant are delivered in the order they were scheduled.
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
    SimulatedInstance,
    SimulatedRequest,
    SimulatedServer,
)
from simulator_ports import Port
from simulator_scenarios import Fault, Scenario

START_US = 7 * S
PAGES = 16  # numbers of lists that may be in use


class Simulation:
    """Plays one scenario and gives the lines of all replies."""

    def __init__(self, scenario: Scenario, port: Port) -> None:
        self._scenario = scenario
        self._port = port
        self._rng = random.Random(scenario.seed)
        self._boot = scenario.settings
        self._tick_us: int = self._boot["quantumUs"]
        self._now = START_US
        self._agenda: list[tuple[int, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._batch: list[Message] = []
        self._page = 0
        self._version = 1
        self._next_request = 1
        self._discovery_is_up = True
        self._arrival_factor = 1.0
        self._servers = {server.name: server for server in self._make_servers()}
        self._instances = [SimulatedInstance(number) for number in range(scenario.instances)]
        self._reactions: dict[str, Callable[..., None]] = {
            "ASSIGN": self._assigned,
            "NOT_NOW": self._rejected,
            "SURRENDER": self._failed,
            "ABORT_ATTEMPT": self._aborted,
            "REMIND": self._reminded,
            "SHUT_IDLE": self._idle_shut,
            "FOLLOW": self._followed,
            "REMARK": lambda instance, text: None,
            "COUNTS": lambda instance, listed, unavailable: None,
        }

    def replies(self) -> Iterator[str]:
        """Play to the end; log texts are left out, their places are kept."""
        for instance in self._instances:
            self._at(0, lambda instance=instance: self._begin(instance))  # type: ignore[misc]
        for fault in self._scenario.faults:
            self._at(fault.at_us, lambda fault=fault: self._faulted(fault))  # type: ignore[misc]
        end = START_US + self._scenario.duration_us
        while self._agenda and self._now < end:
            self._advance()
            for line in self._port.exchange(self._now, self._batch):
                message = json.loads(line)
                if message[0] == "REMARK":
                    line = json.dumps([*message[:2], ""], separators=(",", ":"))
                yield line
                if message[0] != "DONE":
                    self._react(message)

    def _advance(self) -> None:
        """Move on to the next tick with events, and collect these."""
        due = max(self._agenda[0][0], self._now + 1) - START_US
        self._now = START_US + -(-due // self._tick_us) * self._tick_us
        self._batch = []
        while self._agenda and self._agenda[0][0] <= self._now:
            heapq.heappop(self._agenda)[2]()

    def _react(self, message: Message) -> None:
        name, who, *values = message
        instance = self._instances[int(who.removeprefix("sidecar-"))]
        if instance.is_running:
            self._reactions[name](instance, *values)

    def _at(self, delay_us: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._agenda, (self._now + int(delay_us), next(self._order), callback))

    def _in_life(self, instance: SimulatedInstance, delay_us: float, callback: Callable[[], None]) -> None:
        """Call back unless the instance has ended by then."""
        life = instance.life

        def call() -> None:
            if instance.is_running and instance.life == life:
                callback()

        self._at(delay_us, call)

    def _chance(self, odds: float) -> bool:
        return self._rng.random() < odds

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

    def _begin(self, instance: SimulatedInstance) -> None:
        instance.is_running = True
        instance.life += 1
        instance.is_subscribed = self._boot["discovery"] == "pushed"
        settings = {**self._boot, "me": instance.number, "groupSize": self._scenario.group_size}
        self._batch.append(["BEGIN", instance.who, self._rng.randrange(2**32), settings])
        self._list(instance, "cached", self._servers.values())
        if self._scenario.arrivals_per_s > 0.0:
            self._expect_arrival(instance, self._now)

    def _exit(self, instance: SimulatedInstance) -> None:
        self._batch.append(["EXIT", instance.who])
        instance.is_running = False
        instance.requests.clear()
        instance.idle_since.clear()

    def _list(self, instance: SimulatedInstance, kind: str, servers: Iterable[SimulatedServer]) -> None:
        self._page = (self._page + 1) % PAGES
        lines = [server.listed() for server in servers if kind == "delta" or server.state != "gone"]
        self._batch.append(["PAGE", self._page, lines])
        self._batch.append(["TARGETS", instance.who, kind, self._page, self._version])

    def _changed(self, servers: list[SimulatedServer]) -> None:
        """Let subscribers know of changed entries, each after a while."""
        self._version += 1
        for instance in self._instances:
            if instance.is_subscribed and self._discovery_is_up:
                delay = self._rng.uniform(5 * MS, 80 * MS)
                self._in_life(instance, delay, lambda i=instance: self._list(i, "delta", servers))  # type: ignore[misc]

    def _followed(self, instance: SimulatedInstance, wanted: bool) -> None:
        def answer() -> None:
            if not self._discovery_is_up or self._chance(self._scenario.call_failure_rate):
                self._batch.append(["TARGETS", instance.who, "failed", 0, 0])
                return
            instance.is_subscribed = wanted
            self._list(instance, "delta" if self._chance(0.2) else "full", self._servers.values())

        if not self._chance(self._scenario.lost_call_rate):
            self._in_life(instance, self._rng.uniform(2 * MS, 60 * MS), answer)

    # Clients

    def _expect_arrival(self, instance: SimulatedInstance, after: float) -> None:
        """Draw the next arrival from the last one's own time, which may lie between two ticks."""
        rate = self._scenario.arrivals_per_s * self._arrival_factor / len(self._instances)
        arrives_at = after + self._rng.expovariate(rate) * S
        self._in_life(instance, arrives_at - self._now, lambda: self._arrive(instance, arrives_at))

    def _arrive(self, instance: SimulatedInstance, arrives_at: float) -> None:
        kind = self._rng.choices(self._boot["lanes"], self._scenario.lane_weights)[0]
        tenants = self._boot.get("realms")
        tenant = self._rng.choices(tenants, self._scenario.tenant_weights)[0]["name"] if tenants else None
        self._offer(instance, kind, tenant, flags=1 if self._chance(self._scenario.hint_rate) else 0)
        self._expect_arrival(instance, arrives_at)

    def _offer(
        self, instance: SimulatedInstance, kind: dict[str, Any], tenant: str | None, flags: int
    ) -> None:
        work_us = int(self._scenario.work_us * self._rng.choice(self._scenario.work_factors))
        remaining_us = int(kind["giveUpUs"] * self._rng.uniform(0.6, 1.0))
        arriving = self._chance(self._scenario.streamed_body_rate)
        number, self._next_request = self._next_request, self._next_request + 1
        deadline = self._now + (FOREVER_US if arriving else remaining_us)
        request = SimulatedRequest(number, kind, work_us, self._now, deadline, arriving)
        instance.requests[number] = request
        key = self._rng.randrange(40) if self._chance(0.5) else None
        name = "unnamed" if self._chance(self._scenario.unnamed_class_rate) else kind["name"]
        hint_us = -1 if self._chance(self._scenario.wrong_hint_rate) else work_us
        item = ["WORK_ITEM", instance.who, number, name, tenant, key, remaining_us, hint_us, flags]
        self._batch.append([*item, arriving] if self._scenario.is_direct else item)
        if arriving:
            upload = self._rng.expovariate(1 / (200 * MS))
            self._in_life(instance, upload, lambda: self._uploaded(instance, request, remaining_us))
        else:
            self._in_life(instance, remaining_us, lambda: self._leave(instance, request))
        if self._chance(self._scenario.disconnect_rate):
            stay = self._rng.uniform(0, remaining_us)
            self._in_life(instance, stay, lambda: self._hang_up(instance, request))

    def _uploaded(self, instance: SimulatedInstance, request: SimulatedRequest, remaining_us: int) -> None:
        request.arriving = False
        request.deadline = self._now + remaining_us
        self._batch.append(["COMPLETE", instance.who, request.number, remaining_us])
        self._in_life(instance, remaining_us, lambda: self._leave(instance, request))
        for index, attempt in enumerate(request.attempts):
            if attempt.is_pending and not attempt.is_started:
                verdict, delay = self._fate(instance, attempt.server, request)
                self._play_out(instance, request, index, verdict, delay)

    def _hang_up(self, instance: SimulatedInstance, request: SimulatedRequest) -> None:
        """The client goes away early, in the middle of a stream as well, or when it is answered already."""
        request.is_answered = True
        self._batch.append(["CLIENT_GONE", instance.who, request.number])

    def _leave(self, instance: SimulatedInstance, request: SimulatedRequest) -> None:
        """The client's time is up."""
        if not request.is_answered and not any(attempt.is_started for attempt in request.attempts):
            request.is_answered = True
            self._batch.append(["CLIENT_GONE", instance.who, request.number])

    def _rejected(self, instance: SimulatedInstance, number: int, retry_in_us: int) -> None:
        kind = instance.requests[number].kind
        self._failed(instance, number)
        if self._chance(self._scenario.client_retry_rate):
            wait = retry_in_us or self._rng.uniform(10 * MS, 300 * MS)
            self._in_life(instance, wait, lambda: self._offer(instance, kind, None, flags=3))

    def _failed(self, instance: SimulatedInstance, number: int) -> None:
        instance.requests[number].is_answered = True

    # Attempts

    def _assigned(
        self, instance: SimulatedInstance, number: int, name: str, until: int, begin_by: int | None = None
    ) -> None:
        request, server = instance.requests[number], self._servers[name]
        index = len(request.attempts)
        request.attempts.append(SimulatedAttempt(server, self._now, until))
        server.in_flight += 1
        if request.is_answered or self._chance(self._scenario.unsent_rate):
            self._play_out(instance, request, index, "unused", 0)
            return
        verdict, delay = self._fate(instance, server, request)
        if not request.arriving or verdict in ("dial_failed", "dropped", "shed"):
            self._play_out(instance, request, index, verdict, delay)
        elif request.kind.get("streaming") and self._chance(0.2):
            self._at(delay, lambda: self._start_stream(instance, request, index))

    def _fate(
        self, instance: SimulatedInstance, server: SimulatedServer, request: SimulatedRequest
    ) -> tuple[str, float]:
        """How an attempt will end, and after how long unless its time-out comes first."""
        idle_since = instance.idle_since.pop(server.name, None)
        if not server.is_reachable:
            return "dial_failed", self._boot["bounds"]["dialTimeoutUs"]
        if not server.is_up:
            return "dial_failed", self._rng.uniform(0, 3 * MS)
        idle_us = 0 if idle_since is None else self._now - idle_since
        is_stale = server.idle_dies_us <= idle_us < self._boot["bounds"]["idleCloseUs"]
        if is_stale or server.behaviour == "silent":
            return "expired", FOREVER_US
        if server.behaviour != "normal" and self._chance(0.9):
            return server.behaviour, self._rng.uniform(1 * MS, self._rng.choice((10 * MS, 300 * MS)))
        if server.in_flight > server.queue_limit:
            return "shed", self._rng.uniform(0, 2 * MS)
        crowding = max(1.0, server.in_flight / server.concurrency)
        pace = server.slowness * crowding / (server.speed * self._warmth(server))
        return "delivered", request.work_us * pace * self._rng.uniform(0.7, 1.5)

    def _warmth(self, server: SimulatedServer) -> float:
        if server.started_at is None:
            return 1.0
        rules = self._boot["guarantees"]
        age = (self._now - server.started_at) / rules["coldUs"]
        warmth: float = min(1.0, rules["coldFrom"] + age)
        return warmth

    def _play_out(
        self, instance: SimulatedInstance, request: SimulatedRequest, index: int, verdict: str, delay: float
    ) -> None:
        """Schedule the end of an attempt, cut by its time-out."""
        attempt = request.attempts[index]
        limit = min(attempt.until, request.deadline) - self._now
        if request.kind.get("streaming") and verdict == "delivered" and delay < limit:
            self._at(delay, lambda: self._start_stream(instance, request, index))
            return
        if delay >= limit:
            verdict, delay = "expired", max(limit, 0)
        self._at(delay, lambda: self._end(instance, request, index, verdict))

    def _start_stream(self, instance: SimulatedInstance, request: SimulatedRequest, index: int) -> None:
        attempt = request.attempts[index]
        is_late = request.is_answered or any(other.is_started for other in request.attempts)
        if not attempt.is_pending or is_late or self._is_void(instance, request):
            self._end(instance, request, index, "unused")
            return
        attempt.is_started = True
        elapsed = self._now - attempt.sent_at
        first = ["FIRST", instance.who, request.number, index, elapsed, attempt.server.name]
        self._batch += [first] * (2 if self._chance(self._scenario.repeated_end_rate) else 1)
        verdict = "dropped" if self._chance(0.1) else "delivered"
        self._at(self._rng.expovariate(1 / (300 * MS)), lambda: self._end(instance, request, index, verdict))

    def _end(self, instance: SimulatedInstance, request: SimulatedRequest, index: int, verdict: str) -> None:
        attempt = request.attempts[index]
        if not attempt.is_pending:
            return
        attempt.is_pending = False
        server = attempt.server
        server.in_flight -= 1
        if self._is_void(instance, request):
            return
        if verdict == "delivered" or attempt.is_started:
            request.is_answered = True
        if verdict in ("delivered", "app_error"):
            instance.idle_since[server.name] = self._now
        elapsed = self._now - attempt.sent_at
        message = ["ATTEMPT_END", instance.who, request.number, index, server.name, verdict, elapsed]
        message += [request.is_answered, self._report(server, verdict)]
        if self._scenario.is_direct:
            spent = request.arriving and verdict in ("dropped", "shed") and self._chance(0.5)
            message.append(spent)
        self._batch += [message] * (2 if self._chance(self._scenario.repeated_end_rate) else 1)

    @staticmethod
    def _is_void(instance: SimulatedInstance, request: SimulatedRequest) -> bool:
        """Whether the request died with an earlier life of its instance."""
        return instance.requests.get(request.number) is not request

    def _report(self, server: SimulatedServer, verdict: str) -> dict[str, float] | None:
        report = self._boot.get("report", {})
        if report.get("source") != "piggyback" or verdict not in ("delivered", "app_error", "shed"):
            return None
        busy = min(server.in_flight / server.concurrency, 1.0) * self._rng.uniform(0.9, 1.2)
        figures = {"util": busy, "inflight": server.in_flight, "latency_ms": 12.5}
        return {column: figures[column] for column in report["columns"]}

    def _aborted(self, instance: SimulatedInstance, number: int, index: int) -> None:
        request = instance.requests[number]
        if not request.attempts[index].is_started:
            self._in_life(instance, 0, lambda: self._end(instance, request, index, "revoked"))

    def _idle_shut(self, instance: SimulatedInstance, name: str) -> None:
        instance.idle_since.pop(name, None)

    def _reminded(self, instance: SimulatedInstance, in_us: int, token: str) -> None:
        self._in_life(instance, in_us, lambda: self._batch.append(["WAKE", instance.who, token]))

    # Faults

    def _faulted(self, fault: Fault) -> None:
        """Begin a fault and plan its end."""
        begin, end = {
            "behaviour": (self._misbehave, self._recover),
            "slow": (self._slow, self._recover),
            "idle_dies": (self._kill_idle, self._recover),
            "down": (self._stop_process, self._start_process),
            "drain": (self._drain, self._start_process),
            "remove": (self._remove, self._start_process),
            "relist": (self._relist, None),
            "unreachable": (self._cut, self._recover),
            "exclude": (self._exclude, self._include),
            "burst": (self._surge, self._calm),
            "discovery": (self._lose_discovery, self._regain_discovery),
            "restart_instance": (self._exit_first, self._begin_first),
            "tier": (self._size_tier, None),
            "unasked": (self._deliver_unasked, None),
        }[fault.kind]
        servers = [s for s in self._servers.values() if fault.zone is None or s.zone == fault.zone]
        servers = self._rng.sample(servers, min(fault.servers or len(servers), len(servers)))
        begin(servers, fault)
        if end is not None:
            self._at(fault.duration_us, lambda: end(servers, fault))

    def _surge(self, servers: list[SimulatedServer], fault: Fault) -> None:
        self._arrival_factor = fault.factor

    def _calm(self, servers: list[SimulatedServer], fault: Fault) -> None:
        self._arrival_factor = 1.0

    def _lose_discovery(self, servers: list[SimulatedServer], fault: Fault) -> None:
        self._discovery_is_up = False
        for instance in self._instances:
            if instance.is_subscribed and self._boot["discovery"] == "on_request":
                instance.is_subscribed = False
                if instance.is_running:
                    self._batch.append(["TARGETS", instance.who, "failed", 0, 0])

    def _regain_discovery(self, servers: list[SimulatedServer], fault: Fault) -> None:
        self._discovery_is_up = True

    def _exit_first(self, servers: list[SimulatedServer], fault: Fault) -> None:
        self._exit(self._instances[0])

    def _begin_first(self, servers: list[SimulatedServer], fault: Fault) -> None:
        self._begin(self._instances[0])

    def _size_tier(self, servers: list[SimulatedServer], fault: Fault) -> None:
        size, present = self._scenario.group_size, int(fault.factor)
        for instance in self._instances:
            self._batch.append(["TIER", instance.who, size, present, present, 2 * present <= size])

    def _relist(self, servers: list[SimulatedServer], fault: Fault) -> None:
        for server in servers:
            server.nominal = self._rng.choice(self._scenario.sizes)
        self._changed(servers)

    def _deliver_unasked(self, servers: list[SimulatedServer], fault: Fault) -> None:
        """Events that concern nothing the instance knows, or that it has no use for."""
        instance, server = self._instances[0], servers[0].name
        who = instance.who
        waiting = [number for number, request in instance.requests.items() if not request.is_answered]
        over = [number for number in instance.requests if number not in waiting]
        self._batch.append(["MEMO", who, 1, "686920"])
        self._batch.append(["SAMPLED", who, 5_000, "delivered", server, {"util": 0.5}])
        self._batch.append(["WAKE", who, "unasked"])
        self._batch += [["CLIENT_GONE", who, number] for number in (2**40, *over)]
        for number in (2**40, *waiting):
            end = ["ATTEMPT_END", who, number, 9, server, "delivered", 9, True, None]
            self._batch.append([*end, False] if self._scenario.is_direct else end)
            self._batch.append(["FIRST", who, number, 9, 9, server])
        if self._scenario.is_direct:
            self._batch.append(["COMPLETE", who, 2**40, 5_000])
            self._batch += [["INCLUDE", who, "10.9.9.9:1"], ["EXCLUDE", who, "10.9.9.9:1"]]

    def _misbehave(self, servers: list[SimulatedServer], fault: Fault) -> None:
        for server in servers:
            server.behaviour = fault.behaviour

    def _slow(self, servers: list[SimulatedServer], fault: Fault) -> None:
        for server in servers:
            server.slowness = fault.factor

    def _kill_idle(self, servers: list[SimulatedServer], fault: Fault) -> None:
        for server in servers:
            server.idle_dies_us = int(fault.factor)

    def _recover(self, servers: list[SimulatedServer], fault: Fault) -> None:
        for server in servers:
            server.behaviour, server.slowness = "normal", 1.0
            server.is_reachable, server.idle_dies_us = True, FOREVER_US

    def _cut(self, servers: list[SimulatedServer], fault: Fault) -> None:
        for server in servers:
            server.is_reachable = False

    def _stop_process(self, servers: list[SimulatedServer], fault: Fault) -> None:
        for server in servers:
            server.is_up = False
        self._drop_attempts(servers)

    def _drop_attempts(self, servers: list[SimulatedServer]) -> None:
        for instance in self._instances:
            for request in list(instance.requests.values()):
                for index, attempt in enumerate(request.attempts):
                    if attempt.is_pending and attempt.server in servers:
                        self._end(instance, request, index, "dropped")

    def _start_process(self, servers: list[SimulatedServer], fault: Fault) -> None:
        for server in servers:
            server.is_up, server.state, server.started_at = True, "ready", self._now
            if fault.moves_servers:
                server.nominal *= 2
                server.zone = self._scenario.zones[0]
        self._changed(servers)

    def _drain(self, servers: list[SimulatedServer], fault: Fault) -> None:
        for server in servers:
            server.state = "draining"
            if fault.moves_servers:
                server.started_at = self._now
        self._changed(servers)
        self._at(fault.duration_us / 2, lambda: self._remove(servers, fault))

    def _remove(self, servers: list[SimulatedServer], fault: Fault) -> None:
        for server in servers:
            server.state, server.is_up = "gone", False
        self._changed(servers)
        self._at(200 * MS, lambda: self._drop_attempts(servers))

    def _exclude(self, servers: list[SimulatedServer], fault: Fault) -> None:
        for instance in self._instances:
            for server in servers:
                self._batch += [["EXCLUDE", instance.who, server.name]] * 2

    def _include(self, servers: list[SimulatedServer], fault: Fault) -> None:
        for instance in self._instances:
            for server in servers:
                self._batch += [["INCLUDE", instance.who, server.name]] * 2
