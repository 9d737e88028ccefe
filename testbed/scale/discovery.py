"""Discovery of a scale run: the stand-in of the ground behind one address for all, with its calls counted."""

from __future__ import annotations

import os
import time
from pathlib import Path

from testbed import events as log
from testbed.clock import DayClock
from testbed.emulator.discovery import StandInDiscovery
from testbed.emulator.switch import Gate
from testbed.links import Links
from testbed.scenario.scenario_run import DISCOVERY, ScenarioRun
from testbed.streams import seeded


class _Counting(log.EventLogWriter):
    """TrafficCounters what discovery writes of its calls, and keeps nothing else."""

    def __init__(self) -> None:
        super().__init__(Path(os.devnull))
        self.calls = self.failed = self.lines = 0

    def write(self, event: log.Event) -> None:
        if isinstance(event, log.DiscoveryPolled):
            self.calls += 1
            self.failed += not event.succeeded
        elif isinstance(event, log.EndpointListDelivered):
            self.lines += len(event.entries)


class Discovery:
    """Answers one call after another; may be away for a while."""

    def __init__(self, day: ScenarioRun) -> None:
        clock = DayClock(time.monotonic_ns())
        # Nobody dials servers without requests: any addresses will do.
        addresses = [[f"127.0.0.1:{1 + each.number % 60_000}" for each in day.servers]]
        self._counting = _Counting()
        stand_in = StandInDiscovery(day, clock, self._counting, addresses, seeded(day.seed, DISCOVERY))
        links = Links(day)
        copy = day.replicas[0].party
        self._gate = Gate(
            clock,
            0,
            stand_in,
            links.between(copy, DISCOVERY),
            links.between(DISCOVERY, copy),
            seeded(day.seed, "discovery.0"),
        )
        self.address = self._gate.bind("127.0.0.1")

    def start(self) -> None:
        """Start to accept connections."""
        self._gate.start()

    def down(self) -> None:
        """Its process ends: connections are reset and new ones refused."""
        self._gate.down()

    def up(self) -> None:
        """Accept connections again after an outage."""
        self._gate.up()

    @property
    def counts(self) -> tuple[int, int, int]:
        """Calls, those of them that failed, and lines of lists, since the start."""
        return self._counting.calls, self._counting.failed, self._counting.lines

    def close(self) -> None:
        """Close the listener and stop counting."""
        self._gate.close()
        self._counting.close()
