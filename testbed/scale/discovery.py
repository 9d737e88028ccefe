"""Discovery of a scale run: the emulator's stand-in at one address for all members, with call counters."""

from __future__ import annotations

import os
import time
from pathlib import Path

from testbed import events as log
from testbed.clock import RunClock
from testbed.emulator.discovery import StandInDiscovery
from testbed.emulator.switch import Gate
from testbed.links import Links
from testbed.scenario.scenario_run import DISCOVERY, ScenarioRun
from testbed.streams import seeded


class _CallCounter(log.EventLogWriter):
    """Counts the calls that the stand-in logs, and discards its events."""

    def __init__(self) -> None:
        super().__init__(Path(os.devnull))
        self.calls = self.failed = self.entries = 0

    def write(self, event: log.Event) -> None:
        if isinstance(event, log.DiscoveryPolled):
            self.calls += 1
            self.failed += not event.succeeded
        elif isinstance(event, log.EndpointListDelivered):
            self.entries += len(event.entries)


class Discovery:
    """Answers one call after another; can be stopped and started again to simulate an outage."""

    def __init__(self, scenario_run: ScenarioRun) -> None:
        clock = RunClock(time.monotonic_ns())
        # Without client requests no sidecar connects to a server, so any address will do.
        addresses = [[f"127.0.0.1:{1 + server.number % 60_000}" for server in scenario_run.servers]]
        self._counter = _CallCounter()
        stand_in = StandInDiscovery(
            scenario_run, clock, self._counter, addresses, seeded(scenario_run.seed, DISCOVERY)
        )
        links = Links(scenario_run)
        replica = scenario_run.replicas[0].party
        self._gate = Gate(
            clock,
            0,
            stand_in,
            links.between(replica, DISCOVERY),
            links.between(DISCOVERY, replica),
            seeded(scenario_run.seed, "discovery.0"),
        )
        self.address = self._gate.bind("127.0.0.1")

    def start(self) -> None:
        """Start to accept connections."""
        self._gate.start()

    def down(self) -> None:
        """Simulate the end of its process: reset connections and refuse new ones."""
        self._gate.down()

    def up(self) -> None:
        """Accept connections again after an outage."""
        self._gate.up()

    @property
    def counts(self) -> tuple[int, int, int]:
        """The numbers of calls, of failed calls and of entries in the lists sent, since the start."""
        return self._counter.calls, self._counter.failed, self._counter.entries

    def close(self) -> None:
        """Close the listener and stop counting."""
        self._gate.close()
        self._counter.close()
