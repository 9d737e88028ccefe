"""A process of the load: `python -m testbed.load.worker`, told what to do on its standard input.

First line: a `Plan` as JSON; it answers `ready`.  Second line: when the day begins, by the monotonic clock in
nanoseconds; it plays and answers `done`.  It ends when its input does.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import msgspec
import uvloop

from testbed import events as log
from testbed.clock import RunClock, log_lateness
from testbed.load.client import Application
from testbed.scenario import ScenarioRun, draw_arrivals
from testbed.streams import open_stdin, seeded


class Plan(msgspec.Struct, frozen=True):
    """What one process of the load does."""

    day: ScenarioRun
    worker: int
    workers: int
    addresses: list[tuple[str, int]]  # of each copy
    part: str  # the file for its part of the log
    grace_us: int


async def play(plan: Plan, began_ns: int) -> None:
    """All requests of this worker's copies, from the day's beginning until each is answered or given up."""
    clock = RunClock(began_ns)
    own = [number for number in range(len(plan.addresses)) if number % plan.workers == plan.worker]
    with log.EventLogWriter(Path(plan.part)) as writer:
        applications = {
            copy: Application(
                plan.day,
                copy,
                plan.addresses[copy],
                clock,
                writer,
                plan.grace_us,
                seeded(plan.day.seed, f"load.{copy}"),
            )
            for copy in own
        }
        watch = asyncio.create_task(log_lateness(clock, f"load {plan.worker}", writer))
        try:
            for arrival in draw_arrivals(plan.day):
                application = applications.get(arrival.replica)
                if application is None:
                    continue
                if arrival.at_us > clock.now():
                    await asyncio.sleep(clock.wait_s(arrival.at_us))
                application.begin(arrival)
            while any(each.owed for each in applications.values()):
                await asyncio.sleep(0.01)
        finally:
            watch.cancel()
            for application in applications.values():
                application.close()


async def main() -> None:
    """Generate the load that standard input describes, until standard input is closed."""
    told = await open_stdin()
    plan = msgspec.json.decode(await told.readline(), type=Plan)
    print("ready", flush=True)
    began = await told.readline()
    if not began:
        return
    playing = asyncio.create_task(play(plan, int(began)))
    gone = asyncio.create_task(told.read())
    await asyncio.wait([playing, gone], return_when=asyncio.FIRST_COMPLETED)
    if playing.done():
        await playing
        print("done", flush=True)
        await gone
    else:
        playing.cancel()


if __name__ == "__main__":
    uvloop.run(main())
    sys.exit(0)
