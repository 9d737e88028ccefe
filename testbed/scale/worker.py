"""A worker process with simulated members: `python -m testbed.scale.worker`.

It reads JSON lines from its standard input: first a `Share`, then an `Order` a line, and answers each order
with one `Reply` on its standard output.  It ends at the end of its input, so that no worker outlives the run.
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
from collections.abc import Callable
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
from testbed.streams import open_stdin


class Share(msgspec.Struct, frozen=True):
    """The members that one worker simulates, and their configurations."""

    worker: int
    seed: int
    real: int  # members below this number are processes of their own
    configurations: dict[int, dict[str, Any]]  # by simulated member, without `peers`
    folder: str  # for the configuration files


class Order(msgspec.Struct, frozen=True):
    """One command to a worker."""

    do: str
    members: list[int] = []  # all members concerned, those of other workers included; see `Worker.execute`
    amount: float = 0.0
    peers: list[str] = []  # of `introduce`: every member's address


class Reply(msgspec.Struct):
    """The result of an order; fields that do not belong to the order keep their defaults."""

    ports: dict[int, int] = {}
    digests: list[int] = []  # of `look`: distinct digests of member tables, two at the most
    unsettled: int = 0  # suspected and unknown members, summed over all tables
    gone: list[int] = []  # members that the first table holds as dead or left
    waits: int = 0  # members that have not yet learned what the current timer waits for
    took_s: dict[int, float] = {}  # by member that has: seconds since the start of the timer
    counts: dict[int, tuple[int, int, int, int]] = {}  # datagrams and bytes sent, then received
    real: list[tuple[int, int, int, int]] = []  # likewise of real members, exchanged with this worker
    wrongly_dead: list[tuple[int, int]] = []
    lag_ms: tuple[float, float] = (0.0, 0.0)  # event loop lag since the last count: 99th percentile, maximum
    cpu_s: float = 0.0
    memory_mb: float = 0.0


class Worker:
    """The simulated members of this process."""

    def __init__(self, share: Share) -> None:
        self._share = share
        self._network = SimulatedNetwork(share.real, random.Random(f"hollow {share.seed} {share.worker}"))
        self._network.on_member_ended = lambda observer, member: self._learned("deaths", observer, member)
        self._network.on_endpoint_list = lambda member: self._learned("lists", member, 0)
        self._network.on_version = lambda member, version: self._learned("versions", member, version)
        self._traffic = {number: TrafficCounters() for number in share.configurations}
        self._sockets = {number: _bound_socket() for number in share.configurations}
        self._running: dict[int, SimulatedMember] = {}
        self._reloaders: dict[int, ConfigurationReloader] = {}
        self._timer: DisseminationTimer | None = None
        self._timed = ""  # what the timer waits for: "deaths", "lists" or "versions"
        self.lag = EventLoopLag()

    async def execute(self, order: Order) -> Reply:
        """Execute one order; raise ValueError for an unknown one."""
        match order.do:
            case "bind":
                return Reply(
                    ports={number: bound.getsockname()[1] for number, bound in self._sockets.items()}
                )
            case "introduce" | "publish" | "hang up":
                self._configure(order)
            case "start":
                await self._start(order.members)
            case "kill" | "leave" | "settle" | "cut" | "loss":
                self._change_network(order)
            case "watch deaths" | "watch lists" | "watch versions":
                self._start_timer(order)
            case "watched":
                if self._timer is not None:
                    return Reply(waits=len(self._timer.pending), took_s=self._timer.elapsed_s)
            case "look":
                return self._compare_tables()
            case "count":
                return self._count()
            case _:
                raise ValueError(f"unknown order: {order.do}")
        return Reply()

    def _configure(self, order: Order) -> None:
        match order.do:
            case "introduce":
                for number, configuration in self._share.configurations.items():
                    configuration |= {"peers": order.peers, "peer_listen": order.peers[number]}
                    self._write_configuration(number)
            case "publish":
                for number, configuration in self._share.configurations.items():
                    configuration["version"] = int(order.amount)
                    self._write_configuration(number)
            case "hang up":
                for number in order.members:
                    if number in self._running:
                        self._reloaders[number].reload()

    def _change_network(self, order: Order) -> None:
        match order.do:
            case "kill":
                self._stop(order.members, lambda member: member.close())
            case "leave":
                self._stop(order.members, lambda member: member.leave())
            case "settle":
                for membership in self._memberships():
                    membership.mark_all_disseminated()
            case "cut":
                self._network.partition_border = order.members[0] if order.members else None
            case "loss":
                self._network.loss = order.amount

    def _start_timer(self, order: Order) -> None:
        match order.do:
            case "watch deaths":
                killed, observers = set(order.members), self._running.keys() - set(order.members)
                self._timer = DisseminationTimer(order.amount, {number: set(killed) for number in observers})
                self._timed = "deaths"
            case "watch lists":
                self._timer = DisseminationTimer(order.amount, {number: {0} for number in self._running})
                self._timed = "lists"
            case "watch versions":
                self._timer = DisseminationTimer(
                    order.amount, {number: set(order.members) for number in self._running}
                )
                self._timed = "versions"

    async def _start(self, members: list[int]) -> None:
        """Start new incarnations, yielding to the event loop after each, so that datagrams are received."""
        min_incarnation = incarnation_at(time.time()) - 1
        for number in members:
            self._network.min_incarnations[number] = min_incarnation
            if number in self._sockets and number not in self._running:
                environ = {"BALANCER_CONFIG": str(self._configuration_path(number))}
                configuration = load(environ)
                member = SimulatedMember(
                    self._network, number, self._traffic[number], self._sockets[number], configuration
                )
                self._running[number] = member
                reloader = ConfigurationReloader(member, discard_log_event, environ)
                self._reloaders[number] = reloader
                member.on_newer_version = reloader.reload_if_newer  # as the sidecar's own start-up does
                await member.start()
                await asyncio.sleep(0)
        gc.freeze()  # as the sidecar does after its start

    def _stop(self, members: list[int], stop: Callable[[SimulatedMember], None]) -> None:
        for number in members:
            self._network.min_incarnations.pop(number, None)
            member = self._running.pop(number, None)
            if member is not None:
                stop(member)
                if self._timer is not None:
                    self._timer.remove(number)

    def _learned(self, subject: str, observer: int, item: int) -> None:
        if self._timer is not None and self._timed == subject:
            self._timer.learned(observer, item)

    def _configuration_path(self, number: int) -> Path:
        return Path(self._share.folder) / f"hollow-{number}.json"

    def _write_configuration(self, number: int) -> None:
        """Replace a member's configuration file atomically."""
        path = self._configuration_path(number)
        path.with_suffix(".new").write_text(json.dumps(self._share.configurations[number]))
        path.with_suffix(".new").rename(path)

    def _memberships(self) -> list[Membership]:
        memberships = [
            member.members.membership for member in self._running.values() if member.members is not None
        ]
        return [membership for membership in memberships if membership is not None]

    def _compare_tables(self) -> Reply:
        memberships = self._memberships()
        if not memberships:
            return Reply()
        digests = {membership.table.digest for membership in memberships}
        sizes = [membership.size() for membership in memberships]
        gone = [
            number
            for number, record in enumerate(memberships[0].table.records)
            if record.update.state >= MemberState.DEAD
        ]
        unsettled = sum(size.suspected + size.unknown for size in sizes)
        return Reply(digests=list(digests)[:2], unsettled=unsettled, gone=gone)

    def _count(self) -> Reply:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return Reply(
            counts={number: _counter_values(traffic) for number, traffic in self._traffic.items()},
            real=[_counter_values(traffic) for traffic in self._network.real],
            wrongly_dead=sorted(self._network.wrongly_dead),
            lag_ms=self.lag.take_ms(),
            cpu_s=usage.ru_utime + usage.ru_stime,
            memory_mb=_resident_mb(),
        )

    def close(self) -> None:
        """Close all simulated members and their sockets."""
        for member in self._running.values():
            member.close()
        for bound in self._sockets.values():
            bound.close()


def _bound_socket() -> socket.socket:
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setblocking(False)  # noqa: FBT003 - the method takes no keyword
    bound.bind(("127.0.0.1", 0))
    return bound


def _counter_values(traffic: TrafficCounters) -> tuple[int, int, int, int]:
    sent, received = traffic.sent, traffic.received
    return sent.datagrams, sent.size, received.datagrams, received.size


def _resident_mb() -> float:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 2**20


async def main() -> None:
    """Execute the orders read from standard input, one a line, and print the replies."""
    lines = await open_stdin()
    worker = Worker(msgspec.json.decode(await lines.readline(), type=Share))
    lag_task = asyncio.create_task(worker.lag.measure())
    try:
        while line := await lines.readline():
            reply = await worker.execute(msgspec.json.decode(line, type=Order))
            sys.stdout.buffer.write(msgspec.json.encode(reply) + b"\n")
            sys.stdout.buffer.flush()
    finally:
        lag_task.cancel()
        worker.close()


if __name__ == "__main__":
    uvloop.run(main())
