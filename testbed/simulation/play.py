"""Plays a scenario run in virtual time; the event log depends on the run and the policy alone."""

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
from testbed.simulation.discovery import SimulatedDiscovery
from testbed.simulation.policies import Policy, TrueStateBestOfFour, policy_factory
from testbed.simulation.queue import EventQueue
from testbed.simulation.servers import SimulatedServer, Sink
from testbed.simulation.sidecar import RUN_START_US, SidecarProcess
from testbed.streams import seeded

START_US = 150_000  # from the start of a process until it is ready, as for a real one on an idle machine
_LISTEN_AFTER_SIGTERM_US = 400_000
_DRAIN_CHECK_US = 10_000
_TIMEOUT_SLACK_US = 600_000
_METRICS_INTERVAL_US = 500_000
_MAX_METRICS_REPLICAS = 32  # only the first replicas report, as each report reads a whole endpoint list


class SimulatedReplica:
    """One replica during the run: its clients, and its processes one after another."""

    def __init__(self, simulation: Simulation, number: int) -> None:
        self.queue, self.run, self.number = simulation.queue, simulation.run, number
        self.settings: Settings = settings_from_wire(replica_settings(simulation.run, number))
        self.servers, self.discovery = simulation.servers, simulation.discovery
        self._party = simulation.run.replicas[number].party
        self._simulation = simulation
        self._policy_seeds = seeded(simulation.run.seed, self._party)
        self.clients = Clients(
            simulation.run,
            number,
            simulation.queue,
            simulation.sink,
            seeded(simulation.run.seed, f"load.{number}"),
            self._offer_request,
            _TIMEOUT_SLACK_US,
        )
        self._process: SidecarProcess | None = None
        self._is_listening = False
        self._pause_count = 0
        self._incarnation = 0

    # What its processes use

    def link(self, server: int) -> Link:
        """The link to a server, created on first use: a large run has many links that are never used."""
        return self._simulation.links.between(self._party, self.servers[server].party)

    def next_attempt(self) -> int:
        """The next attempt number, unique in the run."""
        return next(self._simulation.attempt_numbers)

    def log_connection(self, server: int, *, opened: bool) -> None:
        """Log that a connection to a server was opened or closed."""
        at = self.queue.now
        self._simulation.sink(
            log.ConnectionChanged(at_us=at, replica=self.number, server=server, opened=opened)
        )

    def send_datagram(self, receiver: int | None, payload: bytes) -> None:
        """Send a datagram to one replica, or to all."""
        self._simulation.send_datagram(self.number, receiver, payload)

    # Inputs

    def _running_process(self) -> SidecarProcess | None:
        process = self._process
        return None if process is None or process.has_ended else process

    def receive_datagram(self, sender: int, payload: bytes) -> None:
        """Pass a datagram to the process; it is lost if none is running."""
        process = self._running_process()
        if process is not None:
            process.receive_datagram(sender, payload)

    def _offer_request(self, request: int, event: RequestArrived, work_us: int) -> bool:
        if not self._is_listening or self._process is None:
            return False
        self.clients.log_sent(
            request, request // MAX_REQUESTS_PER_ARRIVAL, self.queue.now + event.remaining_us
        )
        self._process.accept(request, event, work_us)
        return True

    # Processes

    def _log_state(self, state: str, incarnation: int, exit_code: int | None = None) -> None:
        self._simulation.sink(
            log.ReplicaStateChanged(
                at_us=self.queue.now,
                replica=self.number,
                incarnation=incarnation,
                state=state,
                exit_code=exit_code,
            )
        )

    def start(self) -> None:
        """Start the next process; the first is ready at once, later ones after `START_US`."""
        self._incarnation += 1
        self._log_state("started", self._incarnation)
        self.queue.after(START_US if self._incarnation > 1 else 0, self._ready, self._incarnation)

    def _ready(self, incarnation: int) -> None:
        if incarnation != self._incarnation:
            return  # another process was started since
        policy = self._simulation.make_policy(self.settings, self._policy_seeds.getrandbits(64))
        if isinstance(policy, TrueStateBestOfFour):
            policy.server_load = self._simulation.server_load
        version = self.discovery.catalog.version_at(self.queue.now)
        self._process = SidecarProcess(self, policy, version)
        self._is_listening = True
        self._log_state("ready", incarnation)

    def report_metrics(self) -> None:
        """Log the metrics of the running process, if its policy counts endpoints."""
        process = self._running_process()
        if process is None:
            return
        counts = process.endpoint_counts()
        if counts is not None:
            listed, unavailable = counts
            self._simulation.sink(
                log.MetricsReported(
                    at_us=self.queue.now,
                    replica=self.number,
                    incarnation=self._incarnation,
                    pending_requests=process.pending_requests,
                    listed_endpoints=listed,
                    unavailable_endpoints=unavailable,
                )
            )

    def kill(self) -> bool:
        """Kill the process; return whether one was running."""
        process = self._running_process()
        if process is None:
            return False
        self._is_listening = False
        self._pause_count = 0
        self._log_state("killed", self._incarnation)
        self._end_process(process)
        return True

    def _end_process(self, process: SidecarProcess) -> None:
        for request in process.kill():
            self.clients.connection_lost(request)

    def stop(self) -> None:
        """Stop by SIGTERM: listen a little longer, drain, end, and start the next process."""
        process, incarnation = self._running_process(), self._incarnation
        if process is None:
            return
        self._log_state("stopping", incarnation)
        sigkill_at = self.queue.now + sigkill_delay_us(self.run)
        self.queue.after(_LISTEN_AFTER_SIGTERM_US, self._stop_listening, process)
        self.queue.after(_LISTEN_AFTER_SIGTERM_US, self._end_when_drained, process, incarnation, sigkill_at)

    def _stop_listening(self, process: SidecarProcess) -> None:
        if process is self._process:
            self._is_listening = False

    def _end_when_drained(self, process: SidecarProcess, incarnation: int, sigkill_at: int) -> None:
        """End a process once it has no pending requests, or at `sigkill_at`.

        If it is still the replica's current process, start the next.
        """
        if process.has_ended:
            return
        if process.pending_requests and self.queue.now < sigkill_at:
            self.queue.after(_DRAIN_CHECK_US, self._end_when_drained, process, incarnation, sigkill_at)
            return
        self._end_process(process)
        self._log_state("ended", incarnation, 0)
        if process is self._process:
            self.start()

    def upgrade(self) -> None:
        """Hot restart: start the next process, which takes over when it is ready; the old one drains."""
        old, incarnation = self._running_process(), self._incarnation
        if old is None:
            return
        self.start()
        self.queue.after(START_US, self._drain_old, old, incarnation)

    def _drain_old(self, old: SidecarProcess, incarnation: int) -> None:
        self._log_state("stopping", incarnation)
        self._end_when_drained(old, incarnation, self.queue.now + sigkill_delay_us(self.run))

    def pause(self) -> None:
        """Pause the process; pauses of several faults can overlap."""
        process = self._running_process()
        if process is not None:
            self._pause_count += 1
            if self._pause_count == 1:
                self._log_state("paused", self._incarnation)
            process.pause()

    def resume(self) -> None:
        """End one pause; the process continues when none is left."""
        if self._pause_count:
            self._pause_count -= 1
            if not self._pause_count and self._process is not None:
                self._log_state("resumed", self._incarnation)
                self._process.resume()


