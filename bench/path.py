"""What a sidecar adds to a call as its list grows: `python -m bench.path latency|rates`.

`latency`: by length of the list, at the mean sidecar's rate and at the busiest's.  `rates`: processor time a
call by rate, at one length.  In each round every way to a server is played once, in an order that turns from
round to round: the direct call, the bare relay, and a sidecar for each length of list, all of them running
all the time.  Build first: `make path` does.

Added is the difference of a quantile through the sidecar and the same quantile of the direct call in the same
round.  No call goes both ways, so there are no differences of calls; and what the direct call takes at its
own worst is not the sidecar's.  It is not the quantile of what is added to each call.
"""

from __future__ import annotations

import argparse
import statistics
import sys
import tempfile
from collections.abc import Iterator, Sequence
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from pathlib import Path

from bench.openloop import OpenLoop, Played, quantile
from bench.process import HOST, cpu_s, free_ports, wait_until_it_answers
from bench.sidecars import behind, configuration, is_compiled, running, sidecar
from testbed.capacity.samples import FOLDER, Sample, save

SIZES = (8, 20, 100, 300, 750)
MEAN = 293.0  # calls a second of the fleet's mean sidecar
BUSIEST = 880.0  # three times the mean: an assumption, as nobody has told
RATES = (100.0, MEAN, 600.0, 1_000.0, 1_500.0)
AT_RATES = 100  # servers listed while the rate grows
CALLS = {100.0: 500.0, MEAN: 750.0}  # a block: short, so that what else the machine does meets all ways alike
MOST_CALLS = 1_300.0  # at other rates
QUANTILES = {"median": 0.5, "p99": 0.99, "p999": 0.999}
DIRECT, RELAY = 0, -1  # in place of a length of list
WARM_S = 0.3


@dataclass
class Way:
    """One way to a server: direct, through the relay, or through a sidecar whose list is so long."""

    size: int
    load: OpenLoop
    pid: int | None = None  # whose processor time counts


@dataclass
class Block:
    """One way at one rate in one round."""

    played: Played
    cpu_us: float = 0.0  # a call


@dataclass
class Blocks:
    """All of a run, by way and rate, a block a round."""

    of: dict[tuple[int, float], list[Block]] = field(default_factory=dict)

    def add(self, way: int, rate: float, block: Block) -> None:
        self.of.setdefault((way, rate), []).append(block)

    def rates(self) -> list[float]:
        return sorted({rate for _, rate in self.of})

    def sizes(self) -> list[int]:
        return sorted({way for way, _ in self.of if way > 0})

    def pooled(self, way: int, rate: float) -> Played:
        whole = Played()
        for each in self.of[way, rate]:
            whole = whole.joined(each.played)
        return whole


@contextmanager
def ways(sizes: Sequence[int], folder: Path) -> Iterator[list[Way]]:
    """Everything that is played, started and connected to."""
    with ExitStack() as stack:
        stand = stack.enter_context(behind(sizes))
        relay_port = free_ports(1)[0]
        command = [sys.executable, "-m", "bench.relay", str(relay_port), *map(str, stand.servers[:8])]
        relay = stack.enter_context(running(command))
        started = [
            stack.enter_context(
                sidecar(folder / str(size), configuration(stand.discovery[size], stand.servers[:size]))
            )
            for size in sizes
        ]
        wait_until_it_answers(relay_port, "/")
        told = [(DIRECT, stand.servers[0], None), (RELAY, relay_port, relay.pid)]
        told += [(size, each.port(), each.process.pid) for size, each in zip(sizes, started, strict=True)]
        out = []
        for size, port, pid in told:
            out.append(Way(size, OpenLoop((HOST, port)), pid))
            stack.callback(out[-1].load.close)
        yield out


def block(way: Way, rate: float, calls: float, seed: int) -> Block:
    """So many calls at a rate, after a short while of it that counts for nothing."""
    way.load.play(rate, WARM_S, seed + 1_000_000)
    before = cpu_s(way.pid) if way.pid is not None else 0.0
    played = way.load.play(rate, calls / rate, seed)
    spent = cpu_s(way.pid) - before if way.pid is not None else 0.0
    return Block(played, 1e6 * spent / max(played.asked, 1))


