"""`python -m bench`: this tree beside an earlier commit and a bare relay, in one run, alternating.

Each round plays every variant once: time to ready and memory at rest, then processor time a request for
three sizes, then the highest rate whose 99th percentile stays under the aim on a share of a core.  It prints
medians, their spread, and ratios to the earlier commit paired by round.
"""

from __future__ import annotations

import argparse
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from bench.process import HOST, cpu_s, free_ports, held_to, resident_mb, started, wait_until_it_answers
from bench.server import entry

ROOT = Path(__file__).resolve().parent.parent
OPENING = "ee5be96"
SIZES = {"get": 0, "post 1 KiB": 1 << 10, "post 64 KiB": 64 << 10}
SERVERS = 8
SHARE = 0.7  # of a core
AIM_MS = 50.0  # for the 99th percentile
STRIDE = 1.4  # from rate to rate, at first
STEP = 1.1  # and then
MOST = 6_000.0  # requests a second that the load tool can send in time
SETTINGS: dict[str, Any] = {
    "lanes": [
        {"name": "get", "giveUpUs": 1_000_000, "promiseUs": 500_000, "repeat": "read_like"},
        {"name": "post", "giveUpUs": 1_000_000, "promiseUs": 500_000, "repeat": "non_idempotent"},
    ],
    "zone": "a",
    "quantumUs": 5_000,
    "discovery": "on_request",
    "bounds": {"sendCap": 3, "mayCancel": True, "retryAfter": True, "dialTimeoutUs": 500_000},
}


@dataclass
class Variant:
    """What is measured: its folder, and the command that starts it there."""

    name: str
    folder: Path
    command: list[str]
    is_relay: bool = False
    figures: dict[str, list[float]] = field(default_factory=dict)

    def note(self, name: str, value: float) -> None:
        self.figures.setdefault(name, []).append(value)


def built(name: str, folder: Path) -> Variant:
    """A tree, built and to be started as its deploy file says."""
    deploy = tomllib.loads((folder / "deploy" / "balancer.toml").read_text())
    subprocess.run(["/bin/sh", "-c", deploy["build"]], cwd=folder, check=True)
    return Variant(name, folder, ["/bin/sh", "-c", deploy["run"]])


def earlier(commit: str) -> Variant:
    """An earlier commit in a work tree of its own."""
    folder = ROOT / "build" / "bench" / commit
    if not folder.exists():
        subprocess.run(["git", "worktree", "prune"], cwd=ROOT, check=True)
        subprocess.run(["git", "worktree", "add", "--detach", str(folder), commit], cwd=ROOT, check=True)
    if not (folder / ".venv").exists():
        # One venv for both: what else is installed in it costs each start and each request alike.
        (folder / ".venv").symlink_to(ROOT / ".venv")
    return built(commit, folder)


@contextmanager
def stage(variant: Variant) -> Iterator[tuple[int, int]]:
    """One variant with everything round it; gives its process and its port."""
    ports = free_ports(SERVERS + 2)
    listen, behind = ports[0], ports[1:]
    cores = sorted(os.sched_getaffinity(0))
    with (
        tempfile.TemporaryDirectory() as folder,
        started(
            [sys.executable, "-m", "bench.server", *map(str, behind)], cores[1 % len(cores)], ROOT
        ) as servers,
    ):
        assert servers.stdout is not None
        servers.stdout.readline()
        config = Path(folder) / "config.json"
        config.write_text(
            json.dumps(
                {
                    "name": "bench",
                    "listen": f"{HOST}:{listen}",
                    "discovery": f"{HOST}:{behind[0]}",
                    "seed": "1",
                    "known": {"version": 1, "full": True, "servers": [entry(each) for each in behind[1:]]},
                    "settings": SETTINGS,
                }
            )
        )
        command = variant.command
        if variant.is_relay:
            command = [*command, str(listen), *map(str, behind[1:])]
        began = time.monotonic()
        environment = {"BALANCER_CONFIG": str(config), "TMPDIR": folder}
        with started(command, cores[0], variant.folder, environment) as process:
            wait_until_it_answers(listen, "/_health")
            variant.note("ready, ms", 1_000 * (time.monotonic() - began))
            yield process.pid, listen


