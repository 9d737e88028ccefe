"""Everybody of a run: discovery, hollow and real members, and what they say together."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from dataclasses import dataclass
from pathlib import Path

import msgspec

from testbed import events as log
from testbed.clock import DayClock
from testbed.emulator.copies import PlayError, end_with_parent
from testbed.scale.discovery import Discovery
from testbed.scale.event_loop_lag import EventLoopLag
from testbed.scale.plan import Plan, configuration, day_of
from testbed.scale.real_member import RealMember, Usage, is_true
from testbed.scale.worker import Order, Reply, Share
from testbed.streams import MOST_LINE

_ANSWER_WITHIN_S = 60.0
_ENDS_WITHIN_S = 10.0


class _Child:
    """One worker: an order in, a reply out."""

    def __init__(self, process: asyncio.subprocess.Process, number: int) -> None:
        self.process, self.number = process, number
        self._turn = asyncio.Lock()

    @classmethod
    async def start(cls, command: str, root: Path, number: int, log_file: Path) -> _Child:
        with log_file.open("ab") as said:
            process = await asyncio.create_subprocess_shell(
                command,
                cwd=root,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=said,
                limit=MOST_LINE,
                env={**os.environ, "TMPDIR": str(log_file.parent)},
                start_new_session=True,
                preexec_fn=end_with_parent,
            )
        return cls(process, number)

    def tell(self, told: Share | Order) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write(msgspec.json.encode(told) + b"\n")

    async def ask(self, order: Order) -> Reply:
        assert self.process.stdout is not None
        async with self._turn:
            try:
                async with asyncio.timeout(_ANSWER_WITHIN_S):
                    self.tell(order)
                    line = await self.process.stdout.readline()
            except (TimeoutError, OSError):
                raise PlayError(f"worker {self.number} does not answer") from None
        if not line:
            raise PlayError(f"worker {self.number} ended with code {await self.process.wait()}")
        return msgspec.json.decode(line, type=Reply)

    async def close(self) -> None:
        if self.process.stdin is not None:
            self.process.stdin.close()
        try:
            async with asyncio.timeout(_ENDS_WITHIN_S):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All counts at one time; differences of two are what happened between."""

    at: float  # monotonic, seconds
    hollow: dict[int, tuple[int, int, int, int]]  # datagrams and bytes sent, heard, by member
    real: list[tuple[int, int, int, int]]  # likewise, as far as it passed hollow members
    calls: tuple[int, int, int]  # at discovery: all, failed, lines
    usage: dict[int, Usage]  # of real processes, those with membership off included
    workers: list[tuple[float, float]]  # processor seconds, MB
    wrongly_dead: set[tuple[int, int]]
    lag_ms: tuple[float, float]  # the worst loop's since the last snapshot: 99th percentile, greatest


