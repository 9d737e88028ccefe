"""`python -m bench.ground`: what the proving ground itself bears.

The emulator's rate, with a bare relay and with the program in the sidecars' place; the model's pace for 200
copies over 200 servers, on one core and on eight; its cost a request from 10 to 1,000 copies, with a plot.
"""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

from msgspec.structs import replace

from testbed import events as log
from testbed.checker import check_invariants, compute_account
from testbed.checker.history import build_history
from testbed.emulator.play import RunOptions, run_scenario
from testbed.report import plots
from testbed.scenario import ScenarioRun, draw_run, read_scenario
from testbed.scenario.read import parse_scenario
from testbed.simulation.play import play as play_model

ROOT = Path(__file__).resolve().parent.parent
PLOT = ROOT / "docs" / "model-growth.svg"
SIZES = (10, 30, 100, 300, 1_000)
SEEDS = 8
RATE = """
name = "rate"
seconds = 10
[[classes]]
name = "look"
deadline_ms = 1000
aim_ms = 500
work_ms = 1
[[servers]]
count = 24
slots = 16
queue = 200
[sidecars]
count = 8
[clients]
rate_per_s = {rate}
connections = 64
work = "fixed"
"""


def emulator(command: str | None, rate: int, processes: int) -> str:
    """One day at a rate; what came of it, and whether the ground itself was late."""
    day = draw_run(parse_scenario(RATE.format(rate=rate), "rate"), 1)
    with tempfile.TemporaryDirectory() as folder:
        ground = RunOptions(Path(folder) / "day", ROOT, command, shards=processes, workers=processes)
        history = build_history(log.load(asyncio.run(run_scenario(day, ground))))
    verdict, told = check_invariants(history), compute_account(history)
    worst_ms = max((each.late_us for each in history.writer_delays), default=0) / 1e3
    latency = ", ".join(f"{name} {value:.1f}" for name, value in told.latency_ms.items())
    return (
        f"{rate} a second: {verdict.label}, served {told.served_fraction:.4f}, ms {latency};"
        f" the ground late by {worst_ms:.0f} ms at most"
    )


def fleet(seed: int) -> subprocess.Popen[bytes]:
    """A process that plays `fleet`, by the compiled module where there is one."""
    path = os.pathsep.join((str(ROOT / "build" / "native"), str(ROOT)))
    command = [sys.executable, "-P", "-m", "testbed", "model", "fleet", "--seed", str(seed), "--json"]
    environment = {**os.environ, "PYTHONPATH": path}
    return subprocess.Popen(command, cwd=ROOT, env=environment, stdout=subprocess.DEVNULL)


def seconds_of(seeds: Iterator[int] | range) -> float:
    began = time.monotonic()
    for process in [fleet(seed) for seed in seeds]:
        process.wait()
    return time.monotonic() - began


def sized(count: int) -> ScenarioRun:
    """The fleet without troubles, at so many copies and servers, 30 requests a second each, for 10 s."""
    day = draw_run(read_scenario("fleet"), 1)
    pattern = day.servers
    return replace(
        day,
        duration_us=10_000_000,
        faults=(),
        servers=tuple(replace(pattern[each % len(pattern)], number=each) for each in range(count)),
        replicas=tuple(
            replace(day.replicas[each % len(day.replicas)], number=each, share=1 / count)
            for each in range(count)
        ),
        clients=replace(day.clients, rate_per_s=30.0 * count),
    )


def cost_us(count: int) -> float:
    """Processor time a request, without what the copies' start costs."""
    spent = []
    for day in (replace(sized(count), duration_us=1_000_000), sized(count)):
        asked = 0

        def sink(event: log.Event) -> None:
            nonlocal asked
            asked += isinstance(event, log.RequestSent)

        began = time.process_time()
        play_model(day, "module", sink)
        spent.append((time.process_time() - began, asked))
    (short_s, few), (long_s, many) = spent
    return (long_s - short_s) / (many - few) * 1e6


def main() -> None:
    relay = f"exec {sys.executable} -m bench.relay"
    print("relay, 8 copies, 24 servers,", emulator(relay, 10_000, 4), flush=True)
    print("program, the same,", emulator(None, 4_000, 3), flush=True)
    one_s = seconds_of(range(1, 2))
    all_s = seconds_of(range(1, SEEDS + 1))
    print(f"model, fleet: {one_s:.0f} s on one core, {SEEDS} seeds at once {all_s:.0f} s", end="")
    print(f", {SEEDS * one_s / all_s:.1f} times the throughput", flush=True)
    points = [(float(count), cost_us(count)) for count in SIZES]
    for count, cost in points:
        print(f"model, {count:.0f} copies and servers: {cost:.0f} us a request", flush=True)
    drawn = plots.lines(
        {"module": points}, "copies, and servers", "processor time a request, us", is_log=True
    )
    PLOT.write_text(drawn)


if __name__ == "__main__":
    main()
