"""Membership by itself, by the tier's size: `python -m bench.member`, without sockets or timers.

Memory of one member's part (as Python's allocator counts it), and the time of one tick and of one datagram
heard.  Each event is timed by itself and the median counts, so that what else the machine does hardly does.
Everybody is known, as after a long rest; whom it asks answers at once with the same belief.
"""

from __future__ import annotations

import argparse
import gc
import json
import random
import time
import tracemalloc
from collections.abc import Iterator
from pathlib import Path

from bench.sidecars import how_built, restart_as_built
from bench.spread import show, spread
from sidecar.clock import Clock
from sidecar.cluster.actions import MembershipAction, ScheduleTick, SendDatagram
from sidecar.cluster.membership import Membership
from sidecar.cluster.message import (
    FORMAT_VERSION,
    NO_TARGET,
    MembershipUpdate,
    MemberState,
    Message,
    MessageKind,
    cluster_id,
    encode,
)
from sidecar.cluster.settings import MembershipSettings
from sidecar.cluster_membership import ClusterMembership
from sidecar.peers import Peers
from testbed.capacity.samples import FOLDER, Sample, save

SIZES = (50, 100, 200, 400, 750, 1_000)
EVENTS = 2_000  # timed, of each kind
CLUSTER = "a"
UNIX_S = 1_800_000_000.0
INCARNATION = 1_000_000
NEWS = 12  # updates that a datagram with news carries here


def member(size: int, seed: int = 1) -> Membership:
    """Member 0 as after a long rest: it knows everybody, and has nothing to tell."""
    own = Membership(0, size, CLUSTER, MembershipSettings(), random.Random(seed), 0, UNIX_S)
    own.start(0)
    for number in range(1, size):
        own.table.apply(MembershipUpdate.create(number, INCARNATION, MemberState.PRESENT, 0, number), 0)
    own.mark_all_disseminated()
    return own


def memory_mb(size: int) -> float:
    """What a member's part holds."""
    member(2)  # what is made once for all
    gc.collect()
    tracemalloc.start()
    own = member(size)
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(own.table) == size
    return held / 2**20


class Rest:
    """A member at rest and everybody else: they answer it, and ask it."""

    def __init__(self, size: int) -> None:
        self.member = member(size)
        self._now = 0
        self._wake = 0
        self._pings: list[tuple[int, int]] = []  # the last receivers and sequence numbers
        self._random = random.Random(size)

    def word(
        self,
        sender: int,
        kind: MessageKind,
        sequence_number: int,
        updates: list[MembershipUpdate],
        differs: bool = False,
    ) -> bytes:
        """A datagram of another member; where its belief differs, with a sketch of a table of nobody."""
        digest = self.member.table.digest ^ differs
        sketch = bytes(100) if differs and kind is MessageKind.PING else b""
        message = Message(
            FORMAT_VERSION,
            cluster_id(CLUSTER),
            sender,
            INCARNATION,
            kind,
            sequence_number,
            NO_TARGET,
            digest,
            0,
            sketch,
            updates,
        )
        return encode(message)

    def tick_us(self) -> float:
        """Until the next tick, and the tick; who is asked answers at once, beside the measurement."""
        self._now = max(self._now, self._wake)
        began = time.perf_counter_ns()
        actions = self.member.tick(self._now)
        took = time.perf_counter_ns() - began
        self._take(actions)
        for receiver, sequence_number in self._pings:
            payload = self.word(receiver, MessageKind.ACK, sequence_number, [])
            self._take(self.member.datagram_received(self._now, receiver, payload))
        self._pings = []
        return took / 1e3

    def heard_us(self, updates: list[MembershipUpdate], differs: bool) -> float:
        """One ping of another member."""
        sender = self._random.randrange(1, len(self.member.table))
        payload = self.word(sender, MessageKind.PING, self._random.randrange(1 << 16), updates, differs)
        began = time.perf_counter_ns()
        actions = self.member.datagram_received(self._now, sender, payload)
        took = time.perf_counter_ns() - began
        self._take(actions)
        self._pings = []
        return took / 1e3

    def _take(self, actions: list[MembershipAction]) -> None:
        for action in actions:
            if isinstance(action, ScheduleTick):
                self._wake = action.at
            elif isinstance(action, SendDatagram) and action.receiver is not None:
                asked = self._asked(action)
                if asked is not None:
                    self._pings.append((action.receiver, asked))

    def _asked(self, action: SendDatagram) -> int | None:
        """The sequence number of the pending ping, where this datagram is it."""
        own = self.member._failure_detector.pings.local
        return own.sequence_number if own is not None and own.target == action.receiver else None


