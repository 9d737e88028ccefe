"""Plays one day: starts everybody, keeps the day's time, does its troubles, ends everybody, gives the log."""

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
from testbed.load import worker as loads
from testbed.scenario.scenario_run import DISCOVERY, Fault, Replica, ScenarioRun
from testbed.streams import MAX_LINE_BYTES, seeded

__all__ = ["RunError", "RunOptions", "run_scenario"]

_START_S = 0.3  # from everybody being ready to the day's beginning
_ANSWER_WITHIN_S = 60.0  # for a process of the ground
_MOST_COPIES, _MOST_LINKS = 64, 20_000
_SPARE_DESCRIPTORS = 256
_FIGURES_EVERY_S = 0.5


@dataclass(frozen=True, slots=True)
class RunOptions:
    """Where and how a day is played."""

    folder: Path  # for the log and all that copies write; made if need be
    root: Path = field(default_factory=Path.cwd)  # the tree of the program
    command: str | None = None  # to start a copy; None: as its deploy file says
    variant: str = "this tree"
    ready_within_s: float = 30.0  # of a copy
    grace_us: int = 600_000  # how long past its time an answer is waited for
    shards: int = 2  # processes of stand-in servers
    workers: int = 1  # and of the load


class _Child:
    """A process of the ground: told on its input, heard on its output."""

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
        child.tell(msgspec.json.encode(plan))
        return child

    def tell(self, line: bytes) -> None:
        assert self._process.stdin is not None
        self._process.stdin.write(line + b"\n")

    async def hear(self, within_s: float = _ANSWER_WITHIN_S) -> bytes:
        """Its next line; raise RunError if none comes."""
        assert self._process.stdout is not None
        try:
            async with asyncio.timeout(within_s):
                line = await self._process.stdout.readline()
        except TimeoutError:
            raise RunError(f"{self._name} does not answer") from None
        if not line:
            raise RunError(f"{self._name} ended with code {await self._process.wait()}")
        return line

    async def close(self) -> None:
        """End its input, so that it writes what it has, and see that it ends."""
        if self._process.stdin is not None:
            self._process.stdin.close()
        try:
            async with asyncio.timeout(10.0):
                await self._process.wait()
        except TimeoutError:
            self._process.kill()
            await self._process.wait()


async def run_scenario(day: ScenarioRun, ground: RunOptions) -> Path:
    """Play a day with real copies; give its log.  Raise RunError if it can't be played here."""
    _check(day)
    ground.folder.mkdir(parents=True, exist_ok=True)
    for stale in (*log.log_parts(ground.folder), ground.folder / "log.jsonl"):
        stale.unlink(missing_ok=True)
    with log.EventLogWriter(ground.folder / "part-day.jsonl") as writer:
        writer.write(
            log.RunStarted(at_us=log.BEFORE_RUN_US, run=day, engine="emulator", variant=ground.variant)
        )
        writer.flush()
        played = _Play(day, ground, writer)
        try:
            await played.prepare()
            await played.run()
        finally:
            await played.close()
    return log.merge_parts(ground.folder)


def _check(day: ScenarioRun) -> None:
    """Whether this machine can hold it; raise RunError if not."""
    links = len(day.replicas) * len(day.servers)
    if len(day.replicas) > _MOST_COPIES or links > _MOST_LINKS:
        raise RunError(
            f"{len(day.replicas)} copies and {len(day.servers)} servers are too many for real time"
            f" ({_MOST_COPIES} copies, {_MOST_LINKS} links at most): use the model"
        )
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = 3 * links + 8 * len(day.replicas) + _SPARE_DESCRIPTORS
    if hard != resource.RLIM_INFINITY and hard < needed:
        raise RunError(f"the day needs {needed} descriptors, and this user may have {hard}")
    if soft != resource.RLIM_INFINITY and soft < needed:
        resource.setrlimit(resource.RLIMIT_NOFILE, (needed, hard))


