"""What the replicas of a run believed of each other, according to their metrics, and when they agreed."""

from __future__ import annotations

from dataclasses import dataclass

from testbed.checker.history import History

PRESENT, DEAD, LEFT = "p", "d", "l"
# The states of a member by the letter that stands for it in the metrics.
MEMBER_STATES = {
    PRESENT: "present",
    "s": "suspected",
    "?": "unknown",
    LEFT: "left",
    DEAD: "dead",
}


@dataclass(frozen=True, slots=True)
class MembershipView:
    """The states of all members at a time, as one replica believed them; one letter each."""

    at_us: int
    replica: int
    states: str


@dataclass(frozen=True, slots=True)
class Agreement:
    """Whether the replicas that ran at the end of a run agreed on the membership."""

    # From when on all their latest views were equal and correct; None if they were not at the end.
    agreed_at_us: int | None
    last_fault_end_us: int
    # (replica, member): at the end the replica believed that a member which ran was dead or had left.
    wrongly_dead: tuple[tuple[int, int], ...]


def membership_views(history: History) -> list[MembershipView]:
    """Return the membership views of all replicas, in order of time."""
    reports = sorted(history.metrics_reports, key=lambda report: report.at_us)
    return [
        MembershipView(report.at_us, report.replica, report.membership["view"])
        for report in reports
        if "view" in report.membership
    ]


def agreement(history: History) -> Agreement:
    """Return when the replicas agreed on the membership for good, and what they had wrong at the end."""
    running = _running_at_end(history)
    latest: dict[int, str] = {}
    agreed_at_us: int | None = None
    for view in membership_views(history):
        if view.replica not in running:
            continue
        latest[view.replica] = view.states
        have_agreed = (
            len(latest) == len(running)
            and len(set(latest.values())) == 1
            and _is_correct(view.states, running)
        )
        agreed_at_us = (agreed_at_us if agreed_at_us is not None else view.at_us) if have_agreed else None
    wrongly_dead = [
        (replica, member)
        for replica, states in sorted(latest.items())
        for member in sorted(running)
        if states[member] in (DEAD, LEFT)
    ]
    fault_ends = [max(fault.start_us, fault.end_us) for fault in history.run.faults]
    return Agreement(agreed_at_us, max(fault_ends, default=0), tuple(wrongly_dead))


def _is_correct(states: str, running: set[int]) -> bool:
    """Return whether exactly the running replicas are believed to be present."""
    return all((state == PRESENT) == (member in running) for member, state in enumerate(states))


def _running_at_end(history: History) -> set[int]:
    """Return the replicas with a process that became ready, has not exited and is not paused at the end."""
    ready = {
        process.replica
        for process in history.incarnations.values()
        if process.ready_at_us is not None and process.killed_at_us is None and process.ended_at_us is None
    }
    return {
        replica
        for replica in ready
        if all(end_us < history.last_at_us for _, end_us in history.pauses.get(replica, ()))
    }
