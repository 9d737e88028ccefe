"""Plays one day in virtual time and gives its log: the same for the same seed, on any machine."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterator
from pathlib import Path

from balancer import Settings
from balancer.events import RequestArrived
from balancer.settings_wire import settings_from_wire
from testbed import events as log
from testbed.catalog import server_state_changes
from testbed.links import NEVER, Link, Links
from testbed.load.client_behavior import MAX_REQUESTS_PER_ARRIVAL
from testbed.scenario.arrivals import Arrival, draw_arrivals
from testbed.scenario.scenario_run import Fault, ScenarioRun
from testbed.scenario.settings import replica_settings, sigkill_delay_us
from testbed.simulation.clients import Clients
from testbed.simulation.discovery import ModelDiscovery
from testbed.simulation.policies import Policy, SeesTrueState, policy_named
from testbed.simulation.queue import Queue
from testbed.simulation.servers import ModelServer, Sink
from testbed.simulation.sidecar import EPOCH_US, Sidecar
from testbed.streams import seeded

START_US = 150_000  # from a process's start to its readiness, as real ones take on a quiet machine
_LISTENS_ON_US = 400_000  # after SIGTERM
_GRACE_US = 600_000
_FIGURES_EVERY_US = 500_000
_FIGURES_OF = 32  # copies at most: each looks at its whole list


class Copy:
    """One copy over the day: its processes, one after the other."""

    def __init__(self, model: Model, number: int) -> None:
        self.queue, self.day, self.number = model.queue, model.day, number
        self.settings: Settings = settings_from_wire(replica_settings(model.day, number))
        self.servers, self.discovery = model.servers, model.discovery
        own = self._party = model.day.replicas[number].party
        self._model = model
        self._seeds = seeded(model.day.seed, own)
        rng = seeded(model.day.seed, f"load.{number}")
        self.client = Clients(model.day, number, model.queue, model.sink, rng, self._take, _GRACE_US)
        self._process: Sidecar | None = None
        self._accepts = False
        self._pauses = 0
        self._lives = 0

    # What a process of it needs

    def link(self, server: int) -> Link:
        """What lies between it and a server; made when it is first asked for, as most never are."""
        return self._model.links.between(self._party, self.servers[server].party)

    def next_attempt(self) -> int:
        """The next attempt number, unique in the run."""
        return next(self._model.attempts)

    def connected(self, server: int, *, opened: bool) -> None:
        """Log that a connection to a server was opened or closed."""
        at = self.queue.now
        self._model.sink(log.ConnectionChanged(at_us=at, replica=self.number, server=server, opened=opened))

    def tell(self, receiver: int | None, payload: bytes) -> None:
        """Send a datagram to one replica, or to all."""
        self._model.tell(self.number, receiver, payload)

    def hear(self, sender: int, payload: bytes) -> None:
        """Receive a datagram, while the process runs."""
        if self._process is not None and not self._process.is_over:
            self._process.hear(sender, payload)

    # Its life

    def _say(self, what: str, life: int, code: int | None = None) -> None:
        at = self.queue.now
        self._model.sink(
            log.ReplicaStateChanged(
                at_us=at, replica=self.number, incarnation=life, state=what, exit_code=code
            )
        )

    def start(self) -> None:
        """Start the next process; a restart takes `START_US`."""
        self._lives += 1
        self._say("started", self._lives)
        self.queue.after(START_US if self._lives > 1 else 0, self._ready, self._lives)

    def _ready(self, life: int) -> None:
        if life != self._lives:
            return
        policy = self._model.policy(self.settings, self._seeds.getrandbits(64))
        if isinstance(policy, SeesTrueState):
            policy.look = self._model.held
        self._process = Sidecar(self, policy, self.discovery.catalog.version_at(self.queue.now))
        self._accepts = True
        self._say("ready", life)

    def figures(self) -> None:
        """Say what the decisions avoid, where they know."""
        process = self._process
        if process is None or process.is_over:
            return
        counted = process.members()
        if counted is not None:
            at, (members, unavailable) = self.queue.now, counted
            self._model.sink(
                log.MetricsReported(
                    at_us=at,
                    replica=self.number,
                    incarnation=self._lives,
                    pending_requests=process.owed,
                    listed_endpoints=members,
                    unavailable_endpoints=unavailable,
                )
            )

    def _take(self, number: int, event: RequestArrived, work: int) -> bool:
        if not self._accepts or self._process is None:
            return False
        self.client.taken(number, number // MAX_REQUESTS_PER_ARRIVAL, self.queue.now + event.remaining_us)
        self._process.take(number, event, work)
        return True

    def kill(self) -> bool:
        """No if there is no process."""
        process = self._process
        if process is None or process.is_over:
            return False
        self._accepts = False
        self._pauses = 0
        self._say("killed", self._lives)
        self._drop(process)
        return True

    def _drop(self, process: Sidecar) -> None:
        for request in process.kill():
            self.client.lost(request)

    def stop(self) -> None:
        """SIGTERM: it goes on listening a little, answers what it took, ends, and is started again."""
        process, life = self._process, self._lives
        if process is None or process.is_over:
            return
        self._say("stopping", life)
        until = self.queue.now + sigkill_delay_us(self.day)
        self.queue.after(_LISTENS_ON_US, self._stop_listening, process)
        self.queue.after(_LISTENS_ON_US, self._end_when_done, process, life, until)

    def _stop_listening(self, process: Sidecar) -> None:
        if process is self._process:
            self._accepts = False

    def _end_when_done(self, process: Sidecar, life: int, until: int) -> None:
        if process.is_over:
            return
        if process.owed and self.queue.now < until:
            self.queue.after(10_000, self._end_when_done, process, life, until)
            return
        self._drop(process)
        self._say("ended", life, 0)
        if process is self._process:
            self.start()

    def upgrade(self) -> None:
        """A second process takes over once it is ready; the first answers what it holds."""
        old, life = self._process, self._lives
        if old is None or old.is_over:
            return
        self.start()
        self.queue.after(START_US, self._retire, old, life)

    def _retire(self, old: Sidecar, life: int) -> None:
        self._say("stopping", life)
        self._end_when_done(old, life, self.queue.now + sigkill_delay_us(self.day))

    def pause(self) -> None:
        """Pause the process; pauses nest."""
        if self._process is not None and not self._process.is_over:
            self._pauses += 1
            if self._pauses == 1:
                self._say("paused", self._lives)
            self._process.pause()

    def resume(self) -> None:
        """End one pause; the process continues when none is left."""
        if self._pauses:
            self._pauses -= 1
            if not self._pauses and self._process is not None:
                self._say("resumed", self._lives)
                self._process.resume()


class Model:
    """One day."""

    def __init__(self, day: ScenarioRun, policy: Callable[[Settings, int], Policy], sink: Sink) -> None:
        self.day, self.policy, self.sink = day, policy, sink
        self.queue = Queue()
        self.links = Links(day)
        self.attempts = itertools.count()
        self.servers = [
            ModelServer(day, server, self.queue, self.links, sink, seeded(day.seed, server.party))
            for server in day.servers
        ]
        self.discovery = ModelDiscovery(
            day, self.queue, self.links, sink, seeded(day.seed, "discovery"), EPOCH_US
        )
        self._chances = seeded(day.seed, "datagrams")
        self._copies = [Copy(self, copy.number) for copy in day.replicas]

    def play(self) -> None:
        """The day, until every answer that comes has come."""
        for copy in self._copies:
            copy.start()
        for at, server, what in server_state_changes(self.day):
            self.queue.at(at, self.servers[server].live, what)
        for trouble in self.day.faults:
            self._plan(trouble)
        self._figures()
        coming = iter(draw_arrivals(self.day))
        self._next(coming)
        longest = max(kind.deadline_us for kind in self.day.classes)
        self.queue.run(self.day.duration_us + longest + 2 * _GRACE_US)
        self.sink(log.RunFinished(at_us=self.queue.now))

    def _figures(self) -> None:
        for copy in self._copies[:_FIGURES_OF]:
            copy.figures()
        if self.queue.now < self.day.duration_us:
            self.queue.after(_FIGURES_EVERY_US, self._figures)

    def held(self, server: str) -> int:
        """What a server holds now."""
        return self.servers[int(server[2:])].held

    def _next(self, coming: Iterator[Arrival]) -> None:
        """The next first try, so that the queue never holds more than one of them."""
        arrival = next(coming, None)
        if arrival is not None:
            self.queue.at(arrival.at_us, self._begin, arrival, coming)

    def _begin(self, arrival: Arrival, coming: Iterator[Arrival]) -> None:
        self._copies[arrival.replica].client.begin(arrival)
        self._next(coming)

    def _plan(self, trouble: Fault) -> None:
        def log_begin() -> None:
            self.sink(log.FaultChanged(at_us=self.queue.now, fault_number=trouble.number, begins=True))

        def log_end() -> None:
            self.sink(log.FaultChanged(at_us=self.queue.now, fault_number=trouble.number, begins=False))

        self.queue.at(trouble.start_us, log_begin)
        if trouble.end_us > trouble.start_us:
            self.queue.at(trouble.end_us, log_end)
        for party in trouble.parties:
            if not party.startswith("copy:"):
                continue
            copy = self._copies[int(party[5:])]
            if trouble.kind in ("kill", "damaged", "clock"):
                self.queue.at(trouble.start_us, self._kill, copy, trouble)
            elif trouble.kind == "term":
                self.queue.at(trouble.start_us, copy.stop)
            elif trouble.kind == "upgrade":
                self.queue.at(trouble.start_us, copy.upgrade)
            elif trouble.kind == "pause":
                self.queue.at(trouble.start_us, copy.pause)
                self.queue.at(trouble.end_us, copy.resume)

    def _kill(self, copy: Copy, trouble: Fault) -> None:
        has_end = trouble.end_us > trouble.start_us
        if copy.kill() and (has_end or trouble.kind != "kill"):
            self.queue.at(trouble.end_us, copy.start)

    def tell(self, sender: int, receiver: int | None, payload: bytes) -> None:
        """A datagram, or one to everybody."""
        for target in range(len(self._copies)) if receiver is None else (receiver,):
            if target == sender:
                continue
            chances = self._chances.random(), self._chances.random(), self._chances.random()
            link = self.links.between(f"copy:{sender}", f"copy:{target}")
            arrivals_at = link.arrivals(self.queue.now, chances)
            if not arrivals_at:
                self._datagram(sender, target, payload, passed=False)
            for at in arrivals_at:
                if at < NEVER:
                    self.queue.at(at, self._deliver, sender, target, payload)

    def _deliver(self, sender: int, target: int, payload: bytes) -> None:
        self._datagram(sender, target, payload, passed=True)
        self._copies[target].hear(sender, payload)

    def _datagram(self, sender: int, target: int, payload: bytes, *, passed: bool) -> None:
        at, size = self.queue.now, len(payload)
        self.sink(
            log.DatagramSent(at_us=at, sender=sender, receiver=target, size_bytes=size, delivered=passed)
        )


def play(day: ScenarioRun, policy: str, sink: Sink, variant: str | None = None) -> None:
    """Play a day with a policy by its name, and hand every event of its log to `sink`."""
    sink(log.RunStarted(at_us=log.BEFORE_RUN_US, run=day, engine="model", variant=variant or policy))
    Model(day, policy_named(policy), sink).play()


def play_into(day: ScenarioRun, policy: str, path: Path) -> None:
    """Play a day and write its log."""
    with log.EventLogWriter(path) as writer:
        play(day, policy, writer.write)