class _Play:
    """One day being played."""

    def __init__(self, day: ScenarioRun, ground: RunOptions, writer: log.EventLogWriter) -> None:
        self._day, self._ground, self._writer = day, ground, writer
        self._clock = RunClock()
        self._links = Links(day)
        self._children: list[_Child] = []
        self._loads: list[_Child] = []
        self._copies: list[ReplicaProcess] = []
        self._gates: list[Gate] = []
        self._discovery: StandInDiscovery | None = None
        self._relay = Relay(self._clock, self._links, writer, seeded(day.seed, "datagrams"))
        self._tasks: list[asyncio.Task[Any]] = []
        self._failed: asyncio.Future[None] | None = None  # a trouble that could not be done

    # Before the day

    async def prepare(self) -> None:
        """Start everybody; the copies last, and all at once."""
        count = min(self._ground.shards, len(self._day.servers))
        for number in range(count):
            plan = shards.Plan(self._day, number, count, self._part(f"servers-{number}"))
            child = await _Child.start("testbed.emulator.shard", plan, f"servers {number}")
            self._children.append(child)
        addresses: list[list[str]] = [[""] * len(self._day.servers) for _ in self._day.replicas]
        for child in self._children:
            told = msgspec.json.decode(await child.hear(), type=dict[str, list[str]])
            for server, own in told.items():
                for copy, address in enumerate(own):
                    addresses[copy][int(server)] = address
        self._discovery = StandInDiscovery(
            self._day, self._clock, self._writer, addresses, seeded(self._day.seed, DISCOVERY)
        )
        command = self._ground.command or deployed_command(self._ground.root)
        self._copies = [self._sidecar(copy, command) for copy in self._day.replicas]
        await self._relay.start("127.15.0.1", [copy.peer_listen for copy in self._copies])
        for sidecar in self._copies:
            self._introduce(sidecar, self._discovery)
        starts = [asyncio.create_task(copy.start()) for copy in self._copies]
        try:
            await asyncio.gather(*starts)
        finally:
            for start in starts:
                start.cancel()
        workers = min(self._ground.workers, len(self._copies))
        for number in range(workers):
            listen = [copy.listen for copy in self._copies]
            part = self._part(f"load-{number}")
            load = loads.Plan(self._day, number, workers, listen, part, self._ground.grace_us)
            self._loads.append(await _Child.start("testbed.load.worker", load, f"load {number}"))
        for child in self._loads:
            await child.hear()

    def _part(self, name: str) -> str:
        return str(self._ground.folder / f"part-{name}.jsonl")

    def _sidecar(self, copy: Replica, command: str) -> ReplicaProcess:
        folder = self._ground.folder / f"copy-{copy.number}"
        if folder.exists():
            raise RunError(f"{folder} is there already: give an empty folder")
        rng = seeded(self._day.seed, copy.party)
        root = self._ground.root
        within_s = self._ground.ready_within_s
        return ReplicaProcess(
            self._day, copy, command, root, folder, self._clock, self._writer, rng, within_s
        )

    def _introduce(self, sidecar: ReplicaProcess, discovery: StandInDiscovery) -> None:
        """Tell a copy where the others are, through the switch."""
        copy = sidecar.copy
        inwards = self._links.between(copy.party, DISCOVERY)
        outwards = self._links.between(DISCOVERY, copy.party)
        rng = seeded(self._day.seed, f"discovery.{copy.number}")
        gate = Gate(self._clock, copy.number, discovery, inwards, outwards, rng)
        self._gates.append(gate)
        sidecar.configure(
            gate.bind(shards.host_for(copy.number)), self._relay.peers, self._relay.broadcast_address
        )
        gate.start()

        sidecar.endpoint_list = lambda: discovery.known(copy.number)

    # The day

    async def run(self) -> None:
        """The day itself, until the load has every answer that comes."""
        assert self._discovery is not None
        began_ns = time.monotonic_ns() + round(_START_S * 1e9)
        self._clock.set_origin(began_ns)
        for child in (*self._children, *self._loads):
            child.tell(b"%d" % began_ns)
        self._discovery.start()
        for gate in self._gates:
            gate.plan()
        self._failed = asyncio.get_running_loop().create_future()
        watch = asyncio.create_task(log_lateness(self._clock, "discovery", self._writer))
        self._tasks = [watch, asyncio.create_task(self._ask_figures())]
        self._tasks += [*(asyncio.create_task(self._trouble(trouble)) for trouble in self._day.faults)]
        for task in self._tasks:
            task.add_done_callback(self._complain)
        longest_s = max(kind.deadline_us for kind in self._day.classes) / 1e6
        within_s = (self._day.duration_us + self._ground.grace_us) / 1e6 + longest_s + _ANSWER_WITHIN_S
        over = [asyncio.create_task(child.hear(within_s)) for child in self._loads]
        self._tasks += over
        whole = asyncio.gather(*over)
        await asyncio.wait((whole, self._failed), return_when=asyncio.FIRST_COMPLETED)
        if self._failed.done():
            self._failed.result()
        await whole
        await asyncio.sleep(self._clock.wait_s(self._day.duration_us))
        self._writer.write(log.RunFinished(at_us=max(self._clock.now(), self._day.duration_us)))

    async def _ask_figures(self) -> None:
        while self._day.sidecars.has_admin_interface:
            await asyncio.gather(*(copy.figures() for copy in self._copies))
            await asyncio.sleep(_FIGURES_EVERY_S)

    def _complain(self, task: asyncio.Task[Any]) -> None:
        fault = None if task.cancelled() else task.exception()
        if fault is not None and self._failed is not None and not self._failed.done():
            self._failed.set_exception(fault)

    async def _trouble(self, trouble: Fault) -> None:
        await asyncio.sleep(self._clock.wait_s(trouble.start_us))
        self._writer.write(
            log.FaultChanged(at_us=self._clock.now(), fault_number=trouble.number, begins=True)
        )
        copies = [
            self._copies[int(party.partition(":")[2])]
            for party in trouble.parties
            if party.startswith("copy:")
        ]
        act = _ACTS.get(trouble.kind)
        if act is None:
            await asyncio.sleep(self._clock.wait_s(trouble.end_us))
        else:
            await asyncio.gather(*(act(self, copy, trouble) for copy in copies))
        if trouble.end_us > trouble.start_us:
            self._writer.write(
                log.FaultChanged(at_us=self._clock.now(), fault_number=trouble.number, begins=False)
            )

    async def _until(self, trouble: Fault) -> None:
        await asyncio.sleep(self._clock.wait_s(trouble.end_us))

    async def _kill(self, copy: ReplicaProcess, trouble: Fault) -> None:
        async with copy.lifecycle:
            was_there = await copy.kill()
        await self._until(trouble)
        if was_there and trouble.end_us > trouble.start_us:
            await self._start_again(copy)

    async def _start_again(self, copy: ReplicaProcess) -> None:
        """Under load; one that does not get ready is for the judge to see."""
        async with copy.lifecycle:
            if copy.process is None or copy.process.ended.is_set():
                with contextlib.suppress(RunError):
                    await copy.start()

    async def _term(self, copy: ReplicaProcess, trouble: Fault) -> None:
        async with copy.lifecycle:  # one that is only just starting would die of it
            if copy.process is not None:
                await copy.stop(copy.process, copy.life)
        await self._until(trouble)
        await self._start_again(copy)

    async def _pause(self, copy: ReplicaProcess, trouble: Fault) -> None:
        copy.pause()
        await self._until(trouble)
        copy.resume()

    async def _hup(self, copy: ReplicaProcess, _trouble: Fault) -> None:
        async with copy.lifecycle:
            copy.hang_up()

    async def _upgrade(self, copy: ReplicaProcess, _trouble: Fault) -> None:
        async with copy.lifecycle:
            with contextlib.suppress(RunError):
                await copy.upgrade()

    async def _shift_clock(self, copy: ReplicaProcess, trouble: Fault) -> None:
        copy.set_clock(trouble.amount)
        async with copy.lifecycle:
            await copy.kill()
        await self._start_again(copy)

    async def _fill_disk(self, copy: ReplicaProcess, trouble: Fault) -> None:
        copy.limit_files(is_full=True)
        await self._until(trouble)
        copy.limit_files(is_full=False)

    async def _lock_folder(self, copy: ReplicaProcess, trouble: Fault) -> None:
        copy.lock_folder(is_locked=True)
        await self._until(trouble)
        copy.lock_folder(is_locked=False)

    async def _damage(self, copy: ReplicaProcess, trouble: Fault) -> None:
        async with copy.lifecycle:
            await copy.kill()
        copy.damage_folder()
        await self._until(trouble)
        await self._start_again(copy)

    # After the day

    async def close(self) -> None:
        """End everybody, whatever state they are in."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(*(copy.close() for copy in self._copies), return_exceptions=True)
        children: Sequence[_Child] = (*self._loads, *self._children)
        await asyncio.gather(*(child.close() for child in children), return_exceptions=True)
        for gate in self._gates:
            gate.close()
        self._relay.close()


_ACTS = {
    "kill": _Play._kill,
    "term": _Play._term,
    "pause": _Play._pause,
    "hup": _Play._hup,
    "upgrade": _Play._upgrade,
    "clock": _Play._shift_clock,
    "full": _Play._fill_disk,
    "read_only": _Play._lock_folder,
    "damaged": _Play._damage,
}
