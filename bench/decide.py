"""The decisions and the list by themselves: `python -m bench.decide decide|list`, without sockets.

Compiled, as `run` starts them: it starts itself anew with what `build` has left.  Medians over rounds, each
with a seed of its own; data goes to docs/capacity.
`decide`: time of a request (it arrives, it is placed, its answer comes; the timers that fall due meanwhile)
by servers listed.  `list`: bytes of a whole list, and the time to read it and take it over, by stage.
"""

from __future__ import annotations

import argparse
import heapq
import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from balancer import Balancer
from balancer.actions import Action, Fail, Reject, SendAttempt, SetTimer
from balancer.events import (
    AttemptEnded,
    EndpointListKind,
    EndpointListReceived,
    Event,
    Outcome,
    RequestArrived,
    TimerFired,
)
from balancer.settings import Limits
from balancer.settings_wire import settings_from_wire
from bench.__main__ import SETTINGS
from bench.listed import listed
from bench.sidecars import how_built, restart_as_built
from bench.spread import show, spread
from sidecar.clock import Clock
from sidecar.discovery.endpoint_list import EndpointList, parse_endpoint_list
from sidecar.discovery.endpoint_list_tracker import EndpointListTracker
from sidecar.upstream.upstream import Upstream
from testbed.capacity.samples import FOLDER, Sample, save

SIZES = (20, 100, 300, 750, 1_500)
GAP_US = 3_413  # between two requests at 293 a second
SETTLING = 1_000  # requests before the first that counts
ROUNDS = 15
REQUESTS = 2_000  # of a round
FIRST_PORT = 20_000
_COLD_US = 3_600_000_000  # so that the cold stay so while they are measured
BEGAN_US = 1_800_000_000_000_000  # by the clock of the decisions, long after the servers of a list started


@dataclass(frozen=True)
class Setting:
    """What else than the length of the list may make a request dearer."""

    zones: int = 5
    cross_zone: float = 0.0  # the price of a call to another zone
    answer_us: int = 20_000  # 6 requests in flight; at five times that 29
    cold: float = 0.0  # part of the servers that have just started, and stay cold


CASES = {
    "warm": Setting(),
    "deep": Setting(answer_us=100_000),
    "one zone": Setting(zones=1),
    "priced": Setting(cross_zone=0.01),
    "one zone, priced": Setting(zones=1, cross_zone=0.01),
    "half cold": Setting(cold=0.5),
}


class Player:
    """One balancer and everybody round it: requests at a steady pace, answers with some jitter."""

    def __init__(self, servers: int, setting: Setting, seed: int) -> None:
        wire = {
            **SETTINGS,
            "zone": "z0",
            "prices": {"crossZone": setting.cross_zone},
            "guarantees": {"coldUs": _COLD_US},
        }
        self._balancer = Balancer(settings_from_wire(wire), seed)
        self._random = random.Random(seed)
        self._answer_us = setting.answer_us
        self._now = BEGAN_US
        self._number = 0
        self.refused = 0
        self._due: list[tuple[int, int, str]] = []  # at, request, server; or at, 0, a timer's token
        known = listed(range(FIRST_PORT, FIRST_PORT + servers), setting.zones)
        for each in known["servers"][: round(servers * setting.cold)]:
            each["started_ms"] = BEGAN_US // 1_000
        listing = parse_endpoint_list(known)
        self._take(self._balancer.handle(self._now, listing.event(EndpointListKind.CACHED)))
        self._take(self._balancer.handle(self._now + 1, listing.event()))

    def play(self, requests: int) -> None:
        for _ in range(requests):
            self._now += GAP_US
            while self._due and self._due[0][0] <= self._now:
                self._fall_due(*heapq.heappop(self._due))
            self._number += 1
            arrived = RequestArrived(self._number, "get", None, self._number, 900_000)
            self._take(self._balancer.handle(self._now, arrived))

    def _fall_due(self, at: int, request: int, what: str) -> None:
        event: Event = TimerFired(what)
        if request:
            took = self._answer_us
            event = AttemptEnded(request, 0, what, Outcome.DELIVERED, took, True)
        self._take(self._balancer.handle(at, event))

    def _take(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendAttempt):
                at = self._now + int(self._answer_us * self._random.uniform(0.8, 1.2))
                heapq.heappush(self._due, (at, action.request, action.server))
            elif isinstance(action, SetTimer):
                heapq.heappush(self._due, (self._now + action.delay_us, 0, action.token))
            elif isinstance(action, Reject | Fail):
                self.refused += 1


