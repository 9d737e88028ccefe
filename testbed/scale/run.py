"""Plays a scale run: each event of the plan, what it cost and how long it took until all knew or agreed."""

from __future__ import annotations

import asyncio
import contextlib
import random
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from testbed.scale.figures import Case, Figures
from testbed.scale.plan import Event, Plan, check
from testbed.scale.real_member import knows_gone
from testbed.scale.runner import Runner, Snapshot

_LOOK_S = 0.25  # how often it is looked whether all agree or know
_DISCOVERY_WITHIN_S = 120.0  # that an answer is waited for after discovery's return
_PAUSE_S = 2.0  # between two events


async def run_plan(
    plan: Plan, root: Path, command: str, tell: Callable[[str], None], folder: Path | None = None
) -> Figures:
    """Play it; raise PlayError if it may not be played here.  `folder` keeps what processes write."""
    check(plan)
    figures = Figures(plan)
    with contextlib.ExitStack() as stack:
        own = folder or Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="scale-")))
        runner = Runner(plan, root, own, command)
        try:
            async with asyncio.timeout(plan.within_s):
                await runner.prepare()
                await _PlanRun(runner, figures, tell).run()
        except TimeoutError:
            late = figures.case("end")
            late.faults.append(f"the run was ended at its bound of {plan.within_s:g} s")
        finally:
            await runner.close()
    return figures


