"""Runs all processes of a scale run: discovery, the workers with simulated members, and the real members."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from dataclasses import dataclass
from pathlib import Path

import msgspec

from testbed import events as log
from testbed.clock import RunClock
from testbed.emulator.replica_process import RunError, kill_with_parent
from testbed.scale.discovery import Discovery
from testbed.scale.event_loop_lag import EventLoopLag
from testbed.scale.plan import Plan, draw_scenario_run, member_configuration
from testbed.scale.real_member import RealMember, Usage, is_accurate
from testbed.scale.worker import Order, Reply, Share
from testbed.streams import MAX_LINE_BYTES

_REPLY_TIMEOUT_S = 60.0
_EXIT_TIMEOUT_S = 10.0


class _WorkerProcess:
    """A worker process, which answers one order at a time."""

    def __init__(self, process: asyncio.subprocess.Process, number: int) -> None:
        self.process, self.number = process, number
        self._lock = asyncio.Lock()

    @classmethod
    async def start(cls, command: str, root: Path, number: int, log_file: Path) -> _WorkerProcess:
        with log_file.open("ab") as log_output:
            process = await asyncio.create_subprocess_shell(
                command,
                cwd=root,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log_output,
                limit=MAX_LINE_BYTES,
                env={**os.environ, "TMPDIR": str(log_file.parent)},
                start_new_session=True,
                preexec_fn=kill_with_parent,
            )
        return cls(process, number)

    def send(self, message: Share | Order) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write(msgspec.json.encode(message) + b"\n")

    async def request(self, order: Order) -> Reply:
        """Send an order and return its reply; raise RunError if the worker ended or did not answer."""
        assert self.process.stdout is not None
        async with self._lock:
            try:
                async with asyncio.timeout(_REPLY_TIMEOUT_S):
                    self.send(order)
                    line = await self.process.stdout.readline()
            except (TimeoutError, OSError):
                raise RunError(f"worker {self.number} does not answer") from None
        if not line:
            raise RunError(f"worker {self.number} ended with code {await self.process.wait()}")
        return msgspec.json.decode(line, type=Reply)

    async def close(self) -> None:
        if self.process.stdin is not None:
            self.process.stdin.close()
        try:
            async with asyncio.timeout(_EXIT_TIMEOUT_S):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All counters at one time; the difference of two snapshots covers the time between them."""

    at: float  # monotonic, seconds
    simulated: dict[int, tuple[int, int, int, int]]  # by member: datagrams and bytes sent, then received
    real: list[tuple[int, int, int, int]]  # likewise of real members, exchanged with simulated ones
    discovery_calls: tuple[int, int, int]  # all calls, failed calls, and entries of the lists sent
    usage: dict[int, Usage]  # of real processes, those with membership off included
    workers: list[tuple[float, float]]  # processor seconds, MB
    wrongly_dead: set[tuple[int, int]]  # (member, incarnation) declared dead while alive
    # Event loop lag since the last snapshot: 99th percentile and maximum, each of the worst process.
    lag_ms: tuple[float, float]