def measure(sizes: Sequence[int], rates: Sequence[float], rounds: int, part: float) -> Blocks:
    """All ways at all rates, so many rounds; `part` of the usual number of calls."""
    found = Blocks()
    with tempfile.TemporaryDirectory() as folder, ways(sizes, Path(folder)) as there:
        for number in range(rounds):
            for rate in rates:
                turn = number % len(there)
                for each in there[turn:] + there[:turn]:
                    calls = part * CALLS.get(rate, MOST_CALLS)
                    found.add(each.size, rate, block(each, rate, calls, seed=number + 1))
            print(f"round {number + 1} of {rounds} is over", file=sys.stderr, flush=True)
    return found


def added(through: Sequence[float], direct: Sequence[float], part: float) -> float:
    """What a way adds at a quantile: the difference of the two quantiles."""
    return quantile(through, part) - quantile(direct, part)


def case_of(rate: float) -> str:
    return f"{rate:g}/s"


def differences(found: Blocks, way: int, rate: float, part: str) -> list[float]:
    """What a way adds at a quantile, by round; at the 99.9th, beyond which a round has few calls, in all."""
    pairs = [
        (one.played, two.played) for one, two in zip(found.of[way, rate], found.of[DIRECT, rate], strict=True)
    ]
    if part == "p999":
        pairs = [(found.pooled(way, rate), found.pooled(DIRECT, rate))]
    return [added(one.latencies_us, two.latencies_us, QUANTILES[part]) for one, two in pairs]


def late(found: Blocks, way: int, rate: float, part: str) -> float:
    """How late the tool was at a quantile, on this way or the direct one: the worse of the two."""
    whole = found.pooled(way, rate), found.pooled(DIRECT, rate)
    return max(quantile(each.late_us, QUANTILES[part]) for each in whole)


def samples(found: Blocks) -> list[Sample]:
    """A sample for each round, its number as the seed; 0 stands for all rounds together."""
    out: list[Sample] = []
    for rate in found.rates():
        case = case_of(rate)
        for way in [DIRECT, RELAY, *found.sizes()]:
            size, name = max(way, 0), {DIRECT: "direct_", RELAY: "relay_"}.get(way, "")
            whole = found.pooled(way, rate)
            for part, at in QUANTILES.items():
                value = quantile(whole.latencies_us, at)
                out.append(Sample(f"path.{name}whole_us", size, value, "us", case, part))
                value = quantile(whole.late_us, at)
                out.append(Sample(f"path.{name}tool_late_us", size, value, "us", case, part))
                if way == DIRECT or is_lost(found, way, rate, part):
                    continue
                values = differences(found, way, rate, part)
                first = 0 if part == "p999" else 1
                out += [
                    Sample(f"path.{name}added_us", size, each, "us", case, part, seed=seed)
                    for seed, each in enumerate(values, first)
                ]
            if way != DIRECT:
                out += [
                    Sample(f"path.{name}cpu_us", size, each.cpu_us, "us", case, seed=seed)
                    for seed, each in enumerate(found.of[way, rate], 1)
                ]
            if way > 0:
                out += _ratios(found, way, rate)
    return out


def _ratios(found: Blocks, way: int, rate: float) -> list[Sample]:
    """Processor time a call as a multiple of the relay's, by round."""
    return [
        Sample("path.cpu_ratio", way, one.cpu_us / relay.cpu_us, "relay", case_of(rate), seed=place)
        for place, (one, relay) in enumerate(zip(found.of[way, rate], found.of[RELAY, rate], strict=True), 1)
        if relay.cpu_us > 0.0
    ]


def is_lost(found: Blocks, way: int, rate: float, part: str) -> bool:
    """Whether a figure says nothing: the tool was later than that, or noise ate the difference."""
    return late(found, way, rate, part) >= statistics.median(differences(found, way, rate, part))