def decide_us(servers: int, setting: Setting, rounds: int, requests: int) -> list[float]:
    """Time a request, by round; what this harness does itself is in it.  None may be refused."""
    out = []
    for number in range(rounds):
        player = Player(servers, setting, seed=number + 1)
        player.play(SETTLING)
        began = time.perf_counter()
        player.play(requests)
        out.append((time.perf_counter() - began) / requests * 1e6)
        if player.refused:
            raise RuntimeError(f"{player.refused} requests were refused: {servers} servers, {setting}")
    return out


def decide(sizes: tuple[int, ...] = SIZES, rounds: int = ROUNDS, requests: int = REQUESTS) -> list[Sample]:
    out = []
    for case, setting in CASES.items():
        for size in sizes:
            out += spread("decide.us", size, decide_us(size, setting, rounds, requests), "us", case)
    return out


# ---------------------------------------------------------------------------------------------------
# Whole lists


def timed(work: Callable[[], object]) -> float:
    began = time.perf_counter()
    work()
    return (time.perf_counter() - began) * 1e6


def take_list(body: bytes) -> dict[str, float]:
    """Read a whole list and take it over where an equal one was held, as the sidecar does; us by stage."""
    given = json.loads(body)
    held = parse_endpoint_list(given)
    tracker = EndpointListTracker(held)
    pool = Upstream(Clock(), Limits(), 64, lambda: None)
    pool.update_endpoints(held)
    balancer = Balancer(settings_from_wire({**SETTINGS, "zone": "z0"}), 1)
    balancer.handle(0, held.event(EndpointListKind.CACHED))
    found: list[EndpointList] = []
    event: list[EndpointListReceived] = []
    begun = tracker.begin_poll()
    stages: dict[str, Callable[[], object]] = {
        "json": lambda: json.loads(body),
        "parse": lambda: found.append(parse_endpoint_list(given)),
        "admit": lambda: tracker.accept(found[0], begun, held.version),
        "pool": lambda: pool.update_endpoints(found[0]),
        "event": lambda: event.append(found[0].event()),
        "decisions": lambda: balancer.handle(1, event[0]),
    }
    out = {name: timed(work) for name, work in stages.items()}
    return {**out, "whole": sum(out.values())}


def lists(sizes: tuple[int, ...] = SIZES, rounds: int = 25) -> list[Sample]:
    out = []
    for size in sizes:
        body = json.dumps(listed(range(FIRST_PORT, FIRST_PORT + size))).encode()
        out.append(Sample("list.bytes", size, len(body), "B"))
        take_list(body)
        found = [take_list(body) for _ in range(rounds)]
        for stage in found[0]:
            values = [each[stage] for each in found]
            out += spread("list.parse_us", size, values, "us", stage)
    return out


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m bench.decide", description=__doc__)
    parser.add_argument("what", choices=("decide", "list"))
    parser.add_argument("--rounds", type=int, default=15)
    parser.add_argument("--out", type=Path, default=FOLDER, help="folder for the data (default: %(default)s)")
    arguments = parser.parse_args()
    restart_as_built("bench.decide")
    found = decide(rounds=arguments.rounds) if arguments.what == "decide" else lists(rounds=arguments.rounds)
    notes = f"A shared machine, where others ran meanwhile; decisions {how_built()}."
    command = f"python -m bench.decide {arguments.what} --rounds {arguments.rounds}"
    show(found)
    print(save(f"path-{arguments.what}", command, found, notes=notes, folder=arguments.out))


if __name__ == "__main__":
    main()
