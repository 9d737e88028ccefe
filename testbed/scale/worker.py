"""A process of hollow members: `python -m testbed.scale.worker`, told what to do on its standard input.

Each line in is an `Order`, the first with a `Share`; each is answered by one `Reply`.  It ends when its input
does, so that nothing outlives the run.
"""

from __future__ import annotations

import asyncio
import gc
import json
import random
import resource
import socket
import sys
import time
from pathlib import Path
from typing import Any

import msgspec
import uvloop

from sidecar.cluster.local_member import incarnation_at
from sidecar.cluster.membership import Membership
from sidecar.cluster.message import MemberState
from sidecar.configuration import load
from sidecar.configuration_reload import ConfigurationReloader
from testbed.scale.event_loop_lag import EventLoopLag
from testbed.scale.simulated_member import (
    DisseminationTimer,
    SimulatedMember,
    SimulatedNetwork,
    TrafficCounters,
    discard_log_event,
)
from testbed.streams import lines_of_input


class Share(msgspec.Struct, frozen=True):
    """What one process holds."""

    worker: int
    seed: int
    real: int  # members below this number are processes of their own
    configurations: dict[int, dict[str, Any]]  # of each hollow member, without `peers`
    folder: str  # for their files


class Order(msgspec.Struct, frozen=True):
    """What is to be done."""

    do: str
    members: list[int] = []  # all that it concerns, also those of others
    amount: float = 0.0
    peers: list[str] = []  # of `introduce`: every member's address


class Reply(msgspec.Struct):
    """What came of an order; each order fills what it is about."""

    ports: dict[int, int] = {}
    digests: list[int] = []  # of `look`: the tables' that differ, two at the most
    unsettled: int = 0  # members suspected or unknown, summed over all that look
    gone: list[int] = []  # believed dead or left, by one of them
    waits: int = 0  # members that still wait for what is watched
    took_s: dict[int, float] = {}  # and since when those that don't have had it, from the watch's beginning
    counts: dict[int, tuple[int, int, int, int]] = {}  # datagrams and bytes sent, heard
    real: list[tuple[int, int, int, int]] = []  # likewise of real members, as far as it passed here
    wrongly_dead: list[tuple[int, int]] = []
    lag_ms: tuple[float, float] = (0.0, 0.0)  # the loop's, since it was asked last: 99th percentile, greatest
    cpu_s: float = 0.0
    memory_mb: float = 0.0