class Runner:
    """Starts everybody and ends everybody."""

    def __init__(self, plan: Plan, root: Path, folder: Path, command: str) -> None:
        self.plan, self._root, self._folder, self._command = plan, root, folder, command
        self._day = day_of(plan)
        self._writer = log.EventLogWriter(
            Path(os.devnull)
        )  # a run's figures are its results, not a day's log
        self._children: list[_Child] = []
        self.real: list[RealMember] = []
        self.off: list[RealMember] = []
        self.gone: set[int] = set()
        self._lag = EventLoopLag()
        self._lagging: asyncio.Task[None] | None = None
        self.discovery = Discovery(self._day)

    async def prepare(self) -> None:
        """Bind everybody's address, and tell all of them; nobody lives yet."""
        if "-m sidecar" not in self._command:
            raise PlayError(f"hollow members need `-m sidecar` in `run`: {self._command}")
        worded = self._command.replace("-m sidecar", "-m testbed.scale.worker")
        self.discovery.start()
        self._lagging = asyncio.create_task(self._lag.watch())
        for number, share in enumerate(self.plan.shares()):
            child = await _Child.start(worded, self._root, number, self._folder / f"worker-{number}.log")
            self._children.append(child)
            told = {each: self._configuration(each) for each in share}
            child.tell(Share(number, self.plan.seed, self.plan.real, told, str(self._folder)))
        ports = {each: port for reply in await self._all(Order("bind")) for each, port in reply.ports.items()}
        clock = DayClock(time.monotonic_ns())
        for number in range(self.plan.real + self.plan.off):
            is_member = number < self.plan.real
            # Beyond the members' numbers are those with membership off: addresses are by number.
            own = number if is_member else self.plan.members + number - self.plan.real
            folder = self._folder / f"real-{own}"
            real = RealMember(self._day, own, self._command, self._root, folder, clock, self._writer)
            (self.real if is_member else self.off).append(real)
        peers = [f"{host}:{port}" for host, port in (each.peer_listen for each in self.real)]
        peers += [f"127.0.0.1:{ports[each]}" for each in self.plan.hollow]
        for real in (*self.real, *self.off):
            real.configure(self.discovery.address, peers, "")
            given = self._configuration(real.number)
            real.config |= {key: given[key] for key in ("settings", "membership", "version") if key in given}
        for real in self.off:
            real.config["membership"] = {"on": False}
        await self._all(Order("introduce", peers=peers))

    def _configuration(self, number: int) -> dict[str, object]:
        return configuration(self.plan, self._day, number, self.discovery.address)

    # What is done to members

    async def start(self, members: list[int], *, with_off: bool = False) -> None:
        """New lives of all of these at once."""
        self.gone -= set(members)
        own = [each for each in self.real if each.number in members] + (self.off if with_off else [])
        await asyncio.gather(self._all(Order("start", members)), *(each.start() for each in own))

    async def kill(self, members: list[int]) -> None:
        """Kill members, real and simulated."""
        self.gone |= set(members)
        own = [each for each in self.real if each.number in members]
        await asyncio.gather(self._all(Order("kill", members)), *(each.kill() for each in own))

    async def restart(self, member: int) -> None:
        """A planned end, and the next life."""
        if member < self.plan.real:
            own = self.real[member]
            await self._all(Order("leave", [member]))
            if own.process is not None:
                await own.stop(own.process, own.life)
        else:
            await self._all(Order("leave", [member]))
        await self.start([member])

    async def settle(self) -> None:
        """Mark all updates of simulated members as disseminated, as after a long rest.

        Real members have no such order.
        """
        await self._all(Order("settle"))

    async def cut(self, border: int | None) -> None:
        """Nothing passes between members below the border and the rest; None: all does again."""
        await self._all(Order("cut", [] if border is None else [border]))

    async def lose(self, part: float) -> None:
        """So many datagrams are lost, but for those between two real members."""
        await self._all(Order("loss", amount=part))

    async def publish(self, version: int) -> None:
        """A file of this version lies with everybody; nobody has been told to read it."""
        for real in (*self.real, *self.off):
            real.publish(version)
        await self._all(Order("publish", amount=float(version)))

    async def hang_up(self, member: int) -> None:
        """SIGHUP, or for a hollow member what the program does at it."""
        if member < self.plan.real:
            self.real[member].hang_up()
        else:
            await self._all(Order("hang up", [member]))

    # What they say

    async def watch(self, what: str, members: list[int], began: float) -> None:
        """Start to measure, from a monotonic time in seconds, when the simulated members learn something."""
        await self._all(Order(f"watch {what}", members, began))

    async def watched(self) -> tuple[int, list[float]]:
        """How many hollow members still wait, and how long those that don't have waited."""
        replies = await self._all(Order("watched"))
        return sum(each.waits for each in replies), [s for each in replies for s in each.took_s.values()]

    async def is_agreed(self) -> bool:
        """Whether all living members hold the same lives and ends, and believe just those present."""
        replies = [each for each in await self._all(Order("look")) if each.digests]
        if len({digest for each in replies for digest in each.digests}) > 1:
            return False
        if any(each.unsettled or set(each.gone) != self.gone for each in replies):
            return False
        views = await asyncio.gather(*(each.view() for each in self.living))
        return all(each is not None and is_true(each, self.gone) for each in views)

    @property
    def living(self) -> list[RealMember]:
        """The real members that were not killed."""
        return [each for each in self.real if each.number not in self.gone]

    async def snapshot(self) -> Snapshot:
        """The counters of all processes since the start, and their resource usage."""
        replies = await self._all(Order("count"))
        lags = [*(each.lag_ms for each in replies), self._lag.taken_ms()]
        usage = {
            each.number: found for each in (*self.real, *self.off) if (found := each.usage()) is not None
        }
        real = [
            (sum(each[0] for each in one), sum(each[1] for each in one),
             sum(each[2] for each in one), sum(each[3] for each in one))
            for one in zip(*(each.real for each in replies), strict=True)
        ]  # fmt: skip
        return Snapshot(
            time.monotonic(),
            {number: each for reply in replies for number, each in reply.counts.items()},
            real,
            self.discovery.counts,
            usage,
            [(each.cpu_s, each.memory_mb) for each in replies],
            {each for reply in replies for each in reply.wrongly_dead},
            (max(each[0] for each in lags), max(each[1] for each in lags)),
        )

    async def _all(self, order: Order) -> list[Reply]:
        return list(await asyncio.gather(*(each.ask(order) for each in self._children)))

    async def close(self) -> None:
        """End everybody, whatever state they are in."""
        if self._lagging is not None:
            self._lagging.cancel()
        for real in (*self.real, *self.off):
            if real.is_alive and real.process is not None:
                real.process.signal(signal.SIGKILL)
        await asyncio.gather(
            *(each.close() for each in (*self.real, *self.off)),
            *(each.close() for each in self._children),
            return_exceptions=True,
        )
        self.discovery.close()
        self._writer.close()
