"""A shard, a process of stand-in servers: `python -m testbed.emulator.shard`.

It reads commands from standard input.  The first line is a `Plan` as JSON; the answer is
`{server: [address for each replica]}`.  The second line is the start of the run in nanoseconds of the
monotonic clock.  The shard serves until its input is closed.
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
from testbed.emulator.servers import StandInServer
from testbed.emulator.switch import Gate
from testbed.links import Links
from testbed.scenario import ScenarioRun
from testbed.streams import open_stdin, seeded


class Plan(msgspec.Struct, frozen=True, rename={"run": "day", "part_path": "part"}):
    """The task of one shard.  Field names in JSON are those given in `rename`."""

    run: ScenarioRun
    shard: int
    shards: int
    part_path: str  # event log file of this shard


def host_for(replica: int) -> str:
    """The loopback address of all gates of one replica."""
    return f"127.16.{replica // 250}.{replica % 250 + 1}"


class Shard:
    """The stand-in servers of one process."""

    def __init__(self, plan: Plan, clock: RunClock, writer: log.EventLogWriter) -> None:
        self._run, self._clock = plan.run, clock
        links = Links(plan.run)
        attempt_numbers = itertools.count(plan.shard, plan.shards)
        self.servers: dict[int, StandInServer] = {}
        for server in plan.run.servers[plan.shard :: plan.shards]:
            rng = seeded(plan.run.seed, server.party)
            stand_in = StandInServer(
                server, plan.run.faults, clock, writer, lambda: next(attempt_numbers), rng
            )
            for replica in plan.run.replicas:
                inwards = links.between(replica.party, server.party)
                outwards = links.between(server.party, replica.party)
                stand_in.gates.append(Gate(clock, replica.number, stand_in, inwards, outwards, rng))
            self.servers[server.number] = stand_in

    def bind(self) -> dict[str, list[str]]:
        """Bind all gates; return the addresses of each server, one per replica."""
        return {
            str(number): [gate.bind(host_for(gate.replica)) for gate in server.gates]
            for number, server in self.servers.items()
        }

    def accept(self) -> None:
        """Start accepting connections, before the run starts."""
        for server in self.servers.values():
            for gate in server.gates:
                gate.start()

    def start_run(self) -> None:
        """Schedule the state changes of servers and links; called when the run starts."""
        loop = asyncio.get_running_loop()
        for server in self.servers.values():
            for gate in server.gates:
                gate.schedule_link_changes()
        for at, number, state in server_state_changes(self._run):
            if number in self.servers:
                loop.call_later(self._clock.wait_s(at), self.servers[number].change_state, state)

    def close(self) -> None:
        """Close the listeners of all servers."""
        for server in self.servers.values():
            for gate in server.gates:
                gate.close()


async def main() -> None:
    """Run the shard that standard input describes, until standard input is closed."""
    commands = await open_stdin()
    plan = msgspec.json.decode(await commands.readline(), type=Plan)
    clock = RunClock()
    with log.EventLogWriter(Path(plan.part_path)) as writer:
        shard = Shard(plan, clock, writer)
        print(msgspec.json.encode(shard.bind()).decode(), flush=True)
        shard.accept()
        start_line = await commands.readline()
        if start_line:
            clock.set_origin(int(start_line))
            shard.start_run()
            lateness_watch = asyncio.create_task(log_lateness(clock, f"servers {plan.shard}", writer))
            await commands.read()
            lateness_watch.cancel()
        shard.close()


if __name__ == "__main__":
    uvloop.run(main())
    sys.exit(0)