def failures(found: Blocks) -> list[str]:
    """Ways whose calls were not all served."""
    whole = {key: found.pooled(*key) for key in sorted(found.of)}
    return [
        f"{name_of(way)} at {case_of(rate)}: {each.bad} of {each.asked} calls failed"
        for (way, rate), each in whole.items()
        if each.bad
    ]


def lost(found: Blocks) -> tuple[list[str], list[str]]:
    """Figures that say nothing: those without which a run is not valid, and those that are only left out.

    The first are a sidecar's median and 99th percentile.
    """
    needed: list[str] = []
    others: list[str] = []
    for way, rate in sorted(found.of):
        for part in QUANTILES:
            if way != DIRECT and is_lost(found, way, rate, part):
                more = statistics.median(differences(found, way, rate, part))
                said = f"{name_of(way)} at {case_of(rate)}, {part}: added {more:.0f} us"
                said += f", tool late by {late(found, way, rate, part):.0f}"
                (needed if way > 0 and part != "p999" else others).append(said)
    return needed, others


def of_processor(found: list[Sample]) -> list[Sample]:
    """Processor times, and how late the tool was: that says nothing against them."""
    return [each for each in found if "cpu" in each.measure or "tool_late" in each.measure]


def name_of(way: int) -> str:
    return {DIRECT: "direct", RELAY: "relay"}.get(way, f"{way} servers")


def report(found: Blocks) -> None:
    """A line for each way and rate: medians of the rounds, and from where to where they go."""
    for rate in found.rates():
        for way in [DIRECT, RELAY, *found.sizes()]:
            blocks, whole = found.of[way, rate], found.pooled(way, rate)
            line = f"{case_of(rate):>7} {name_of(way):>12}:"
            for part, at in QUANTILES.items():
                line += f" {part} {quantile(whole.latencies_us, at):6.0f}"
                if way != DIRECT:
                    values = differences(found, way, rate, part)
                    line += f" ({statistics.median(values):+.0f}, {min(values):.0f} to {max(values):.0f})"
            spent = [each.cpu_us for each in blocks]
            line += f" us; CPU {statistics.median(spent):.0f} us [{min(spent):.0f} to {max(spent):.0f}];"
            tool = "/".join(f"{quantile(whole.late_us, at):.0f}" for at in QUANTILES.values())
            print(f"{line} tool late {tool} us; {whole.asked} calls, {whole.crowded} crowded")


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m bench.path", description=__doc__)
    parser.add_argument("what", choices=("latency", "rates"))
    parser.add_argument("--rounds", type=int, default=16)
    parser.add_argument("--part", type=float, default=1.0, help="of the usual number of calls")
    parser.add_argument("--out", type=Path, default=FOLDER, help="folder for the data (default: %(default)s)")
    arguments = parser.parse_args()
    if not is_compiled():
        print("the decisions are not compiled: run deploy/native.py first", file=sys.stderr)
    sizes, rates = (SIZES, (MEAN, BUSIEST)) if arguments.what == "latency" else ((AT_RATES,), RATES)
    found = measure(sizes, rates, arguments.rounds, arguments.part)
    report(found)
    wrong = failures(found)
    left_out: list[str] = []
    kept = samples(found)
    if arguments.what == "rates":
        kept = of_processor(kept)
    else:
        needed, left_out = lost(found)
        wrong += needed
    said = [f"not valid: {each}" for each in wrong] + [f"left out: {each}" for each in left_out]
    notes = (
        f"{arguments.rounds} rounds on a shared machine, where others ran meanwhile; nothing is pinned"
        f" to a core. 880/s is an assumption for the busiest: three times the mean. Decisions"
        f" {'compiled' if is_compiled() else 'not compiled'}. {'; '.join(said)}"
    ).strip()
    command = f"python -m bench.path {arguments.what} --rounds {arguments.rounds} --part {arguments.part:g}"
    name = f"path-{arguments.what}"
    print(save(name, command, kept, valid=not wrong, notes=notes, folder=arguments.out))
    for each in said:
        print(each, file=sys.stderr)


if __name__ == "__main__":
    main()
