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
    told = sorted(history.figures, key=lambda each: each.at)
    return [Look(each.at, each.copy, each.tier["view"]) for each in told if "view" in each.tier]


def agreement(history: History) -> Agreement:
    """When the copies agreed for good on who is present."""
    alive = _alive_at_end(history)
    latest: dict[int, str] = {}
    at: int | None = None
    for each in looks(history):
        if each.copy not in alive:
            continue
        latest[each.copy] = each.view
        agreed = len(latest) == len(alive) and len(set(latest.values())) == 1 and _is_true(each.view, alive)
        at = (at if at is not None else each.at) if agreed else None
    wrongly = [
        (by, of) for by, view in sorted(latest.items()) for of in sorted(alive) if view[of] in (DEAD, LEFT)
    ]
    ends = [max(each.at_us, each.until_us) for each in history.day.troubles]
    return Agreement(at, max(ends, default=0), tuple(wrongly))


def _is_true(view: str, alive: set[int]) -> bool:
    return all((letter == PRESENT) == (number in alive) for number, letter in enumerate(view))


def _alive_at_end(history: History) -> set[int]:
    """Copies with a process that got ready and neither was killed nor ended, nor is paused."""
    out = {
        each.copy
        for each in history.lives.values()
        if each.ready is not None and each.killed is None and each.ended is None
    }
    return {each for each in out if all(until < history.last_at for _, until in history.pauses.get(each, ()))}
