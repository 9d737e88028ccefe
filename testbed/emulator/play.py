"""Runs one scenario in the emulator.

It starts the stand-ins, the sidecars and the load workers, injects the faults of the run at their times,
ends all processes and merges their event logs.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from testbed import events as log
from testbed.clock import RunClock, log_lateness
from testbed.emulator import shard as shards
from testbed.emulator.datagrams import Relay
from testbed.emulator.discovery import StandInDiscovery
from testbed.emulator.replica_process import ReplicaProcess, RunError, deployed_command
from testbed.emulator.switch import Gate
from testbed.links import Links
from testbed.load import worker as load_worker
from testbed.scenario.scenario_run import DISCOVERY, Fault, Replica, ScenarioRun
from testbed.streams import MAX_LINE_BYTES, seeded

__all__ = ["RunError", "RunOptions", "run_scenario"]

_START_DELAY_S = 0.3  # from the readiness of all processes to the start of the run
_REPLY_TIMEOUT_S = 60.0  # for a shard or a load worker
_MAX_REPLICAS, _MAX_LINKS = 64, 20_000
_SPARE_DESCRIPTORS = 256
_METRICS_INTERVAL_S = 0.5


@dataclass(frozen=True, slots=True)
class RunOptions:
    """Where and how a scenario is run."""

    folder: Path  # for the event log and the replicas' files; created if missing
    root: Path = field(default_factory=Path.cwd)  # source tree of the sidecar
    command: str | None = None  # to start a replica; None: from the deploy file
    variant: str = "this tree"
    ready_within_s: float = 30.0  # for each replica
    grace_us: int = 600_000  # how long after its client timeout a response is awaited
    shards: int = 2  # number of processes of stand-in servers
    workers: int = 1  # number of load workers


class _Child:
    """A shard or load worker: gets commands on its standard input and replies on its standard output."""

    def __init__(self, process: asyncio.subprocess.Process, name: str) -> None:
        self._process, self._name = process, name

    @classmethod
    async def start(cls, module: str, plan: msgspec.Struct, name: str) -> _Child:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=MAX_LINE_BYTES,
            start_new_session=True,
            env={**os.environ, "PYTHONPATH": os.pathsep.join(folder for folder in sys.path if folder)},
        )
        child = cls(process, name)
        child.send(msgspec.json.encode(plan))
        return child

    def send(self, line: bytes) -> None:
        assert self._process.stdin is not None
        self._process.stdin.write(line + b"\n")

    async def receive(self, timeout_s: float = _REPLY_TIMEOUT_S) -> bytes:
        """Return the next line of its output; raise RunError on a timeout or if the process exits."""
        assert self._process.stdout is not None
        try:
            async with asyncio.timeout(timeout_s):
                line = await self._process.stdout.readline()
        except TimeoutError:
            raise RunError(f"{self._name} did not reply within {timeout_s:g} s") from None
        if not line:
            raise RunError(f"{self._name} exited with code {await self._process.wait()}")
        return line

    async def close(self) -> None:
        """Close its input, so that it flushes its event log and exits; kill it if it does not within 10 s."""
        if self._process.stdin is not None:
            self._process.stdin.close()
        try:
            async with asyncio.timeout(10.0):
                await self._process.wait()
        except TimeoutError:
            self._process.kill()
            await self._process.wait()


async def run_scenario(run: ScenarioRun, options: RunOptions) -> Path:
    """Run a scenario with real sidecars; return the path of its event log.

    Raises:
        RunError: The run exceeds a limit of this machine or a process failed.
    """
    _check_limits(run)
    options.folder.mkdir(parents=True, exist_ok=True)
    for old_part in (*log.log_parts(options.folder), options.folder / "log.jsonl"):
        old_part.unlink(missing_ok=True)
    with log.EventLogWriter(options.folder / "part-day.jsonl") as writer:
        writer.write(
            log.RunStarted(at_us=log.BEFORE_RUN_US, run=run, engine="emulator", variant=options.variant)
        )
        writer.flush()
        emulation = _Run(run, options, writer)
        try:
            await emulation.prepare()
            await emulation.run()
        finally:
            await emulation.close()
    return log.merge_parts(options.folder)


def _check_limits(run: ScenarioRun) -> None:
    """Raise the descriptor limit as needed; raise RunError if the run is too large for this machine."""
    links = len(run.replicas) * len(run.servers)
    if len(run.replicas) > _MAX_REPLICAS or links > _MAX_LINKS:
        raise RunError(
            f"{len(run.replicas)} replicas and {len(run.servers)} servers are too many for real time"
            f" ({_MAX_REPLICAS} replicas, {_MAX_LINKS} links at most): use the model"
        )
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = 3 * links + 8 * len(run.replicas) + _SPARE_DESCRIPTORS
    if hard != resource.RLIM_INFINITY and hard < needed:
        raise RunError(f"the run needs {needed} descriptors, and this user may have {hard}")
    if soft != resource.RLIM_INFINITY and soft < needed:
        resource.setrlimit(resource.RLIMIT_NOFILE, (needed, hard))


class _Run:
    """One scenario run in progress."""

    def __init__(self, run: ScenarioRun, options: RunOptions, writer: log.EventLogWriter) -> None:
        self._run, self._options, self._writer = run, options, writer
        self._clock = RunClock()
        self._links = Links(run)
        self._shards: list[_Child] = []
        self._load_workers: list[_Child] = []
        self._replicas: list[ReplicaProcess] = []
        self._gates: list[Gate] = []
        self._discovery: StandInDiscovery | None = None
        self._relay = Relay(self._clock, self._links, writer, seeded(run.seed, "datagrams"))
        self._tasks: list[asyncio.Task[Any]] = []
        self._failure: asyncio.Future[None] | None = None  # set when a background task fails

    # Before the run

    async def prepare(self) -> None:
        """Start the shards, then all replicas at once, then the load workers."""
        count = min(self._options.shards, len(self._run.servers))
        for number in range(count):
            plan = shards.Plan(self._run, number, count, self._part_path(f"servers-{number}"))
            child = await _Child.start("testbed.emulator.shard", plan, f"servers {number}")
            self._shards.append(child)
        addresses: list[list[str]] = [[""] * len(self._run.servers) for _ in self._run.replicas]
        for child in self._shards:
            addresses_by_server = msgspec.json.decode(await child.receive(), type=dict[str, list[str]])
            for server, server_addresses in addresses_by_server.items():
                for replica, address in enumerate(server_addresses):
                    addresses[replica][int(server)] = address
        self._discovery = StandInDiscovery(
            self._run, self._clock, self._writer, addresses, seeded(self._run.seed, DISCOVERY)
        )
        command = self._options.command or deployed_command(self._options.root)
        self._replicas = [self._create_replica(replica, command) for replica in self._run.replicas]
        await self._relay.start("127.15.0.1", [replica.peer_listen for replica in self._replicas])
        for process in self._replicas:
            self._configure(process, self._discovery)
        starts = [asyncio.create_task(replica.start()) for replica in self._replicas]
        try:
            await asyncio.gather(*starts)
        finally:
            for start in starts:
                start.cancel()
        workers = min(self._options.workers, len(self._replicas))
        for number in range(workers):
            listen = [replica.listen for replica in self._replicas]
            part = self._part_path(f"load-{number}")
            load_plan = load_worker.Plan(self._run, number, workers, listen, part, self._options.grace_us)
            self._load_workers.append(await _Child.start("testbed.load.worker", load_plan, f"load {number}"))
        for child in self._load_workers:
            await child.receive()

    def _part_path(self, name: str) -> str:
        return str(self._options.folder / f"part-{name}.jsonl")

    def _create_replica(self, replica: Replica, command: str) -> ReplicaProcess:
        folder = self._options.folder / f"copy-{replica.number}"
        if folder.exists():
            raise RunError(f"{folder} already exists: give an empty folder")
        rng = seeded(self._run.seed, replica.party)
        root = self._options.root
        timeout_s = self._options.ready_within_s
        return ReplicaProcess(
            self._run, replica, command, root, folder, self._clock, self._writer, rng, timeout_s
        )

    def _configure(self, process: ReplicaProcess, discovery: StandInDiscovery) -> None:
        """Configure a replica with its addresses of discovery and peers at the switch, and open its gate."""
        replica = process.replica
        inwards = self._links.between(replica.party, DISCOVERY)
        outwards = self._links.between(DISCOVERY, replica.party)
        rng = seeded(self._run.seed, f"discovery.{replica.number}")
        gate = Gate(self._clock, replica.number, discovery, inwards, outwards, rng)
        self._gates.append(gate)
        process.configure(
            gate.bind(shards.host_for(replica.number)), self._relay.peers, self._relay.broadcast_address
        )
        gate.start()

        process.get_endpoint_list = lambda: discovery.initial_list(replica.number)

    # The run

    async def run(self) -> None:
        """Inject faults until all load workers are done and the run's duration has passed."""
        assert self._discovery is not None
        start_ns = time.monotonic_ns() + round(_START_DELAY_S * 1e9)
        self._clock.set_origin(start_ns)
        for child in (*self._shards, *self._load_workers):
            child.send(b"%d" % start_ns)
        self._discovery.start()
        for gate in self._gates:
            gate.schedule_link_changes()
        self._failure = asyncio.get_running_loop().create_future()
        lateness_watch = asyncio.create_task(log_lateness(self._clock, "discovery", self._writer))
        self._tasks = [lateness_watch, asyncio.create_task(self._report_metrics())]
        self._tasks += [*(asyncio.create_task(self._inject_fault(fault)) for fault in self._run.faults)]
        for task in self._tasks:
            task.add_done_callback(self._on_task_done)
        longest_s = max(kind.deadline_us for kind in self._run.classes) / 1e6
        timeout_s = (self._run.duration_us + self._options.grace_us) / 1e6 + longest_s + _REPLY_TIMEOUT_S
        replies = [asyncio.create_task(child.receive(timeout_s)) for child in self._load_workers]
        self._tasks += replies
        all_replies = asyncio.gather(*replies)
        await asyncio.wait((all_replies, self._failure), return_when=asyncio.FIRST_COMPLETED)
        if self._failure.done():
            self._failure.result()
        await all_replies
        await asyncio.sleep(self._clock.wait_s(self._run.duration_us))
        self._writer.write(log.RunFinished(at_us=max(self._clock.now(), self._run.duration_us)))

    async def _report_metrics(self) -> None:
        while self._run.sidecars.has_admin_interface:
            await asyncio.gather(*(replica.report_metrics() for replica in self._replicas))
            await asyncio.sleep(_METRICS_INTERVAL_S)

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        error = None if task.cancelled() else task.exception()
        if error is not None and self._failure is not None and not self._failure.done():
            self._failure.set_exception(error)

    async def _inject_fault(self, fault: Fault) -> None:
        await asyncio.sleep(self._clock.wait_s(fault.start_us))
        self._writer.write(log.FaultChanged(at_us=self._clock.now(), fault_number=fault.number, begins=True))
        replicas = [
            self._replicas[int(party.partition(":")[2])]
            for party in fault.parties
            if party.startswith("copy:")
        ]
        apply_fault = _FAULT_ACTIONS.get(fault.kind)
        if apply_fault is None:
            await asyncio.sleep(self._clock.wait_s(fault.end_us))
        else:
            await asyncio.gather(*(apply_fault(self, replica, fault) for replica in replicas))
        if fault.end_us > fault.start_us:
            self._writer.write(
                log.FaultChanged(at_us=self._clock.now(), fault_number=fault.number, begins=False)
            )

    async def _wait_until_end(self, fault: Fault) -> None:
        await asyncio.sleep(self._clock.wait_s(fault.end_us))

    async def _kill(self, replica: ReplicaProcess, fault: Fault) -> None:
        async with replica.lifecycle:
            was_running = await replica.kill()
        await self._wait_until_end(fault)
        if was_running and fault.end_us > fault.start_us:
            await self._restart(replica)

    async def _restart(self, replica: ReplicaProcess) -> None:
        """Start a replica again under load; if it does not get ready, the checker reports it."""
        async with replica.lifecycle:
            if replica.process is None or replica.process.exited.is_set():
                with contextlib.suppress(RunError):
                    await replica.start()

    async def _term(self, replica: ReplicaProcess, fault: Fault) -> None:
        async with replica.lifecycle:  # SIGTERM would kill a process that is still starting
            if replica.process is not None:
                await replica.stop(replica.process, replica.incarnation)
        await self._wait_until_end(fault)
        await self._restart(replica)

    async def _pause(self, replica: ReplicaProcess, fault: Fault) -> None:
        replica.pause()
        await self._wait_until_end(fault)
        replica.resume()

    async def _hup(self, replica: ReplicaProcess, _fault: Fault) -> None:
        async with replica.lifecycle:
            replica.hang_up()

    async def _upgrade(self, replica: ReplicaProcess, _fault: Fault) -> None:
        async with replica.lifecycle:
            with contextlib.suppress(RunError):
                await replica.upgrade()

    async def _shift_clock(self, replica: ReplicaProcess, fault: Fault) -> None:
        replica.set_clock(fault.amount)
        async with replica.lifecycle:
            await replica.kill()
        await self._restart(replica)

    async def _fill_disk(self, replica: ReplicaProcess, fault: Fault) -> None:
        replica.limit_files(is_full=True)
        await self._wait_until_end(fault)
        replica.limit_files(is_full=False)

    async def _lock_folder(self, replica: ReplicaProcess, fault: Fault) -> None:
        replica.lock_folder(is_locked=True)
        await self._wait_until_end(fault)
        replica.lock_folder(is_locked=False)

    async def _damage(self, replica: ReplicaProcess, fault: Fault) -> None:
        async with replica.lifecycle:
            await replica.kill()
        replica.damage_folder()
        await self._wait_until_end(fault)
        await self._restart(replica)

    # After the run

    async def close(self) -> None:
        """End all processes and close all sockets, in whatever state they are."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(*(replica.close() for replica in self._replicas), return_exceptions=True)
        children: Sequence[_Child] = (*self._load_workers, *self._shards)
        await asyncio.gather(*(child.close() for child in children), return_exceptions=True)
        for gate in self._gates:
            gate.close()
        self._relay.close()


_FAULT_ACTIONS = {
    "kill": _Run._kill,
    "term": _Run._term,
    "pause": _Run._pause,
    "hup": _Run._hup,
    "upgrade": _Run._upgrade,
    "clock": _Run._shift_clock,
    "full": _Run._fill_disk,
    "read_only": _Run._lock_folder,
    "damaged": _Run._damage,
}
