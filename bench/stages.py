"""Where the time of a call goes, by differences: `python -m bench.stages`, at 293 calls a second.

Each round plays a relay, the same with the sidecar's codec, the same with its decisions, and the sidecar, in
an order that turns.  Processor time a call, the part of it in the kernel, and how often the process was woken
for a call.  A stage's time is the difference to the one before it.
"""

from __future__ import annotations

import argparse
import os
import socket
import statistics
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from pathlib import Path

from bench.openloop import OpenLoop, quantile
from bench.path import MEAN, WARM_S, case_of
from bench.process import HOST, cpu_s, free_ports, wait_until_it_answers
from bench.sidecars import (
    behind,
    configuration,
    how_built,
    native_environment,
    restart_as_built,
    running,
    sidecar,
)
from testbed.capacity.samples import FOLDER, Sample, save

STAGES = ("relay", "framed", "decided", "whole")
SERVERS = 8
RATES = (MEAN, 1_000.0)
CALLS = 1_500.0
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass
class Cost:
    """What one stage's process took for a call, in one round."""

    cpu_us: float
    kernel: float  # part of it
    wakes: float
    median_us: float  # through it


@contextmanager
def stages(folder: Path) -> Iterator[dict[str, tuple[OpenLoop, int]]]:
    """All of them, started: a load for each, and its process."""
    with ExitStack() as stack:
        stand = stack.enter_context(behind([SERVERS]))
        out = {}
        for name in STAGES[:-1]:
            port = free_ports(1)[0]
            command = [sys.executable, "-P", "-m", "bench.staged", name, str(port)]
            command += map(str, stand.servers)
            process = stack.enter_context(running(command, native_environment()))
            out[name] = port, process.pid
        given = configuration(stand.discovery[SERVERS], stand.servers)
        own = stack.enter_context(sidecar(folder / "sidecar", given))
        out["whole"] = own.port(), own.process.pid
        wait_until_it_answers(out["relay"][0], "/")
        for name in ("framed", "decided"):
            wait_until_it_listens(out[name][0])
        found = {}
        for name, (port, pid) in out.items():
            found[name] = OpenLoop((HOST, port)), pid
            stack.callback(found[name][0].close)
        yield found


def wait_until_it_listens(port: int, within_s: float = 15.0) -> None:
    until = time.monotonic() + within_s
    while time.monotonic() < until:
        try:
            socket.create_connection((HOST, port)).close()
        except OSError:
            time.sleep(0.01)
        else:
            return
    raise TimeoutError(f"nobody listens at port {port}")


def _used(pid: int) -> tuple[float, float, int]:
    """Seconds in user and in kernel mode, and how often it was woken."""
    words = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    user, kernel = int(words[11]), int(words[12])
    return user / _TICKS_PER_S, kernel / _TICKS_PER_S, _woken(pid)


def _woken(pid: int) -> int:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return int(next(each for each in lines if each.startswith("voluntary_ctxt_switches")).split()[1])


def cost(load: OpenLoop, pid: int, rate: float, calls: float, seed: int) -> Cost:
    load.play(rate, WARM_S, seed + 1_000_000)
    before_s, before = cpu_s(pid), _used(pid)
    played = load.play(rate, calls / rate, seed)
    spent_s, after = cpu_s(pid) - before_s, _used(pid)
    if played.bad:
        raise RuntimeError(f"{played.bad} of {played.asked} calls failed")
    user, kernel, woken = (one - other for one, other in zip(after, before, strict=True))
    part = kernel / (user + kernel) if user + kernel else 0.0
    median = quantile(played.latencies_us, 0.5)
    return Cost(1e6 * spent_s / played.asked, part, woken / played.asked, median)


def measure(rounds: int, rates: tuple[float, ...] = RATES, calls: float = CALLS) -> list[Sample]:
    found: dict[tuple[str, float], list[Cost]] = {}
    with tempfile.TemporaryDirectory() as folder, stages(Path(folder)) as there:
        for number in range(rounds):
            turn = number % len(STAGES)
            for rate in rates:
                for name in STAGES[turn:] + STAGES[:turn]:
                    each = cost(*there[name], rate, calls, number + 1)
                    found.setdefault((name, rate), []).append(each)
    return [each for rate in rates for each in samples(rate, {name: found[name, rate] for name in STAGES})]


def samples(rate: float, found: dict[str, list[Cost]]) -> list[Sample]:
    """For each stage and round its cost, and what it adds to the stage before it.  Size: its place."""
    out = []
    for place, name in enumerate(STAGES):
        case = f"{name}, {case_of(rate)}"
        for seed, each in enumerate(found[name], 1):
            more = each.cpu_us - (found[STAGES[place - 1]][seed - 1].cpu_us if place else 0.0)
            out += [
                Sample("path.stage_cpu_us", place, each.cpu_us, "us", case, seed=seed),
                Sample("path.stage_more_us", place, more, "us", case, seed=seed),
                Sample("path.stage_kernel", place, each.kernel, "part", case, seed=seed),
                Sample("path.stage_wakes", place, each.wakes, "1", case, seed=seed),
                Sample("path.stage_whole_us", place, each.median_us, "us", case, "median", seed=seed),
            ]
    return out


def report(found: list[Sample]) -> None:
    """Medians over the rounds, and from where to where they go."""
    by: dict[tuple[str, str], list[float]] = {}
    for each in found:
        by.setdefault((each.case, each.measure), []).append(each.value)
    for (case, measure_), values in by.items():
        middle = statistics.median(values)
        print(f"{case:>16} {measure_:20} {middle:8.3g} [{min(values):.3g} to {max(values):.3g}]")


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m bench.stages", description=__doc__)
    parser.add_argument("--rounds", type=int, default=12)
    parser.add_argument("--out", type=Path, default=FOLDER, help="folder for the data (default: %(default)s)")
    arguments = parser.parse_args()
    restart_as_built("bench.stages")
    found = measure(arguments.rounds)
    report(found)
    notes = (
        f"A shared machine, where others ran meanwhile; {SERVERS} servers; decisions {how_built()}."
        " kernel: by the system's ticks, so rough."
    )
    command = f"python -m bench.stages --rounds {arguments.rounds}"
    print(save("path-stages", command, found, notes=notes, folder=arguments.out))


if __name__ == "__main__":
    main()