class Worker:
    """The hollow members of this process."""

    def __init__(self, share: Share) -> None:
        self._share = share
        self._ground = SimulatedNetwork(share.real, random.Random(f"hollow {share.seed} {share.worker}"))
        self._ground.on_gone = lambda by, member: self._heard("deaths", by, member)
        self._ground.on_told = lambda member: self._heard("lists", member, 0)
        self._ground.on_version = lambda member, version: self._heard("versions", member, version)
        self._counts = {number: TrafficCounters() for number in share.configurations}
        self._sockets = {number: _bound() for number in share.configurations}
        self._alive: dict[int, SimulatedMember] = {}
        self._reloaders: dict[int, ConfigurationReloader] = {}
        self._watch: DisseminationTimer | None = None
        self._watched = ""  # what the watch is for
        self.lag = EventLoopLag()

    async def carry_out(self, order: Order) -> Reply:
        """Execute one order; raise ValueError for an unknown one."""
        match order.do:
            case "bind":
                return Reply(ports={each: own.getsockname()[1] for each, own in self._sockets.items()})
            case "introduce" | "publish" | "hang up":
                self._configure(order)
            case "start":
                await self._start(order.members)
            case "kill" | "leave" | "settle" | "cut" | "loss":
                self._change_ground(order)
            case "watch deaths" | "watch lists" | "watch versions":
                self._start_watch(order)
            case "watched":
                if self._watch is not None:
                    return Reply(waits=len(self._watch.waits), took_s=self._watch.took_s)
            case "look":
                return self._look()
            case "count":
                return self._count()
            case _:
                raise ValueError(f"no such order: {order.do}")
        return Reply()

    def _configure(self, order: Order) -> None:
        match order.do:
            case "introduce":
                for number, each in self._share.configurations.items():
                    each |= {"peers": order.peers, "peer_listen": order.peers[number]}
                    self._write(number)
            case "publish":
                for number, each in self._share.configurations.items():
                    each["version"] = int(order.amount)
                    self._write(number)
            case "hang up":
                for number in order.members:
                    if number in self._alive:
                        self._reloaders[number].reload()

    def _change_ground(self, order: Order) -> None:
        match order.do:
            case "kill":
                self._end(order.members, lambda each: each.close())
            case "leave":
                self._end(order.members, lambda each: each.leave())
            case "settle":
                for membership in self._memberships():
                    membership.mark_all_disseminated()
            case "cut":
                self._ground.border = order.members[0] if order.members else None
            case "loss":
                self._ground.loss = order.amount

    def _start_watch(self, order: Order) -> None:
        match order.do:
            case "watch deaths":
                killed, observers = set(order.members), self._alive.keys() - set(order.members)
                self._watch = DisseminationTimer(order.amount, {each: set(killed) for each in observers})
                self._watched = "deaths"
            case "watch lists":
                self._watch = DisseminationTimer(order.amount, {each: {0} for each in self._alive})
                self._watched = "lists"
            case "watch versions":
                self._watch = DisseminationTimer(
                    order.amount, {each: set(order.members) for each in self._alive}
                )
                self._watched = "versions"

    async def _start(self, members: list[int]) -> None:
        """New lives; the loop turns between two of them, so that others are heard."""
        least = incarnation_at(time.time()) - 1
        for number in members:
            self._ground.since[number] = least
            if number in self._sockets and number not in self._alive:
                environ = {"BALANCER_CONFIG": str(self._file(number))}
                config = load(environ)
                own = SimulatedMember(
                    self._ground, number, self._counts[number], self._sockets[number], config
                )
                self._alive[number] = own
                reloader = self._reloaders[number] = ConfigurationReloader(own, discard_log_event, environ)
                own.on_newer_version = reloader.reload_if_newer  # as the program does
                await own.start()
                await asyncio.sleep(0)
        gc.freeze()  # as the program does after its start

    def _end(self, members: list[int], how: Any) -> None:
        for number in members:
            self._ground.since.pop(number, None)
            own = self._alive.pop(number, None)
            if own is not None:
                how(own)
                if self._watch is not None:
                    self._watch.forget(number)

    def _heard(self, what: str, by: int, of: int) -> None:
        if self._watch is not None and self._watched == what:
            self._watch.heard(by, of)

    def _file(self, number: int) -> Path:
        return Path(self._share.folder) / f"hollow-{number}.json"

    def _write(self, number: int) -> None:
        """A member's file as a whole, in the place of the last one."""
        path = self._file(number)
        path.with_suffix(".new").write_text(json.dumps(self._share.configurations[number]))
        path.with_suffix(".new").rename(path)

    def _memberships(self) -> list[Membership]:
        own = [each.members.membership for each in self._alive.values() if each.members is not None]
        return [each for each in own if each is not None]

    def _look(self) -> Reply:
        tiers = self._memberships()
        if not tiers:
            return Reply()
        digests = {each.table.digest for each in tiers}
        sizes = [each.size() for each in tiers]
        gone = [
            number
            for number, each in enumerate(tiers[0].table.records)
            if each.update.state >= MemberState.DEAD
        ]
        unsettled = sum(each.suspected + each.unknown for each in sizes)
        return Reply(digests=list(digests)[:2], unsettled=unsettled, gone=gone)

    def _count(self) -> Reply:
        spent = resource.getrusage(resource.RUSAGE_SELF)
        return Reply(
            counts={number: _plain(each) for number, each in self._counts.items()},
            real=[_plain(each) for each in self._ground.real],
            wrongly_dead=sorted(self._ground.wrongly_dead),
            lag_ms=self.lag.taken_ms(),
            cpu_s=spent.ru_utime + spent.ru_stime,
            memory_mb=_resident_mb(),
        )

    def close(self) -> None:
        """Close all simulated members and their sockets."""
        for each in self._alive.values():
            each.close()
        for own in self._sockets.values():
            own.close()


def _bound() -> socket.socket:
    own = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    own.setblocking(False)  # noqa: FBT003 - its only form
    own.bind(("127.0.0.1", 0))
    return own


def _plain(counts: TrafficCounters) -> tuple[int, int, int, int]:
    sent, heard = counts.sent, counts.heard
    return sent.datagrams, sent.size, heard.datagrams, heard.size


def _resident_mb() -> float:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 2**20


async def main() -> None:
    """Execute the orders read from standard input, one a line, and print the replies."""
    told = await lines_of_input()
    worker = Worker(msgspec.json.decode(await told.readline(), type=Share))
    lagging = asyncio.create_task(worker.lag.watch())
    try:
        while line := await told.readline():
            reply = await worker.carry_out(msgspec.json.decode(line, type=Order))
            sys.stdout.buffer.write(msgspec.json.encode(reply) + b"\n")
            sys.stdout.buffer.flush()
    finally:
        lagging.cancel()
        worker.close()


if __name__ == "__main__":
    uvloop.run(main())