class Simulation:
    """One scenario run, played in virtual time with a policy."""

    def __init__(self, run: ScenarioRun, make_policy: Callable[[Settings, int], Policy], sink: Sink) -> None:
        self.run, self.make_policy, self.sink = run, make_policy, sink
        self.queue = EventQueue()
        self.links = Links(run)
        self.attempt_numbers = itertools.count()
        self.servers = [
            SimulatedServer(run, server, self.queue, self.links, sink, seeded(run.seed, server.party))
            for server in run.servers
        ]
        self.discovery = SimulatedDiscovery(
            run, self.queue, self.links, sink, seeded(run.seed, "discovery"), RUN_START_US
        )
        self._datagram_draws = seeded(run.seed, "datagrams")
        self._replicas = [SimulatedReplica(self, replica.number) for replica in run.replicas]

    def play(self) -> None:
        """Play the run, and go on until the last client request is answered or has timed out."""
        for replica in self._replicas:
            replica.start()
        for at, server, state in server_state_changes(self.run):
            self.queue.at(at, self.servers[server].change_state, state)
        for fault in self.run.faults:
            self._schedule_fault(fault)
        self._report_metrics()
        self._schedule_next(iter(draw_arrivals(self.run)))
        longest_deadline_us = max(service_class.deadline_us for service_class in self.run.classes)
        self.queue.run(self.run.duration_us + longest_deadline_us + 2 * _TIMEOUT_SLACK_US)
        self.sink(log.RunFinished(at_us=self.queue.now))

    def _report_metrics(self) -> None:
        for replica in self._replicas[:_MAX_METRICS_REPLICAS]:
            replica.report_metrics()
        if self.queue.now < self.run.duration_us:
            self.queue.after(_METRICS_INTERVAL_US, self._report_metrics)

    def server_load(self, endpoint: str) -> int:
        """The number of jobs of all replicas that a server holds now."""
        return self.servers[int(endpoint[2:])].job_count

    def _schedule_next(self, arrivals: Iterator[Arrival]) -> None:
        """Schedule the next arrival alone, so that the event queue stays short."""
        arrival = next(arrivals, None)
        if arrival is not None:
            self.queue.at(arrival.at_us, self._begin_request, arrival, arrivals)

    def _begin_request(self, arrival: Arrival, arrivals: Iterator[Arrival]) -> None:
        self._replicas[arrival.replica].clients.begin(arrival)
        self._schedule_next(arrivals)

    def _schedule_fault(self, fault: Fault) -> None:
        """Schedule the log events of a fault, and what it does to replicas; links and others read the run."""

        def log_begin() -> None:
            self.sink(log.FaultChanged(at_us=self.queue.now, fault_number=fault.number, begins=True))

        def log_end() -> None:
            self.sink(log.FaultChanged(at_us=self.queue.now, fault_number=fault.number, begins=False))

        self.queue.at(fault.start_us, log_begin)
        if fault.end_us > fault.start_us:
            self.queue.at(fault.end_us, log_end)
        for party in fault.parties:
            if not party.startswith("copy:"):
                continue
            replica = self._replicas[int(party[5:])]
            if fault.kind in ("kill", "damaged", "clock"):
                self.queue.at(fault.start_us, self._kill, replica, fault)
            elif fault.kind == "term":
                self.queue.at(fault.start_us, replica.stop)
            elif fault.kind == "upgrade":
                self.queue.at(fault.start_us, replica.upgrade)
            elif fault.kind == "pause":
                self.queue.at(fault.start_us, replica.pause)
                self.queue.at(fault.end_us, replica.resume)

    def _kill(self, replica: SimulatedReplica, fault: Fault) -> None:
        """Kill a replica, and start it again when the fault ends; a "kill" without end is permanent."""
        has_end = fault.end_us > fault.start_us
        if replica.kill() and (has_end or fault.kind != "kill"):
            self.queue.at(fault.end_us, replica.start)

    def send_datagram(self, sender: int, receiver: int | None, payload: bytes) -> None:
        """Send a datagram to one replica, or to all others (None)."""
        for target in range(len(self._replicas)) if receiver is None else (receiver,):
            if target == sender:
                continue
            rng = self._datagram_draws
            draws = rng.random(), rng.random(), rng.random()
            link = self.links.between(f"copy:{sender}", f"copy:{target}")
            arrivals_at = link.datagram_arrivals(self.queue.now, draws)
            if not arrivals_at:
                self._log_datagram(sender, target, payload, delivered=False)
            for at in arrivals_at:
                if at < NEVER:
                    self.queue.at(at, self._deliver_datagram, sender, target, payload)

    def _deliver_datagram(self, sender: int, target: int, payload: bytes) -> None:
        self._log_datagram(sender, target, payload, delivered=True)
        self._replicas[target].receive_datagram(sender, payload)

    def _log_datagram(self, sender: int, target: int, payload: bytes, *, delivered: bool) -> None:
        self.sink(
            log.DatagramSent(
                at_us=self.queue.now,
                sender=sender,
                receiver=target,
                size_bytes=len(payload),
                delivered=delivered,
            )
        )


def play(run: ScenarioRun, policy: str, sink: Sink, variant: str | None = None) -> None:
    """Play a run with a policy, given by name, and pass every event of its log to `sink`."""
    sink(log.RunStarted(at_us=log.BEFORE_RUN_US, run=run, engine="model", variant=variant or policy))
    Simulation(run, policy_factory(policy), sink).play()


def play_to_file(run: ScenarioRun, policy: str, path: Path) -> None:
    """Play a run with a policy and write its event log to a file."""
    with log.EventLogWriter(path) as writer:
        play(run, policy, writer.write)
