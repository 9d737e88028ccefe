"""A process of stand-in servers: `python -m testbed.emulator.shard`, told what to do on its input.

First line: a `Plan` as JSON; it answers with `{server: [address for each copy]}`.  Second line: when the day
begins, by the monotonic clock in nanoseconds.  It plays until its input ends.
"""

from __future__ import annotations

import asyncio
import itertools
import sys
from pathlib import Path

import msgspec
import uvloop

from testbed import events as log
from testbed.catalog import server_state_changes
from testbed.clock import RunClock, log_lateness
from testbed.emulator.servers import StandIn
from testbed.emulator.switch import Gate
from testbed.links import Links
from testbed.scenario import ScenarioRun
from testbed.streams import open_stdin, seeded


class Plan(msgspec.Struct, frozen=True):
    """What one process of stand-ins does."""

    day: ScenarioRun
    shard: int
    shards: int
    part: str  # the file for its part of the log


def host_for(copy: int) -> str:
    """The address, of the loopback net, at which everything that one copy reaches stands."""
    return f"127.16.{copy // 250}.{copy % 250 + 1}"


class Shard:
    """The servers of one process."""

    def __init__(self, plan: Plan, clock: RunClock, writer: log.EventLogWriter) -> None:
        self._day, self._clock = plan.day, clock
        links = Links(plan.day)
        numbers = itertools.count(plan.shard, plan.shards)
        self.servers: dict[int, StandIn] = {}
        for server in plan.day.servers[plan.shard :: plan.shards]:
            rng = seeded(plan.day.seed, server.party)
            made = StandIn(server, plan.day.faults, clock, writer, lambda: next(numbers), rng)
            for copy in plan.day.replicas:
                inwards = links.between(copy.party, server.party)
                outwards = links.between(server.party, copy.party)
                made.gates.append(Gate(clock, copy.number, made, inwards, outwards, rng))
            self.servers[server.number] = made

    def bind(self) -> dict[str, list[str]]:
        """Take addresses; give those of each server, one for each copy."""
        return {
            str(number): [gate.bind(host_for(gate.copy)) for gate in server.gates]
            for number, server in self.servers.items()
        }

    def accept(self) -> None:
        """Let copies in; the day has not begun."""
        for server in self.servers.values():
            for gate in server.gates:
                gate.start()

    def begin(self) -> None:
        """Plan the day."""
        loop = asyncio.get_running_loop()
        for server in self.servers.values():
            for gate in server.gates:
                gate.plan()
        for at, number, what in server_state_changes(self._day):
            if number in self.servers:
                loop.call_later(self._clock.wait_s(at), self.servers[number].live, what)

    def close(self) -> None:
        """Close the listeners of all servers."""
        for server in self.servers.values():
            for gate in server.gates:
                gate.close()


async def main() -> None:
    """Run the shard that standard input describes, until standard input is closed."""
    told = await open_stdin()
    plan = msgspec.json.decode(await told.readline(), type=Plan)
    clock = RunClock()
    with log.EventLogWriter(Path(plan.part)) as writer:
        shard = Shard(plan, clock, writer)
        print(msgspec.json.encode(shard.bind()).decode(), flush=True)
        shard.accept()
        began = await told.readline()
        if began:
            clock.set_origin(int(began))
            shard.begin()
            watch = asyncio.create_task(log_lateness(clock, f"servers {plan.shard}", writer))
            await told.read()
            watch.cancel()
        shard.close()


if __name__ == "__main__":
    uvloop.run(main())
    sys.exit(0)
