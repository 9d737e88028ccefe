"""What lies between two parties at a time, by the day alone, so that every process agrees on it."""

from __future__ import annotations

from collections.abc import Iterable

from msgspec.structs import replace

from testbed.scenario.scenario_run import Fault, ScenarioRun

NEVER = 1 << 62
_CLOSING = ("cut", "hold")


class Link:
    """One direction, from one party to another."""

    def __init__(self, day: ScenarioRun, source: str, target: str) -> None:
        self._delay_us = day.delay_us(source, target)
        self._loss = day.network.datagram_loss
        self._troubles = [each for each in day.faults if _concerns(each, source, target)]
        self._is_plain = not self._troubles

    def _now(self, now: int) -> Iterable[Fault]:
        return (each for each in self._troubles if each.start_us <= now and now < _end(each))

    def is_cut(self, now: int) -> bool:
        """Whether nothing comes through, so that no connection can be made."""
        return any(each.kind in _CLOSING for each in self._now(now))

    def cut_intervals(self) -> list[tuple[int, int]]:
        """When it is cut, from and until."""
        return [(each.start_us, _end(each)) for each in self._troubles if each.kind in _CLOSING]

    def arrival(self, now: int) -> int:
        """When bytes of a connection arrive that leave now; NEVER where no end is in sight."""
        if self._is_plain:
            return now + self._delay_us
        at, delay_us = now, self._delay_us
        for each in self._troubles:
            if each.kind in _CLOSING and each.start_us <= at < _end(each):
                at = _end(each)
        if at >= NEVER:
            return NEVER
        for each in self._now(now):
            if each.kind == "delay":
                delay_us += round(each.amount * 1e3)
        return at + delay_us

    def datagram_arrivals(self, now: int, chances: tuple[float, float, float]) -> list[int]:
        """When a datagram arrives that leaves now: never, once or twice; `chances` are drawn from 0 to 1."""
        loss, double, late = self._loss, 0.0, 0.0
        for each in self._now(now):
            if each.kind == "cut":
                return []
            if each.kind == "loss":
                loss = max(loss, each.amount)
            elif each.kind == "double":
                double = max(double, each.amount)
            elif each.kind == "reorder":
                late = max(late, each.amount)
        at = self.arrival(now)
        if chances[0] < loss or at >= NEVER:
            return []
        if chances[2] < late:
            at += 20_000 + 4 * self._delay_us  # later than some that leave after it
        return [at, at + 1_000] if chances[1] < double else [at]

    def resets_response(self, now: int, chance: float) -> bool:
        """Whether an answer that leaves now is cut off in the middle."""
        return any(each.kind == "reset" and chance < each.amount for each in self._now(now))


def _end(trouble: Fault) -> int:
    return trouble.end_us if trouble.end_us > trouble.start_us else NEVER


def _concerns(trouble: Fault, source: str, target: str) -> bool:
    if not trouble.other_parties or source == target:
        return False
    one_way = source in trouble.parties and target in trouble.other_parties
    return one_way or (trouble.both_ways and source in trouble.other_parties and target in trouble.parties)


class Links:
    """All links of a day, made as they are asked for."""

    def __init__(self, day: ScenarioRun) -> None:
        self._day = _with_silence(day)
        self._made: dict[tuple[str, str], Link] = {}

    def between(self, source: str, target: str) -> Link:
        """The link from a source to a target, created on first use."""
        made = self._made.get((source, target))
        if made is None:
            made = self._made[source, target] = Link(self._day, source, target)
        return made


def _with_silence(day: ScenarioRun) -> ScenarioRun:
    """A machine that says nothing is cut off from everybody."""
    copies = tuple(each.party for each in day.replicas)
    changed = []
    for each in day.faults:
        if each.kind == "silent":
            each = replace(each, kind="cut", other_parties=copies, both_ways=True)
        changed.append(each)
    return replace(day, faults=tuple(changed))
