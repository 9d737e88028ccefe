"""A deterministic simulation of a small cluster, recorded from the view of two of its members.

`python tests/cluster_conversation.py` rewrites `tests/data/samples/conversation-*.json`.  Do so only for a
new format version of the datagrams: sidecars of the recorded release have to understand each recorded byte.
"""

from __future__ import annotations

import heapq
import itertools
import json
import random
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

from cluster_adapter import Event, Output, Process

MS = 1_000
S = 1_000_000
SIZE = 5
UNIX_S = 1_780_000_000.0
END_US = 115 * S
OUTDATED_FILE_US = range(40 * S, 103 * S)  # while the restarted member's file lacks the newest version
SAMPLES = Path(__file__).parent / "data" / "samples"
# The recorded members: one runs all the time, the other is killed and started again.
CONTINUOUS, RESTARTED = 0, 3


class Recorder:
    """A process that records its events and the outputs of each."""

    def __init__(self, number: int, seed: int, now: int, version: int) -> None:
        unix_s = UNIX_S + now / S
        self.number = number
        self.parameters = {"me": number, "size": SIZE, "seed": seed, "now": now, "unix_s": unix_s}
        self.parameters["version"] = version
        self.process = Process(number, SIZE, seed, now, unix_s, version)
        self.is_alive = True
        self.paused_until = 0
        self.next_ticks: dict[str, int] = {}  # by protocol
        self.events: list[list[Any]] = []

    def handle(self, now: int, event: Event) -> list[Output]:
        outputs = self.process.handle(now, event)
        self.events.append([now, event, outputs])
        return outputs

    def record(self, now: int) -> dict[str, Any]:
        belief, dropped = self.process.belief(now), self.process.dropped()
        return {**self.parameters, "events": self.events, "end": now, "belief": belief, "dropped": dropped}


class Cluster:
    """Members and the network between them, in virtual time."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._now = 0
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._is_partitioned = False  # whether members 0 and 1 are cut off from the others
        self.processes: dict[int, Recorder] = {}

    def at(self, due: int, callback: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (due, next(self._order), callback))

    def run(self, until: int) -> None:
        while self._queue and self._queue[0][0] <= until:
            self._now, _, callback = heapq.heappop(self._queue)
            callback()
        self._now = until

    # Start, end and pause of processes

    def start(self, number: int, version: int) -> None:
        process = Recorder(number, self._rng.getrandbits(32), self._now, version)
        self.processes[number] = process
        self.deliver(process, ["start"])

    def replace(self, number: int, version: int, overlap_us: int) -> None:
        """Upgrade a member: start a second process, and end the first one after `overlap_us`."""
        old = self.processes[number]
        self.start(number, version)
        self.at(self._now + overlap_us, lambda: self.end(old, has_successor=True))

    def end(self, process: Recorder, has_successor: bool = False) -> None:
        self.deliver(process, ["leave", has_successor])
        process.is_alive = False

    def kill(self, number: int) -> Recorder:
        process = self.processes.pop(number)
        process.is_alive = False
        return process

    def pause(self, number: int, for_us: int) -> None:
        """Pause a process: datagrams and ticks are delivered when it resumes."""
        self.processes[number].paused_until = self._now + for_us

    def set_partitioned(self, is_partitioned: bool) -> None:
        self._is_partitioned = is_partitioned

    # Events and datagrams

    def deliver(self, process: Recorder, event: Event) -> None:
        """Deliver an event to a process and carry out its outputs."""
        if not process.is_alive:
            return
        if self._now < process.paused_until:
            self.at(process.paused_until, lambda: self.deliver(process, event))
            return
        for name, *values in process.handle(self._now, event):
            if name == "send":
                self._send(process, *values)
            elif name == "wake":
                protocol, due = values
                process.next_ticks[protocol] = due
                self.at(due, partial(self._tick, process, protocol, due))
            elif name == "look" and not self._has_outdated_file(process.number):
                self.at(self._now + 50 * MS, lambda: self.deliver(process, ["in force", 2, 1_002]))

    def _has_outdated_file(self, number: int) -> bool:
        """Return whether a read finds no newer version; member 2 applies its file only by the schedule."""
        return number == 2 or (number == RESTARTED and self._now in OUTDATED_FILE_US)

    def _tick(self, process: Recorder, protocol: str, due: int) -> None:
        if process.next_ticks[protocol] == due or self._now < process.paused_until:
            self.deliver(process, ["tick", protocol])

    def _send(self, process: Recorder, receiver: int | None, payload: str) -> None:
        receivers = [n for n in range(SIZE) if n != process.number] if receiver is None else [receiver]
        for number in receivers:
            is_lost = self._is_partitioned and (number < 2) != (process.number < 2)
            if not is_lost and self._rng.random() >= 0.02:
                due = self._now + self._rng.randrange(1 * MS, 40 * MS)
                event = ["heard", process.number, payload]
                self.at(due, partial(self._deliver_to, number, event))

    def _deliver_to(self, number: int, event: Event) -> None:
        process = self.processes.get(number)
        if process is not None:
            self.deliver(process, event)


def record_conversation() -> dict[str, dict[str, Any]]:
    """Run the simulation; return the records by the names of their files."""
    cluster = Cluster(seed=5)
    records: dict[str, dict[str, Any]] = {}
    processes = cluster.processes

    def kill() -> None:
        process = cluster.kill(RESTARTED)
        records["conversation-killed"] = process.record(16 * S)

    for number in range(SIZE):
        cluster.at(number * 100 * MS, partial(cluster.start, number, 1))
    schedule: list[tuple[int, Callable[[], None]]] = [
        (8, lambda: cluster.deliver(processes[1], ["in force", 2, 1_002])),
        (9, lambda: cluster.deliver(processes[2], ["waiting", 2])),
        (12, lambda: cluster.deliver(processes[0], ["worked", 200])),
        (16, kill),
        (36, lambda: cluster.deliver(processes[2], ["in force", 2, 1_002])),
        (40, lambda: cluster.start(RESTARTED, 1)),
        (46, lambda: cluster.pause(CONTINUOUS, 4 * S)),
        (52, lambda: cluster.set_partitioned(True)),
        (68, lambda: cluster.set_partitioned(False)),
        (76, lambda: cluster.replace(1, 2, overlap_us=1 * S)),
        (104, lambda: cluster.deliver(processes[4], ["in force", 3, 7])),
        (105, lambda: cluster.deliver(processes[2], ["in force", 3, 8])),
        (108, lambda: cluster.end(processes[4])),
        (110, lambda: cluster.deliver(processes[0], ["configure", 4])),
        (112, lambda: cluster.deliver(processes[0], ["heard", 2, "ffff"])),
        (113, lambda: cluster.deliver(processes[0], ["heard", 2, "9d02ff"])),
    ]
    for second, callback in schedule:
        cluster.at(second * S, callback)
    cluster.run(END_US)
    records["conversation-lasting"] = processes[CONTINUOUS].record(END_US)
    records["conversation-restarted"] = processes[RESTARTED].record(END_US)
    return records


def main() -> None:
    for name, record in record_conversation().items():
        events = record.pop("events")
        head = json.dumps(record)[:-1]
        lines = ",\n".join(json.dumps(event, separators=(",", ":")) for event in events)
        (SAMPLES / f"{name}.json").write_text(f'{head}, "events": [\n{lines}\n]}}\n', encoding="utf-8")


if __name__ == "__main__":
    main()
