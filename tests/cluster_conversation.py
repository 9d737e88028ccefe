"""A conversation of a small cluster, played once from a seed and recorded as two of its members heard it.

`python tests/cluster_conversation.py` writes `tests/data/samples/conversation-*.json` anew.  That is for a
new version of the datagrams only: sidecars of the version before have to understand each recorded byte.
"""

from __future__ import annotations

import heapq
import itertools
import json
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

from cluster_vocabulary import Event, Output, Process

MS = 1_000
S = 1_000_000
SIZE = 5
UNIX_S = 1_780_000_000.0
END_US = 115 * S
LACKS_FILE_US = range(40 * S, 103 * S)  # while member 3's file lacks what the others' have
RECORDED = Path(__file__).parent / "data" / "samples"
LASTING, REPLACED = 0, 3  # members whose part is recorded: one all the time, one killed and started again


class Recorder:
    """A process with the record of its events and of what came of each."""

    def __init__(self, number: int, seed: int, now: int, version: int) -> None:
        unix_s = UNIX_S + now / S
        self.number = number
        self.started = {"me": number, "size": SIZE, "seed": seed, "now": now, "unix_s": unix_s}
        self.started["version"] = version
        self.process = Process(number, SIZE, seed, now, unix_s, version)
        self.is_alive = True
        self.paused_until = 0
        self.wakes: dict[str, int] = {}
        self.events: list[list[Any]] = []

    def play(self, now: int, event: Event) -> list[Output]:
        outputs = self.process.play(now, event)
        self.events.append([now, event, outputs])
        return outputs

    def record(self, now: int) -> dict[str, Any]:
        belief, dropped = self.process.belief(now), self.process.dropped()
        return {**self.started, "events": self.events, "end": now, "belief": belief, "dropped": dropped}


class Cluster:
    """Members and the network between them, in virtual time."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._now = 0
        self._agenda: list[tuple[int, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._is_cut = False  # members 0 and 1 are apart from the rest
        self.processes: dict[int, Recorder] = {}

    def at(self, due: int, callback: Callable[[], None]) -> None:
        heapq.heappush(self._agenda, (due, next(self._order), callback))

    def run(self, until: int) -> None:
        while self._agenda and self._agenda[0][0] <= until:
            self._now, _, callback = heapq.heappop(self._agenda)
            callback()
        self._now = until

    # What happens to members

    def start(self, number: int, version: int) -> None:
        process = Recorder(number, self._rng.getrandbits(32), self._now, version)
        self.processes[number] = process
        self.tell(process, ["start"])

    def replace(self, number: int, version: int, overlap_us: int) -> None:
        """An upgrade: a second process begins, and the first ends a little later."""
        old = self.processes[number]
        self.start(number, version)
        self.at(self._now + overlap_us, lambda: self.end(old, has_successor=True))

    def end(self, process: Recorder, has_successor: bool = False) -> None:
        self.tell(process, ["leave", has_successor])
        process.is_alive = False

    def kill(self, number: int) -> Recorder:
        process = self.processes.pop(number)
        process.is_alive = False
        return process

    def pause(self, number: int, for_us: int) -> None:
        """A process stands still: what comes meanwhile, and its timers, reach it when it goes on."""
        self.processes[number].paused_until = self._now + for_us

    def cut(self, is_cut: bool) -> None:
        self._is_cut = is_cut

    def tell(self, process: Recorder, event: Event) -> None:
        """Bring an event to a member, and carry out what comes of it."""
        if not process.is_alive:
            return
        if self._now < process.paused_until:
            self.at(process.paused_until, lambda: self.tell(process, event))
            return
        for name, *values in process.play(self._now, event):
            if name == "send":
                self._carry(process, *values)
            elif name == "wake":
                part, due = values
                process.wakes[part] = due
                self.at(due, lambda part=part, due=due: self._tick(process, part, due))  # type: ignore[misc]
            elif name == "look" and not self._lacks_file(process.number):
                self.at(self._now + 50 * MS, lambda: self.tell(process, ["in force", 2, 1_002]))

    def _lacks_file(self, number: int) -> bool:
        return number == 2 or (number == REPLACED and self._now in LACKS_FILE_US)

    def _tick(self, process: Recorder, part: str, due: int) -> None:
        if process.wakes[part] == due or self._now < process.paused_until:
            self.tell(process, ["tick", part])

    def _carry(self, process: Recorder, receiver: int | None, payload: str) -> None:
        receivers = [n for n in range(SIZE) if n != process.number] if receiver is None else [receiver]
        for number in receivers:
            is_lost = self._is_cut and (number < 2) != (process.number < 2)
            if not is_lost and self._rng.random() >= 0.02:
                due = self._now + self._rng.randrange(1 * MS, 40 * MS)
                event = ["heard", process.number, payload]
                self.at(due, lambda number=number, event=event: self._deliver(number, event))  # type: ignore[misc]

    def _deliver(self, number: int, event: Event) -> None:
        process = self.processes.get(number)
        if process is not None:
            self.tell(process, event)


def converse() -> dict[str, dict[str, Any]]:
    """Play the conversation; give the records by their names."""
    cluster = Cluster(seed=5)
    records: dict[str, dict[str, Any]] = {}
    one = cluster.processes

    def kill() -> None:
        process = cluster.kill(REPLACED)
        records["conversation-killed"] = process.record(16 * S)

    for number in range(SIZE):
        cluster.at(number * 100 * MS, lambda number=number: cluster.start(number, 1))  # type: ignore[misc]
    plan: list[tuple[int, Callable[[], None]]] = [
        (8, lambda: cluster.tell(one[1], ["in force", 2, 1_002])),
        (9, lambda: cluster.tell(one[2], ["waiting", 2])),
        (12, lambda: cluster.tell(one[0], ["worked", 200])),
        (16, kill),
        (36, lambda: cluster.tell(one[2], ["in force", 2, 1_002])),
        (40, lambda: cluster.start(REPLACED, 1)),
        (46, lambda: cluster.pause(LASTING, 4 * S)),
        (52, lambda: cluster.cut(True)),
        (68, lambda: cluster.cut(False)),
        (76, lambda: cluster.replace(1, 2, overlap_us=1 * S)),
        (104, lambda: cluster.tell(one[4], ["in force", 3, 7])),
        (105, lambda: cluster.tell(one[2], ["in force", 3, 8])),
        (108, lambda: cluster.end(one[4])),
        (110, lambda: cluster.tell(one[0], ["configure", 4])),
        (112, lambda: cluster.tell(one[0], ["heard", 2, "ffff"])),
        (113, lambda: cluster.tell(one[0], ["heard", 2, "9d02ff"])),
    ]
    for second, callback in plan:
        cluster.at(second * S, callback)
    cluster.run(END_US)
    records["conversation-lasting"] = one[LASTING].record(END_US)
    records["conversation-restarted"] = one[REPLACED].record(END_US)
    return records


def main() -> None:
    for name, record in converse().items():
        events = record.pop("events")
        head = json.dumps(record)[:-1]
        lines = ",\n".join(json.dumps(event, separators=(",", ":")) for event in events)
        (RECORDED / f"{name}.json").write_text(f'{head}, "events": [\n{lines}\n]}}\n', encoding="utf-8")


if __name__ == "__main__":
    main()
