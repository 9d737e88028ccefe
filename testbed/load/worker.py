"""A worker process of the load generator: `python -m testbed.load.worker`.

It reads commands from standard input.  The first line is a `Plan` as JSON; the answer is `ready`.  The second
line is the start of the run in nanoseconds of the monotonic clock; the worker sends the requests of its
replicas and answers `done`.  It exits when its input is closed.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import msgspec
import uvloop

from testbed import events as log
from testbed.clock import RunClock, log_lateness
from testbed.load.client import LoadGenerator
from testbed.scenario import ScenarioRun, draw_arrivals
from testbed.streams import open_stdin, seeded


class Plan(msgspec.Struct, frozen=True, rename={"run": "day", "part_path": "part"}):
    """The task of one worker.  Field names in JSON are those given in `rename`."""

    run: ScenarioRun
    worker: int
    workers: int
    addresses: list[tuple[str, int]]  # listener of each replica's sidecar
    part_path: str  # event log file of this worker
    grace_us: int  # how long after its client timeout a response is still awaited


async def generate_load(plan: Plan, start_ns: int) -> None:
    """Send all requests of this worker's replicas; return once each has an outcome."""
    clock = RunClock(start_ns)
    replicas = [number for number in range(len(plan.addresses)) if number % plan.workers == plan.worker]
    with log.EventLogWriter(Path(plan.part_path)) as writer:
        generators = {
            replica: LoadGenerator(
                plan.run,
                replica,
                plan.addresses[replica],
                clock,
                writer,
                plan.grace_us,
                seeded(plan.run.seed, f"load.{replica}"),
            )
            for replica in replicas
        }
        lateness_watch = asyncio.create_task(log_lateness(clock, f"load {plan.worker}", writer))
        try:
            for arrival in draw_arrivals(plan.run):
                generator = generators.get(arrival.replica)
                if generator is None:
                    continue
                if arrival.at_us > clock.now():
                    await asyncio.sleep(clock.wait_s(arrival.at_us))
                generator.start_request(arrival)
            while any(generator.unfinished for generator in generators.values()):
                await asyncio.sleep(0.01)
        finally:
            lateness_watch.cancel()
            for generator in generators.values():
                generator.close()


async def main() -> None:
    """Generate the load that standard input describes, until standard input is closed."""
    commands = await open_stdin()
    plan = msgspec.json.decode(await commands.readline(), type=Plan)
    print("ready", flush=True)
    start_line = await commands.readline()
    if not start_line:
        return
    load = asyncio.create_task(generate_load(plan, int(start_line)))
    input_closed = asyncio.create_task(commands.read())
    await asyncio.wait([load, input_closed], return_when=asyncio.FIRST_COMPLETED)
    if load.done():
        await load
        print("done", flush=True)
        await input_closed
    else:
        load.cancel()


if __name__ == "__main__":
    uvloop.run(main())
    sys.exit(0)
