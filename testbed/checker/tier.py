"""What the copies of a day believed of each other, by their own figures; and when they agreed."""

from __future__ import annotations

from dataclasses import dataclass

from testbed.checker.history import History

PRESENT, DEAD, LEFT = "p", "d", "l"
BELIEFS = {
    PRESENT: "present",
    "s": "suspected",
    "?": "unknown",
    LEFT: "left",
    DEAD: "dead",
}  # a view's letters


@dataclass(frozen=True, slots=True)
class Look:
    """What one copy believed of all members at a time: a letter each."""

    at: int
    copy: int
    view: str


@dataclass(frozen=True, slots=True)
class Agreement:
    """How the views of a day ended."""

    at: int | None  # from when on all looks of copies that lived at the end were equal; None: they never were
    last_fault: int  # when the last trouble ended
    wrongly_dead: tuple[tuple[int, int], ...]  # (by, of): at the end called dead or gone, though it lived


def looks(history: History) -> list[Look]:
    """All looks, in order of time."""
    reports = sorted(history.figures, key=lambda figures: figures.at)
    return [
        Look(figures.at, figures.copy, figures.tier["view"]) for figures in reports if "view" in figures.tier
    ]


def agreement(history: History) -> Agreement:
    """When the copies agreed for good on who is present."""
    alive = _alive_at_end(history)
    latest: dict[int, str] = {}
    at: int | None = None
    for look in looks(history):
        if look.copy not in alive:
            continue
        latest[look.copy] = look.view
        agreed = len(latest) == len(alive) and len(set(latest.values())) == 1 and _is_true(look.view, alive)
        at = (at if at is not None else look.at) if agreed else None
    wrongly_dead = [
        (by, of) for by, view in sorted(latest.items()) for of in sorted(alive) if view[of] in (DEAD, LEFT)
    ]
    ends = [max(fault.at_us, fault.until_us) for fault in history.day.troubles]
    return Agreement(at, max(ends, default=0), tuple(wrongly_dead))


def _is_true(view: str, alive: set[int]) -> bool:
    return all((letter == PRESENT) == (number in alive) for number, letter in enumerate(view))


def _alive_at_end(history: History) -> set[int]:
    """Copies with a process that got ready and neither was killed nor ended, nor is paused."""
    running = {
        life.copy
        for life in history.lives.values()
        if life.ready is not None and life.killed is None and life.ended is None
    }
    return {
        copy for copy in running if all(until < history.last_at for _, until in history.pauses.get(copy, ()))
    }
