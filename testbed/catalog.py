"""The endpoint list that discovery has at each time of a run.

It follows from the run alone, so that all processes that play the run agree on it.
"""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass

from testbed.scenario.scenario_run import ScenarioRun

ACTIVE, LEAVING, LEFT = "active", "leaving", "left"
_STATE_AFTER = {"down": LEFT, "up": ACTIVE, "draining": LEAVING, "gone": LEFT}


@dataclass(frozen=True, slots=True)
class EntryChange:
    """The entry of one server from a time on."""

    at_us: int
    server: int
    state: str
    started_at_us: int | None  # start of its current process; None: it has run since the start of the run


def server_state_changes(run: ScenarioRun) -> list[tuple[int, int, str]]:
    """Return (time, server, state) of each change of a server: down, up, draining or gone."""
    changes = []
    for fault in run.faults:
        for party in fault.parties:
            server = int(party.partition(":")[2]) if party.startswith("server:") else -1
            if fault.kind == "crash":
                changes.append((fault.start_us, server, "down"))
                if fault.end_us > fault.start_us:
                    changes.append((fault.end_us, server, "up"))
            elif fault.kind == "drain":
                changes.append((fault.start_us, server, "draining"))
                if fault.end_us > fault.start_us:
                    changes.append((fault.end_us, server, "gone"))
    return sorted(changes)


class EndpointCatalog:
    """The endpoint list by version; version 1 is the list at the start of the run."""

    def __init__(self, run: ScenarioRun) -> None:
        self._servers = [server.number for server in run.servers]
        self.changes = sorted(self._changes(run), key=lambda change: change.at_us)

    @staticmethod
    def _changes(run: ScenarioRun) -> list[EntryChange]:
        """Return the change of the list that follows each change of a server, after its delay."""
        delays = [fault for fault in run.faults if fault.kind == "discovery_late"]
        changes = []
        for changed_at_us, server, state in server_state_changes(run):
            listed_at_us = changed_at_us + run.discovery.notification_delay_us
            listed_at_us += sum(
                round(fault.amount * 1e3)
                for fault in delays
                if fault.start_us <= changed_at_us < fault.end_us
            )
            started_at_us = changed_at_us if state == "up" else None
            changes.append(EntryChange(listed_at_us, server, _STATE_AFTER[state], started_at_us))
        return changes

    def version_at(self, now: int) -> int:
        """Return the newest version at a time."""
        return 1 + bisect_right(self.changes, now, key=lambda change: change.at_us)

    def next_change_at(self, now: int) -> int | None:
        """Return when the next version appears; None if there is none."""
        place = bisect_right(self.changes, now, key=lambda change: change.at_us)
        return self.changes[place].at_us if place < len(self.changes) else None

    def full_list(self, version: int) -> list[EntryChange]:
        """Return the entries of all servers that have not left, at a version."""
        entries = {number: EntryChange(0, number, ACTIVE, None) for number in self._servers}
        for change in self.changes[: version - 1]:
            entries[change.server] = change
        return [entry for entry in entries.values() if entry.state != LEFT]

    def changes_between(self, old: int, new: int) -> list[EntryChange]:
        """Return the entries that changed between two versions, each as it is at the newer one."""
        changes = self.changes[max(old, 1) - 1 : new - 1]
        return list({change.server: change for change in changes}.values())
