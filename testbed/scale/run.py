"""Executes a scale run: each event of the plan, what it costs, and how long members take to agree."""

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
from testbed.scale.real_member import shows_ended
from testbed.scale.runner import Runner, Snapshot

_POLL_S = 0.25  # interval of the checks for agreement or knowledge
_DISCOVERY_TIMEOUT_S = 120.0  # from the end of an outage until every simulated member has an answer
_PAUSE_S = 2.0  # between two events


async def run_plan(
    plan: Plan, root: Path, command: str, report: Callable[[str], None], folder: Path | None = None
) -> Figures:
    """Execute a plan and return its figures; raise RunError if this machine does not allow it.

    `folder` receives the files of all processes; by default they are deleted at the end.
    """
    check(plan)
    figures = Figures(plan)
    with contextlib.ExitStack() as stack:
        run_folder = folder or Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="scale-")))
        runner = Runner(plan, root, run_folder, command)
        try:
            async with asyncio.timeout(plan.within_s):
                await runner.prepare()
                await _PlanRun(runner, figures, report).run()
        except TimeoutError:
            timed_out = figures.case("end")
            timed_out.faults.append(f"the run was ended at its bound of {plan.within_s:g} s")
        finally:
            await runner.close()
    return figures


class _PlanRun:
    """The events of one run, one after another."""

    def __init__(self, runner: Runner, figures: Figures, report: Callable[[str], None]) -> None:
        self._runner, self._figures, self._report = runner, figures, report
        self._plan = runner.plan
        self._random = random.Random(f"scale {self._plan.seed}")

    async def run(self) -> None:
        """Start all members, which every run needs, then execute the events of the plan in their order."""
        handlers: dict[Event, Callable[[], Awaitable[None]]] = {
            Event.REST: self._rest,
            Event.KILL: lambda: self._kill("kill", [self._chosen_member()]),
            Event.RACK: lambda: self._kill("rack-40", self._plan.rack_members),
            Event.ZONE: lambda: self._kill("zone", self._plan.zone_members),
            Event.PARTITION: self._partition,
            Event.LOSS: self._lose_datagrams,
            Event.RESTARTS: self._restart_members,
            Event.DISCOVERY: self._stop_discovery,
            Event.CONFIG: self._roll_out_version,
        }
        await self._start()
        for event in Event:
            if event in self._plan.events and event in handlers:
                await asyncio.sleep(_PAUSE_S)
                await handlers[event]()

    def _chosen_member(self) -> int:
        """Return the member that is killed or signalled alone: the last real one, or else member 0."""
        return max(self._plan.real - 1, 0)

    # Events

    async def _start(self) -> None:
        """Start all members at once, none of which knows another."""
        case = self._figures.case("start-at-once")
        members = list(range(self._plan.members))
        first = await self._runner.snapshot()
        started_at = time.monotonic()
        await self._runner.start(members, with_off=True)
        self._figures.sample(case, "scale.started", time.monotonic() - started_at, "s")
        is_agreed = await self._wait_for_agreement(case, started_at)
        self._add_costs(case, first, await self._runner.snapshot())
        # Only here do real and simulated members have the same updates to send, so that their costs compare.
        after = self._figures.case("after-start")
        await self._measure_rest(after, is_settled=False)
        self._figures.compare_kinds(after)
        await self._settle(is_agreed=is_agreed)

    async def _rest(self) -> None:
        await self._measure_rest(self._figures.case("rest"), is_settled=self._plan.settles)

    async def _measure_rest(self, case: Case, *, is_settled: bool) -> None:
        """Measure for the plan's rest time, without a fault."""
        first = await self._runner.snapshot()
        await asyncio.sleep(self._plan.rest_s)
        last = await self._runner.snapshot()
        self._figures.between(case, first, last, self._runner.killed, is_settled=is_settled)
        self._add_wrong_deaths(case, first, last)

    async def _settle(self, *, is_agreed: bool) -> None:
        if self._plan.settles and is_agreed:
            await self._runner.settle()

    async def _kill(self, name: str, members: list[int]) -> None:
        """Kill members, wait until all others know, then start them again and wait for agreement."""
        case = self._figures.case(name)
        first = await self._runner.snapshot()
        started_at = time.monotonic()
        await self._runner.start_timer("deaths", members, started_at)
        await self._runner.kill(members)
        await self._wait_until_known(case, members, started_at)
        last = await self._runner.snapshot()
        self._figures.between(case, first, last, self._runner.killed, is_polled=True)
        self._add_wrong_deaths(case, first, last)
        back = self._figures.case(f"{name}-back")
        started_at = time.monotonic()
        await self._runner.start(members)
        is_agreed = await self._wait_for_agreement(back, started_at)
        self._add_costs(back, last, await self._runner.snapshot(), set(members))
        await self._settle(is_agreed=is_agreed)

    async def _partition(self) -> None:
        """Separate the two halves of the cluster for a while, then wait for agreement."""
        name = f"region-cut-{self._plan.cut_s:g}s"
        during = self._figures.case(f"{name}-during")
        first = await self._runner.snapshot()
        await self._runner.partition(self._plan.partition_border)
        await asyncio.sleep(self._plan.cut_s)
        last = await self._runner.snapshot()
        self._add_costs(during, first, last)
        case = self._figures.case(name)
        started_at = time.monotonic()
        await self._runner.partition(None)
        is_agreed = await self._wait_for_agreement(case, started_at)
        self._add_costs(case, last, await self._runner.snapshot())
        await self._settle(is_agreed=is_agreed)

    async def _lose_datagrams(self) -> None:
        case = self._figures.case(f"loss-{100 * self._plan.loss:g}")
        first = await self._runner.snapshot()
        await self._runner.set_loss(self._plan.loss)
        await asyncio.sleep(self._plan.rest_s)
        last = await self._runner.snapshot()
        await self._runner.set_loss(0.0)
        self._add_costs(case, first, last)
        self._add_wrong_deaths(case, first, last)
        await self._settle(is_agreed=await self._wait_for_agreement(case, time.monotonic()))

    async def _restart_members(self) -> None:
        """Shut down and restart random members, one after another."""
        case = self._figures.case(f"restart-every-{self._plan.restart_every_s:g}s")
        first = await self._runner.snapshot()
        ends_at = time.monotonic() + self._plan.rest_s
        count = 0
        while time.monotonic() < ends_at:
            await self._runner.restart(self._random.randrange(self._plan.members))
            count += 1
            await asyncio.sleep(self._plan.restart_every_s)
        last = await self._runner.snapshot()
        case.notes.append(f"{case.name}: {count} restarts")
        self._add_costs(case, first, last)
        self._add_wrong_deaths(case, first, last)
        await self._settle(is_agreed=await self._wait_for_agreement(case, time.monotonic()))

    async def _stop_discovery(self) -> None:
        """Stop discovery for a while, then measure until each simulated member has an answer again."""
        case = self._figures.case(f"discovery-down-{self._plan.down_s:g}s")
        first = await self._runner.snapshot()
        self._runner.discovery.down()
        await asyncio.sleep(self._plan.down_s)
        started_at = time.monotonic()
        await self._runner.start_timer("lists", [], started_at)
        self._runner.discovery.up()
        elapsed = await self._wait_for_timer(case, "discovery.return_told", _DISCOVERY_TIMEOUT_S)
        self._figures.spread(
            case, "discovery.return_told", elapsed, "s", "hollow", ("mean", "median", "p99", "max")
        )
        self._add_costs(case, first, await self._runner.snapshot())

    async def _roll_out_version(self) -> None:
        """Write a new file for all members and signal one of them to read it.

        Waits until all members have the version in force and the signalled one reports so.
        """
        case, version, signalled = self._figures.case("configuration"), 2, self._chosen_member()
        await self._runner.publish(version)
        first = await self._runner.snapshot()
        started_at = time.monotonic()
        await self._runner.start_timer("versions", [version], started_at)
        await self._runner.signal_reload(signalled)
        real: dict[int, float] = {}  # by real member: seconds until it was seen to have the version
        # Seconds until the signalled member reports the version in force everywhere.
        # Simulated members are not polled for this.
        known: float | None = None if signalled < self._plan.real else 0.0
        waiting, elapsed = await self._runner.read_timer()
        ends_at = started_at + self._plan.agree_within_s
        while time.monotonic() < ends_at and (
            waiting or known is None or len(real) < len(self._runner.live_real)
        ):
            for member in self._runner.live_real:
                status = (await member.telemetry()).get("configuration", {})
                if status.get("version") == version:
                    real.setdefault(member.number, time.monotonic() - started_at)
                    if member.number == signalled and status.get("in_force_everywhere") and known is None:
                        known = time.monotonic() - started_at
            await asyncio.sleep(_POLL_S)
            waiting, elapsed = await self._runner.read_timer()
        missing = waiting + len(self._runner.live_real) - len(real)
        if missing:
            case.notes.append(
                f"{case.name}: {missing} members had it not within {time.monotonic() - started_at:.0f} s"
            )
        else:
            self._figures.spread(case, "config.in_force", elapsed, "s", "hollow", ("median", "p99", "max"))
            self._figures.spread(case, "config.in_force", list(real.values()), "s", "real", ("median", "max"))
            self._report(f"{case.name}: in force everywhere after {max([*elapsed, *real.values()]):.1f} s")
        if known:
            self._figures.sample(case, "config.known_everywhere", known, "s", "max", "real")
            self._report(f"{case.name}: known to be in force everywhere after {known:.1f} s")
        elif known is None:
            case.notes.append(f"{case.name}: {signalled} does not say that it is in force everywhere")
        self._add_costs(case, first, await self._runner.snapshot())

    # Waiting

    async def _wait_until_known(self, case: Case, members: list[int], started_at: float) -> None:
        """Wait until all other members know that these ended, and record when each knew of all of them."""
        real: dict[int, float] = {}
        ends_at = started_at + self._plan.agree_within_s
        while time.monotonic() < ends_at:
            waiting, elapsed = await self._runner.read_timer()
            for member in self._runner.live_real:
                view = await member.view()
                if member.number not in real and view is not None and shows_ended(view, members):
                    real[member.number] = time.monotonic() - started_at
            if not waiting and len(real) == len(self._runner.live_real):
                break
            await asyncio.sleep(_POLL_S)
        else:
            case.notes.append(
                f"{case.name}: {waiting} hollow members did not know within {self._plan.agree_within_s:g} s"
            )
            return
        for engine, values in (("hollow", elapsed), ("real", list(real.values()))):
            parts = ("median", "p99", "max") if engine == "hollow" else ("median", "max")
            self._figures.spread(case, "member.death_known", values, "s", engine, parts)
        self._report(f"{case.name}: known to all after {max([*elapsed, *real.values()]):.1f} s")

    async def _wait_for_timer(self, case: Case, measure: str, timeout_s: float) -> list[float]:
        """Return the seconds that each simulated member took; none, and a note, at the timeout."""
        ends_at = time.monotonic() + timeout_s
        while True:
            waiting, elapsed = await self._runner.read_timer()
            if not waiting:
                self._report(f"{case.name}: all told after {max(elapsed, default=0.0):.1f} s")
                return elapsed
            if time.monotonic() > ends_at:
                case.notes.append(
                    f"{case.name}: {measure}: {waiting} members had none within {timeout_s:g} s"
                )
                return []
            await asyncio.sleep(_POLL_S)

    async def _wait_for_agreement(self, case: Case, started_at: float) -> bool:
        """Wait until all live members agree; at the timeout add a note and return False."""
        ends_at = started_at + self._plan.agree_within_s
        while time.monotonic() < ends_at:
            if await self._runner.is_agreed():
                elapsed = time.monotonic() - started_at
                self._figures.sample(case, "member.agreed_after", elapsed, "s", "max")
                self._report(f"{case.name}: all agree after {elapsed:.1f} s")
                return True
            await asyncio.sleep(_POLL_S)
        case.notes.append(f"{case.name}: not agreed within {self._plan.agree_within_s:g} s")
        self._report(case.notes[-1])
        return False

    # Figures

    def _add_costs(self, case: Case, first: Snapshot, last: Snapshot, absent: set[int] | None = None) -> None:
        self._figures.between(case, first, last, self._runner.killed | (absent or set()))

    def _add_wrong_deaths(self, case: Case, first: Snapshot, last: Snapshot) -> None:
        """Record the rate of incarnations declared dead while alive, per member and hour."""
        hours = self._plan.members * (last.at - first.at) / 3_600.0
        count = len(last.wrongly_dead - first.wrongly_dead)
        self._figures.sample(case, "member.wrong_deaths", count / hours, "1/h")