def suspects(size: int, count: int, seed: int = 2) -> Iterator[MembershipUpdate]:
    """Others' word that so many are silent, as when a zone has gone."""
    for number in random.Random(seed).sample(range(2, size), count):
        yield MembershipUpdate.create(number, INCARNATION, MemberState.SUSPECTED, 0, 1)


def times(size: int, events: int = EVENTS) -> list[Sample]:
    """Ticks and datagrams at rest, with news, where views differ, and while a fifth is suspected."""
    rest = Rest(size)
    for _ in range(20):
        rest.tick_us()
    out = spread("member.tick_us", size, [rest.tick_us() for _ in range(events)], "us")
    out += spread("member.heard_us", size, [rest.heard_us([], False) for _ in range(events)], "us")
    news = [
        MembershipUpdate.create(each, INCARNATION, MemberState.PRESENT, 0, each)
        for each in range(1, min(NEWS, size))
    ]
    values = [rest.heard_us(news, False) for _ in range(events)]
    out += spread("member.heard_us", size, values, "us", "old news")
    values = [rest.heard_us([], True) for _ in range(events)]
    out += spread("member.heard_us", size, values, "us", "views differ")
    for update in suspects(size, size // 5):
        rest.heard_us([update], False)
    values = [rest.heard_us([], False) for _ in range(events)]
    out += spread("member.heard_us", size, values, "us", "a fifth suspected")
    values = [rest.tick_us() for _ in range(12)]  # few: their time is up at 45 s or later
    return out + spread("member.tick_us", size, values, "us", "a fifth suspected")


def figures(size: int, rounds: int = 50) -> list[Sample]:
    """The operators' figures of a tier in which everybody else is dead: the longest that they get."""
    peers = Peers((), None, 0, lambda _sender, _data: None)
    own = ClusterMembership(0, CLUSTER, 1, Clock(), peers, _silent, _silent)
    own.protocol = member(size)
    for number in range(1, size):
        own.protocol.table.apply(MembershipUpdate.create(number, INCARNATION, MemberState.DEAD, 0, 1), 1)
    values, body = [], b""
    for _ in range(rounds):
        began = time.perf_counter_ns()
        body = json.dumps(own.metrics()).encode()
        values.append((time.perf_counter_ns() - began) / 1e3)
    out = spread("telemetry.us", size, values, "us", "members dead")
    return [Sample("telemetry.bytes", size, len(body), "B", "members dead"), *out]


def _silent(_: object) -> None:
    """Nobody listens."""


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m bench.member", description=__doc__)
    parser.add_argument("--events", type=int, default=EVENTS)
    parser.add_argument("--out", type=Path, default=FOLDER, help="folder for the data (default: %(default)s)")
    arguments = parser.parse_args()
    restart_as_built("bench.member")
    found: list[Sample] = []
    for size in SIZES:
        found.append(Sample("member.memory", size, memory_mb(size), "MB"))
        found += [*times(size, arguments.events), *figures(size)]
    show(found)
    notes = f"A shared machine, where others ran meanwhile; each event timed alone. Decisions {how_built()}."
    command = f"python -m bench.member --events {arguments.events}"
    print(save("path-member", command, found, notes=notes, folder=arguments.out))


if __name__ == "__main__":
    main()