class Runner:
    """Starts, controls and ends all processes of a scale run."""

    def __init__(self, plan: Plan, root: Path, folder: Path, command: str) -> None:
        self.plan, self._root, self._folder, self._command = plan, root, folder, command
        self._scenario_run = draw_scenario_run(plan)
        # A scale run has no event log: its results are its samples.
        self._writer = log.EventLogWriter(Path(os.devnull))
        self._workers: list[_WorkerProcess] = []
        self.real: list[RealMember] = []
        self.off: list[RealMember] = []
        self.killed: set[int] = set()
        self._lag = EventLoopLag()
        self._lag_task: asyncio.Task[None] | None = None
        self.discovery = Discovery(self._scenario_run)

    async def prepare(self) -> None:
        """Bind the addresses of all members and write all configurations, without starting a member."""
        if "-m sidecar" not in self._command:
            raise RunError(
                f"the `run` command has to contain `-m sidecar` for simulated members: {self._command}"
            )
        worker_command = self._command.replace("-m sidecar", "-m testbed.scale.worker")
        self.discovery.start()
        self._lag_task = asyncio.create_task(self._lag.measure())
        for worker_number, members in enumerate(self.plan.shares()):
            log_file = self._folder / f"worker-{worker_number}.log"
            worker = await _WorkerProcess.start(worker_command, self._root, worker_number, log_file)
            self._workers.append(worker)
            configurations = {number: self._configuration(number) for number in members}
            worker.send(
                Share(worker_number, self.plan.seed, self.plan.real, configurations, str(self._folder))
            )
        ports = {
            number: port
            for reply in await self._request_all(Order("bind"))
            for number, port in reply.ports.items()
        }
        clock = RunClock(time.monotonic_ns())
        for index in range(self.plan.real + self.plan.off):
            is_member = index < self.plan.real
            # Processes with membership off are numbered above the members, as addresses follow the number.
            number = index if is_member else self.plan.members + index - self.plan.real
            folder = self._folder / f"real-{number}"
            real = RealMember(
                self._scenario_run, number, self._command, self._root, folder, clock, self._writer
            )
            (self.real if is_member else self.off).append(real)
        peers = [f"{host}:{port}" for host, port in (real.peer_listen for real in self.real)]
        peers += [f"127.0.0.1:{ports[number]}" for number in self.plan.simulated]
        for real in (*self.real, *self.off):
            real.configure(self.discovery.address, peers, "")
            values = self._configuration(real.number)
            keys = [key for key in ("settings", "membership", "version") if key in values]
            real.config |= {key: values[key] for key in keys}
        for real in self.off:
            real.config["membership"] = {"on": False}
        await self._request_all(Order("introduce", peers=peers))

    def _configuration(self, number: int) -> dict[str, object]:
        return member_configuration(self.plan, self._scenario_run, number, self.discovery.address)

    # Changes to members and the network

    async def start(self, members: list[int], *, with_off: bool = False) -> None:
        """Start a new incarnation of all these members at once."""
        self.killed -= set(members)
        processes = [real for real in self.real if real.number in members] + (self.off if with_off else [])
        await asyncio.gather(
            self._request_all(Order("start", members)), *(process.start() for process in processes)
        )

    async def kill(self, members: list[int]) -> None:
        """Kill members, real and simulated."""
        self.killed |= set(members)
        processes = [real for real in self.real if real.number in members]
        await asyncio.gather(
            self._request_all(Order("kill", members)), *(process.kill() for process in processes)
        )

    async def restart(self, member: int) -> None:
        """Shut a member down gracefully and start its next incarnation."""
        if member < self.plan.real:
            real = self.real[member]
            await self._request_all(Order("leave", [member]))
            if real.process is not None:
                await real.stop(real.process, real.incarnation)
        else:
            await self._request_all(Order("leave", [member]))
        await self.start([member])

    async def settle(self) -> None:
        """Mark all updates of simulated members as disseminated, as after a long rest.

        Real members have no such order.
        """
        await self._request_all(Order("settle"))

    async def partition(self, border: int | None) -> None:
        """Drop all datagrams between members below the border and the rest; None ends the partition."""
        await self._request_all(Order("cut", [] if border is None else [border]))

    async def set_loss(self, loss: float) -> None:
        """Lose this part of the datagrams, except for those between two real members."""
        await self._request_all(Order("loss", amount=loss))

    async def publish(self, version: int) -> None:
        """Write a file of this version for all members, without signalling any of them to read it."""
        for real in (*self.real, *self.off):
            real.publish(version)
        await self._request_all(Order("publish", amount=float(version)))

    async def signal_reload(self, member: int) -> None:
        """Send SIGHUP to a real member, or have a simulated one do what the sidecar does on SIGHUP."""
        if member < self.plan.real:
            self.real[member].hang_up()
        else:
            await self._request_all(Order("hang up", [member]))

    # Observations

    async def start_timer(self, subject: str, items: list[int], started_at: float) -> None:
        """Start to measure when simulated members learn of these items.

        `subject` is "deaths", "lists" or "versions"; `started_at` is a monotonic time in seconds.
        """
        await self._request_all(Order(f"watch {subject}", items, started_at))

    async def read_timer(self) -> tuple[int, list[float]]:
        """Return the number of simulated members that still wait, and the seconds that the others took."""
        replies = await self._request_all(Order("watched"))
        return (
            sum(reply.waits for reply in replies),
            [seconds for reply in replies for seconds in reply.took_s.values()],
        )

    async def is_agreed(self) -> bool:
        """Whether the tables of all live members are equal and hold exactly the live members as present."""
        replies = [reply for reply in await self._request_all(Order("look")) if reply.digests]
        if len({digest for reply in replies for digest in reply.digests}) > 1:
            return False
        if any(reply.unsettled or set(reply.gone) != self.killed for reply in replies):
            return False
        views = await asyncio.gather(*(real.view() for real in self.live_real))
        return all(view is not None and is_accurate(view, self.killed) for view in views)

    @property
    def live_real(self) -> list[RealMember]:
        """The real members that were not killed."""
        return [real for real in self.real if real.number not in self.killed]

    async def snapshot(self) -> Snapshot:
        """Return the counters of all processes since the start, and their resource usage."""
        replies = await self._request_all(Order("count"))
        lags = [*(reply.lag_ms for reply in replies), self._lag.take_ms()]
        usage = {
            process.number: process_usage
            for process in (*self.real, *self.off)
            if (process_usage := process.usage()) is not None
        }
        real = [
            (
                sum(counts[0] for counts in of_member),
                sum(counts[1] for counts in of_member),
                sum(counts[2] for counts in of_member),
                sum(counts[3] for counts in of_member),
            )
            for of_member in zip(*(reply.real for reply in replies), strict=True)
        ]
        return Snapshot(
            time.monotonic(),
            {number: counts for reply in replies for number, counts in reply.counts.items()},
            real,
            self.discovery.counts,
            usage,
            [(reply.cpu_s, reply.memory_mb) for reply in replies],
            {incarnation for reply in replies for incarnation in reply.wrongly_dead},
            (max(lag[0] for lag in lags), max(lag[1] for lag in lags)),
        )

    async def _request_all(self, order: Order) -> list[Reply]:
        return list(await asyncio.gather(*(worker.request(order) for worker in self._workers)))

    async def close(self) -> None:
        """End all processes, whatever state they are in."""
        if self._lag_task is not None:
            self._lag_task.cancel()
        for real in (*self.real, *self.off):
            if real.is_alive and real.process is not None:
                real.process.signal(signal.SIGKILL)
        await asyncio.gather(
            *(real.close() for real in (*self.real, *self.off)),
            *(worker.close() for worker in self._workers),
            return_exceptions=True,
        )
        self.discovery.close()
        self._writer.close()
