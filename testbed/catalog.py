"""What discovery knows and from when: a function of the day alone, so that every process agrees on it."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass

from testbed.scenario.scenario_run import ScenarioRun

ACTIVE, LEAVING, LEFT = "active", "leaving", "left"


@dataclass(frozen=True, slots=True)
class EntryChange:
    """One entry as it is from `at` on."""

    at_us: int
    server: int
    state: str
    started_at_us: int | None  # of its last life; None: it ran from the beginning


def server_state_changes(day: ScenarioRun) -> list[tuple[int, int, str]]:
    """(time, server, what) for each true change: down, up, draining, gone."""
    out = []
    for each in day.faults:
        for party in each.parties:
            server = int(party.partition(":")[2]) if party.startswith("server:") else -1
            if each.kind == "crash":
                out.append((each.start_us, server, "down"))
                if each.end_us > each.start_us:
                    out.append((each.end_us, server, "up"))
            elif each.kind == "drain":
                out.append((each.start_us, server, "draining"))
                if each.end_us > each.start_us:
                    out.append((each.end_us, server, "gone"))
    return sorted(out)


class EndpointCatalog:
    """The list of servers by version; version 1 is the list at the day's beginning."""

    def __init__(self, day: ScenarioRun) -> None:
        self._servers = [each.number for each in day.servers]
        self.changes = sorted(self._changes(day), key=lambda each: each.at_us)

    @staticmethod
    def _changes(day: ScenarioRun) -> list[EntryChange]:
        states = {"down": LEFT, "up": ACTIVE, "draining": LEAVING, "gone": LEFT}
        later = [each for each in day.faults if each.kind == "discovery_late"]
        out = []
        for at, server, what in server_state_changes(day):
            told = at + day.discovery.notification_delay_us
            told += sum(round(each.amount * 1e3) for each in later if each.start_us <= at < each.end_us)
            out.append(EntryChange(told, server, states[what], at if what == "up" else None))
        return out

    def version_at(self, now: int) -> int:
        """The newest that can be told."""
        return 1 + bisect_right(self.changes, now, key=lambda each: each.at_us)

    def next_change_at(self, now: int) -> int | None:
        """When there will be a newer one."""
        place = bisect_right(self.changes, now, key=lambda each: each.at_us)
        return self.changes[place].at_us if place < len(self.changes) else None

    def full_list(self, version: int) -> list[EntryChange]:
        """Everybody who is not gone, at a version."""
        entries = {number: EntryChange(0, number, ACTIVE, None) for number in self._servers}
        for each in self.changes[: version - 1]:
            entries[each.server] = each
        return [each for each in entries.values() if each.state != LEFT]

    def changes_between(self, old: int, new: int) -> list[EntryChange]:
        """The entries that changed between two versions, each as it is at the newer one."""
        return list({each.server: each for each in self.changes[max(old, 1) - 1 : new - 1]}.values())