def load(port: int, rate: float, seconds: float, body: int, seed: int) -> dict[str, float]:
    """One run of the load tool, on a core of its own."""
    cores = sorted(os.sched_getaffinity(0))
    command = [sys.executable, "-m", "bench.load", str(port), str(rate), str(seconds), str(body), str(seed)]
    with started(command, cores[2 % len(cores)], ROOT) as tool:
        out, _ = tool.communicate(timeout=seconds + 30.0)
    read: dict[str, float] = json.loads(out)
    return read


def cost(variant: Variant, seconds: float, rate: float, seed: int) -> None:
    with stage(variant) as (pid, port):
        variant.note("memory at rest, MB", resident_mb(pid))
        load(port, rate, 0.5, 0, seed)  # connections are made and the code is warm
        for name, body in SIZES.items():
            before = cpu_s(pid)
            result = load(port, rate, seconds, body, seed)
            variant.note(f"{name}, us of CPU", 1e6 * (cpu_s(pid) - before) / result["asked"])
            variant.note(f"{name}, bad", result["bad"])


def knee(variant: Variant, seconds: float, start: float, seed: int) -> float:
    """The highest rate, of those tried upward, whose 99th percentile keeps the aim; `MOST` at most."""
    with stage(variant) as (pid, port), held_to(pid, SHARE):
        load(port, 100.0, 0.5, 0, seed)

        def keeps(rate: float) -> bool:
            result = load(port, rate, seconds, 0, seed)
            return result["p99"] <= AIM_MS and result["bad"] <= 0.01 * result["asked"]

        best = start
        while best > 50.0 and not keeps(best):
            best /= STRIDE
        for step in (STRIDE, STEP):
            while best * step <= MOST and keeps(best * step):
                best *= step
        return best


def parsing() -> dict[str, float]:
    """Microseconds a byte or a piece in the codec, for messages of growing size: it should not grow."""
    from sidecar.http import RequestReader

    head = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
    found: dict[str, float] = {}
    for name, count in (("1,000", 1_000), ("10,000", 10_000)):
        fields = b"".join(b"a%d: b\r\n" % each for each in range(count // 100))
        for kind, pieces in (
            ("pieces", [head, b"\r\n", *([b"4\r\nbody\r\n"] * count), b"0\r\n\r\n"]),
            ("bytes of a head", [bytes([each]) for each in head + fields + b"\r\n"]),
        ):
            reader = RequestReader()
            began = time.process_time()
            for piece in pieces:
                reader.receive(piece)
                reader.next_event()
            found[f"{name} {kind}, us each"] = 1e6 * (time.process_time() - began) / len(pieces)
    return found


def report(variants: list[Variant], baseline: Variant) -> None:
    for name in variants[0].figures:
        print(f"\n{name}")
        for each in variants:
            values = each.figures[name]
            line = (
                f"  {each.name:12} {statistics.median(values):9.1f}  [{min(values):.1f} to {max(values):.1f}]"
            )
            base = baseline.figures[name]
            if each is not baseline and all(base):
                ratios = [mine / other for mine, other in zip(values, base, strict=True)]
                line += f"   {statistics.median(ratios):5.2f} of it [{min(ratios):.2f} to {max(ratios):.2f}]"
            print(line)


def main() -> None:
    asks = argparse.ArgumentParser(prog="python -m bench", description=__doc__)
    asks.add_argument("--against", default=OPENING, help="the commit to compare with (default: %(default)s)")
    asks.add_argument("--rounds", type=int, default=5)
    asks.add_argument("--seconds", type=float, default=3.0, help="of each load")
    asks.add_argument("--rate", type=float, default=1_000.0, help="requests a second while CPU is measured")
    asks.add_argument("--no-knee", action="store_true", help="leave the highest rate out")
    given = asks.parse_args()
    relay = Variant("relay", ROOT, [sys.executable, "-m", "bench.relay"], is_relay=True)
    before, now = earlier(given.against), built("now", ROOT)
    variants = [before, now, relay]
    starts = {each.name: 300.0 for each in variants}
    for number in range(given.rounds):
        for each in variants[number % 3 :] + variants[: number % 3]:
            cost(each, given.seconds, given.rate, seed=number)
            if not given.no_knee:
                found = knee(each, given.seconds, starts[each.name], seed=number)
                starts[each.name] = max(found / STEP, 50.0)
                each.note("highest rate, requests a second", found)
        print(f"round {number + 1} of {given.rounds} is over", file=sys.stderr)
    report(variants, before)
    print("\nthe codec alone")
    for name, value in parsing().items():
        print(f"  {name:32} {value:6.2f}")


if __name__ == "__main__":
    main()
