"""What the copies of a day believed of each other, by their own figures; and when they agreed."""

from __future__ import annotations

from dataclasses import dataclass

from testbed.checker.history import History

PRESENT, DEAD, LEFT = "p", "d", "l"
MEMBER_STATES = {
    PRESENT: "present",
    "s": "suspected",
    "?": "unknown",
    LEFT: "left",
    DEAD: "dead",
}  # a view's letters


@dataclass(frozen=True, slots=True)
class MembershipView:
    """What one copy believed of all members at a time: a letter each."""

    at_us: int
    replica: int
    states: str


@dataclass(frozen=True, slots=True)
class Agreement:
    """How the views of a day ended."""

    agreed_at_us: (
        int | None
    )  # from when on all looks of copies that lived at the end were equal; None: they never were
    last_fault_end_us: int  # when the last trouble ended
    wrongly_dead: tuple[tuple[int, int], ...]  # (by, of): at the end called dead or gone, though it lived


def membership_views(history: History) -> list[MembershipView]:
    """All looks, in order of time."""
    reports = sorted(history.metrics_reports, key=lambda figures: figures.at_us)
    return [
        MembershipView(figures.at_us, figures.replica, figures.membership["view"])
        for figures in reports
        if "view" in figures.membership
    ]


def agreement(history: History) -> Agreement:
    """When the copies agreed for good on who is present."""
    alive = _alive_at_end(history)
    latest: dict[int, str] = {}
    at: int | None = None
    for look in membership_views(history):
        if look.replica not in alive:
            continue
        latest[look.replica] = look.states
        agreed = len(latest) == len(alive) and len(set(latest.values())) == 1 and _is_true(look.states, alive)
        at = (at if at is not None else look.at_us) if agreed else None
    wrongly_dead = [
        (by, of) for by, view in sorted(latest.items()) for of in sorted(alive) if view[of] in (DEAD, LEFT)
    ]
    ends = [max(fault.start_us, fault.end_us) for fault in history.run.faults]
    return Agreement(at, max(ends, default=0), tuple(wrongly_dead))


def _is_true(view: str, alive: set[int]) -> bool:
    return all((letter == PRESENT) == (number in alive) for number, letter in enumerate(view))


def _alive_at_end(history: History) -> set[int]:
    """Copies with a process that got ready and neither was killed nor ended, nor is paused."""
    running = {
        life.replica
        for life in history.incarnations.values()
        if life.ready_at_us is not None and life.killed_at_us is None and life.ended_at_us is None
    }
    return {
        copy
        for copy in running
        if all(until < history.last_at_us for _, until in history.pauses.get(copy, ()))
    }