class _PlanRun:
    """The events of one run, one after another."""

    def __init__(self, runner: Runner, figures: Figures, tell: Callable[[str], None]) -> None:
        self._runner, self._figures, self._tell = runner, figures, tell
        self._plan = runner.plan
        self._random = random.Random(f"scale {self._plan.seed}")

    async def run(self) -> None:
        """The start is always first: whether it is an event of the plan or not, all have to live."""
        acts: dict[Event, Callable[[], Awaitable[None]]] = {
            Event.REST: self._rest,
            Event.KILL: lambda: self._killed("kill", [self._victim()]),
            Event.RACK: lambda: self._killed("rack-40", self._plan.rack),
            Event.ZONE: lambda: self._killed("zone", self._plan.zone),
            Event.PARTITION: self._cut,
            Event.LOSS: self._lossy,
            Event.RESTARTS: self._restarts,
            Event.DISCOVERY: self._discovery_down,
            Event.CONFIG: self._new_version,
        }
        await self._start()
        for event in Event:
            if event in self._plan.events and event in acts:
                await asyncio.sleep(_PAUSE_S)
                await acts[event]()

    def _victim(self) -> int:
        """The last real member, or a hollow one."""
        return max(self._plan.real - 1, 0)

    # Events

    async def _start(self) -> None:
        """Everybody at once: nobody knows anybody."""
        case = self._figures.case("start-at-once")
        everybody = list(range(self._plan.members))
        first = await self._runner.snapshot()
        began = time.monotonic()
        await self._runner.start(everybody, with_off=True)
        self._figures.sample(case, "scale.started", time.monotonic() - began, "s")
        is_agreed = await self._agree(case, began)
        self._close(case, first, await self._runner.snapshot())
        # All have the same news to tell: here real and hollow members can be compared.
        after = self._figures.case("after-start")
        await self._wait(after, is_settled=False)
        self._figures.judge_kinds(after)
        await self._settle(is_agreed=is_agreed)

    async def _rest(self) -> None:
        await self._wait(self._figures.case("rest"), is_settled=self._plan.settles)

    async def _wait(self, case: Case, *, is_settled: bool) -> None:
        """Nothing happens for a while."""
        first = await self._runner.snapshot()
        await asyncio.sleep(self._plan.rest_s)
        last = await self._runner.snapshot()
        self._figures.between(case, first, last, self._runner.gone, is_settled=is_settled)
        self._wrong_deaths(case, first, last)

    async def _settle(self, *, is_agreed: bool) -> None:
        if self._plan.settles and is_agreed:
            await self._runner.settle()

    async def _killed(self, name: str, members: list[int]) -> None:
        """Kill these, wait until all others know of all; then start them again, and wait until all agree."""
        case = self._figures.case(name)
        first = await self._runner.snapshot()
        began = time.monotonic()
        await self._runner.watch("deaths", members, began)
        await self._runner.kill(members)
        await self._known(case, members, began)
        last = await self._runner.snapshot()
        self._figures.between(case, first, last, self._runner.gone, is_looked_at=True)
        self._wrong_deaths(case, first, last)
        back = self._figures.case(f"{name}-back")
        began = time.monotonic()
        await self._runner.start(members)
        is_agreed = await self._agree(back, began)
        self._close(back, last, await self._runner.snapshot(), set(members))
        await self._settle(is_agreed=is_agreed)

    async def _cut(self) -> None:
        """The second half can't be heard by the first, nor the other way round, and then again."""
        name = f"region-cut-{self._plan.cut_s:g}s"
        during = self._figures.case(f"{name}-during")
        first = await self._runner.snapshot()
        await self._runner.cut(self._plan.border)
        await asyncio.sleep(self._plan.cut_s)
        last = await self._runner.snapshot()
        self._close(during, first, last)
        case = self._figures.case(name)
        began = time.monotonic()
        await self._runner.cut(None)
        is_agreed = await self._agree(case, began)
        self._close(case, last, await self._runner.snapshot())
        await self._settle(is_agreed=is_agreed)

    async def _lossy(self) -> None:
        case = self._figures.case(f"loss-{100 * self._plan.loss:g}")
        first = await self._runner.snapshot()
        await self._runner.lose(self._plan.loss)
        await asyncio.sleep(self._plan.rest_s)
        last = await self._runner.snapshot()
        await self._runner.lose(0.0)
        self._close(case, first, last)
        self._wrong_deaths(case, first, last)
        await self._settle(is_agreed=await self._agree(case, time.monotonic()))

    async def _restarts(self) -> None:
        """One member after another ends as planned and begins anew."""
        case = self._figures.case(f"restart-every-{self._plan.restart_every_s:g}s")
        first = await self._runner.snapshot()
        ends = time.monotonic() + self._plan.rest_s
        count = 0
        while time.monotonic() < ends:
            await self._runner.restart(self._random.randrange(self._plan.members))
            count += 1
            await asyncio.sleep(self._plan.restart_every_s)
        last = await self._runner.snapshot()
        case.notes.append(f"{case.name}: {count} restarts")
        self._close(case, first, last)
        self._wrong_deaths(case, first, last)
        await self._settle(is_agreed=await self._agree(case, time.monotonic()))

    async def _discovery_down(self) -> None:
        """Away for a while: from its return, until each hollow member had an answer."""
        case = self._figures.case(f"discovery-down-{self._plan.down_s:g}s")
        first = await self._runner.snapshot()
        self._runner.discovery.down()
        await asyncio.sleep(self._plan.down_s)
        began = time.monotonic()
        await self._runner.watch("lists", [], began)
        self._runner.discovery.up()
        took = await self._all_heard(case, "discovery.return_told", _DISCOVERY_WITHIN_S)
        self._figures.spread(
            case, "discovery.return_told", took, "s", "hollow", ("mean", "median", "p99", "max")
        )
        self._close(case, first, await self._runner.snapshot())

    async def _new_version(self) -> None:
        """A new file lies with all, and one is told to read it: until all have, and the one knows of it."""
        case, version, one = self._figures.case("configuration"), 2, self._victim()
        await self._runner.publish(version)
        first = await self._runner.snapshot()
        began = time.monotonic()
        await self._runner.watch("versions", [version], began)
        await self._runner.hang_up(one)
        real: dict[int, float] = {}  # when each real member was seen to have it
        known: float | None = None if one < self._plan.real else 0.0  # a hollow one is not asked
        waits, took = await self._runner.watched()
        ends = began + self._plan.agree_within_s
        while time.monotonic() < ends and (waits or known is None or len(real) < len(self._runner.living)):
            for each in self._runner.living:
                told = (await each.told()).get("configuration", {})
                if told.get("version") == version:
                    real.setdefault(each.number, time.monotonic() - began)
                    if each.number == one and told.get("in_force_everywhere") and known is None:
                        known = time.monotonic() - began
            await asyncio.sleep(_LOOK_S)
            waits, took = await self._runner.watched()
        missing = waits + len(self._runner.living) - len(real)
        if missing:
            case.notes.append(
                f"{case.name}: {missing} members had it not within {time.monotonic() - began:.0f} s"
            )
        else:
            self._figures.spread(case, "config.in_force", took, "s", "hollow", ("median", "p99", "max"))
            self._figures.spread(case, "config.in_force", list(real.values()), "s", "real", ("median", "max"))
            self._tell(f"{case.name}: in force everywhere after {max([*took, *real.values()]):.1f} s")
        if known:
            self._figures.sample(case, "config.known_everywhere", known, "s", "max", "real")
            self._tell(f"{case.name}: known to be in force everywhere after {known:.1f} s")
        elif known is None:
            case.notes.append(f"{case.name}: {one} does not say that it is in force everywhere")
        self._close(case, first, await self._runner.snapshot())

    # Waiting

    async def _known(self, case: Case, members: list[int], began: float) -> None:
        """Until all others know that these are gone; of each, when it knew of all of them."""
        views: dict[int, float] = {}
        ends = began + self._plan.agree_within_s
        while time.monotonic() < ends:
            waits, took = await self._runner.watched()
            for each in self._runner.living:
                view = await each.view()
                if each.number not in views and view is not None and knows_gone(view, members):
                    views[each.number] = time.monotonic() - began
            if not waits and len(views) == len(self._runner.living):
                break
            await asyncio.sleep(_LOOK_S)
        else:
            case.notes.append(
                f"{case.name}: {waits} hollow members did not know within {self._plan.agree_within_s:g} s"
            )
            return
        for engine, values in (("hollow", took), ("real", list(views.values()))):
            parts = ("median", "p99", "max") if engine == "hollow" else ("median", "max")
            self._figures.spread(case, "member.death_known", values, "s", engine, parts)
        self._tell(f"{case.name}: known to all after {max([*took, *views.values()]):.1f} s")

    async def _all_heard(self, case: Case, what: str, within_s: float) -> list[float]:
        ends = time.monotonic() + within_s
        while True:
            waits, took = await self._runner.watched()
            if not waits:
                self._tell(f"{case.name}: all told after {max(took, default=0.0):.1f} s")
                return took
            if time.monotonic() > ends:
                case.notes.append(f"{case.name}: {what}: {waits} members had none within {within_s:g} s")
                return []
            await asyncio.sleep(_LOOK_S)

    async def _agree(self, case: Case, began: float) -> bool:
        """Until all agree; said so where they don't within the bound, and no."""
        ends = began + self._plan.agree_within_s
        while time.monotonic() < ends:
            if await self._runner.is_agreed():
                took = time.monotonic() - began
                self._figures.sample(case, "member.agreed_after", took, "s", "max")
                self._tell(f"{case.name}: all agree after {took:.1f} s")
                return True
            await asyncio.sleep(_LOOK_S)
        case.notes.append(f"{case.name}: not agreed within {self._plan.agree_within_s:g} s")
        self._tell(case.notes[-1])
        return False

    # Figures

    def _close(self, case: Case, first: Snapshot, last: Snapshot, absent: set[int] | None = None) -> None:
        self._figures.between(case, first, last, self._runner.gone | (absent or set()))

    def _wrong_deaths(self, case: Case, first: Snapshot, last: Snapshot) -> None:
        """Lives called dead that were not, a member and hour."""
        hours = self._plan.members * (last.at - first.at) / 3_600.0
        count = len(last.wrongly_dead - first.wrongly_dead)
        self._figures.sample(case, "member.wrong_deaths", count / hours, "1/h")
