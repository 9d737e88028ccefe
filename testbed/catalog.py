"""What discovery knows and from when: a function of the day alone, so that every process agrees on it."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass

from testbed.scenario.day import Day

ACTIVE, LEAVING, LEFT = "active", "leaving", "left"


@dataclass(frozen=True, slots=True)
class Change:
    """One entry as it is from `at` on."""

    at: int
    server: int
    state: str
    started: int | None  # of its last life; None: it ran from the beginning


def server_lives(day: Day) -> list[tuple[int, int, str]]:
    """(time, server, what) for each true change: down, up, draining, gone."""
    out = []
    for each in day.troubles:
        for party in each.who:
            server = int(party.partition(":")[2]) if party.startswith("server:") else -1
            if each.kind == "crash":
                out.append((each.at_us, server, "down"))
                if each.until_us > each.at_us:
                    out.append((each.until_us, server, "up"))
            elif each.kind == "drain":
                out.append((each.at_us, server, "draining"))
                if each.until_us > each.at_us:
                    out.append((each.until_us, server, "gone"))
    return sorted(out)


class Catalog:
    """The list of servers by version; version 1 is the list at the day's beginning."""

    def __init__(self, day: Day) -> None:
        self._servers = [each.number for each in day.servers]
        self.changes = sorted(self._told(day), key=lambda each: each.at)

    @staticmethod
    def _told(day: Day) -> list[Change]:
        states = {"down": LEFT, "up": ACTIVE, "draining": LEAVING, "gone": LEFT}
        later = [each for each in day.troubles if each.kind == "discovery_late"]
        out = []
        for at, server, what in server_lives(day):
            told = at + day.discovery.late_us
            told += sum(round(each.amount * 1e3) for each in later if each.at_us <= at < each.until_us)
            out.append(Change(told, server, states[what], at if what == "up" else None))
        return out

    def version(self, now: int) -> int:
        """The newest that can be told."""
        return 1 + bisect_right(self.changes, now, key=lambda each: each.at)

    def next_change(self, now: int) -> int | None:
        """When there will be a newer one."""
        place = bisect_right(self.changes, now, key=lambda each: each.at)
        return self.changes[place].at if place < len(self.changes) else None

    def whole(self, version: int) -> list[Change]:
        """Everybody who is not gone, at a version."""
        entries = {number: Change(0, number, ACTIVE, None) for number in self._servers}
        for each in self.changes[: version - 1]:
            entries[each.server] = each
        return [each for each in entries.values() if each.state != LEFT]

    def since(self, old: int, new: int) -> list[Change]:
        """The entries that changed between two versions, each as it is at the newer one."""
        return list({each.server: each for each in self.changes[max(old, 1) - 1 : new - 1]}.values())
