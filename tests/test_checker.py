"""The judge, on logs that break each rule by one event, and on the same logs without it."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from testbed import events as log
from testbed.checker import check_invariants, compute_account
from testbed.scenario import ScenarioRun, draw_run
from testbed.scenario.read import parse_scenario

SCENARIO = """
name = "judged"
seconds = 20
[[classes]]
name = "look"
deadline_ms = 1000
aim_ms = 250
[[classes]]
name = "book"
repeat = "non_idempotent"
worth = 3
deadline_ms = 1000
aim_ms = 250
[[classes]]
name = "amend"
repeat = "idempotency_key"
memory_ms = 500
deadline_ms = 1000
aim_ms = 250
[[servers]]
count = 4
slots = 1
cells = 2
cold_from = 0.2
cold_s = 10
[sidecars]
count = 2
[clients]
rate_per_s = 10
[[troubles]]
kind = "crash"
at_s = 3
for_s = 2
who = ["server:0"]
"""
MS = 1_000
S = 1_000_000
LOOK, BOOK, AMEND = 0, 1, 2


def checked_run() -> ScenarioRun:
    return draw_run(parse_scenario(SCENARIO, "judged"), 1)


class Played:
    """A log under construction."""

    def __init__(self) -> None:
        self.events: list[log.Event] = [
            log.RunStarted(at_us=0, run=checked_run(), engine="model"),
            *(
                log.ReplicaStateChanged(at_us=0, replica=copy, incarnation=1, state="ready")
                for copy in (0, 1)
            ),
        ]
        self._attempt = 0

    def add(self, *events: log.Event) -> Played:
        self.events += events
        return self

    def taken(
        self, request: int, at: int, kind: int = LOOK, copy: int = 0, first: int | None = None
    ) -> Played:
        return self.add(
            log.RequestSent(
                at_us=at,
                request=request,
                client_request=request if first is None else first,
                replica=copy,
                service_class=kind,
                tenant=-1,
                scheduled_at_us=at,
                timeout_at_us=at + 1 * S,
            )
        )

    def attempt(
        self, request: int, at: int, how: str = "served", server: int = 1, copy: int = 0, work: int = 5 * MS
    ) -> int:
        number, self._attempt = self._attempt, self._attempt + 1
        arrived = log.AttemptReceived(
            at_us=at,
            request=request,
            replica=copy,
            server=server,
            attempt=number,
            sent_at_us=at,
            work_us=work,
        )
        self.add(arrived, log.AttemptEnded(at_us=at + 10 * MS, attempt=number, request=request, outcome=how))
        return number

    def answered(self, request: int, at: int, status: int = 200, attempt: int = -1, **more: Any) -> Played:
        return self.add(
            log.ResponseReceived(at_us=at, request=request, status=status, attempt=attempt, **more)
        )

    def served(self, request: int, at: int, kind: int = LOOK, **how: Any) -> Played:
        self.taken(request, at, kind, how.get("copy", 0))
        attempt = self.attempt(request, at + MS, **how)
        return self.answered(request, at + 20 * MS, attempt=attempt)

    def told(self, at: int, server: int, state: str, started: int | None = None, copy: int = 0) -> Played:
        line = (server, state, started)
        return self.add(
            log.EndpointListDelivered(at_us=at, replica=copy, version=1, is_full=False, entries=[line])
        )

    def rules(self, finished: bool = True) -> list[str]:
        whole = [*self.events, log.RunFinished(at_us=20 * S)] if finished else self.events
        return [each.invariant for each in check_invariants(log.sort_events(whole)).violations]


def test_a_day_in_order_breaks_nothing() -> None:
    day = Played()
    for number in range(20):
        day.served(number, number * 500 * MS, number % 3, copy=number % 2, server=number % 4)
    assert day.rules() == []
    assert check_invariants([*day.events, log.RunFinished(at_us=20 * S)]).label == "kept"


def _never(day: Played) -> None:
    day.taken(1, 1 * S)


def _cut_short(day: Played) -> None:
    day.taken(1, 1 * S).answered(1, 2 * S, status=0)


def _late(day: Played) -> None:
    attempt = day.taken(1, 1 * S).attempt(1, 1 * S + 900 * MS)
    day.answered(1, 2 * S + 150 * MS, attempt=attempt)


def _two_answers(day: Played) -> None:
    day.served(1, 1 * S).answered(1, 1 * S + 30 * MS, status=500)


def _foreign(day: Played) -> None:
    attempt = day.taken(1, 1 * S).attempt(2, 1 * S)
    day.answered(1, 1 * S + 20 * MS, attempt=attempt)


def _twice(day: Played) -> None:
    day.taken(1, 1 * S, BOOK).attempt(1, 1 * S, how="error")
    attempt = day.attempt(1, 1 * S + 50 * MS, server=2)
    day.answered(1, 1 * S + 80 * MS, attempt=attempt)


def _other_cell(day: Played) -> None:
    day.taken(1, 1 * S, AMEND).attempt(1, 1 * S, how="error", server=1)
    day.answered(1, 1 * S + 80 * MS, attempt=day.attempt(1, 1 * S + 50 * MS, server=2))


def _forgotten(day: Played) -> None:
    day.taken(1, 1 * S, AMEND).attempt(1, 1 * S, how="error", server=1)
    day.answered(1, 1 * S + 700 * MS, attempt=day.attempt(1, 1 * S + 600 * MS, server=3))


def _refused(day: Played) -> None:
    day.taken(1, 1 * S, BOOK).attempt(1, 1 * S, how="error")
    day.answered(1, 1 * S + 50 * MS, status=503)


def _drained(day: Played) -> None:
    day.told(1 * S, 1, "leaving").served(1, 3 * S + 100 * MS, server=1)


def _left_out_of_a_whole_list(day: Played) -> None:
    lines: list[tuple[int, str, int | None]] = [(number, "active", None) for number in range(4)]
    day.add(log.EndpointListDelivered(at_us=0, replica=0, version=1, is_full=True, entries=lines))
    day.add(log.EndpointListDelivered(at_us=1 * S, replica=0, version=2, is_full=True, entries=lines[:1]))
    day.served(1, 4 * S, server=1)


def _cold(day: Played) -> None:
    day.add(log.ServerStateChanged(at_us=5 * S, server=0, state="up")).told(5 * S, 0, "active", started=5 * S)
    for number in range(20):  # 3 x 0.2 x 1.5 s bear 900 ms of work a window
        day.served(number, 5 * S + 100 * MS + number * 10 * MS, server=0, work=60 * MS)


def _crash(day: Played) -> None:
    day.add(log.ReplicaStateChanged(at_us=4 * S, replica=0, incarnation=1, state="ended", exit_code=1))


def _bad_end(day: Played) -> None:
    day.add(log.ReplicaStateChanged(at_us=3 * S, replica=0, incarnation=1, state="stopping"))
    day.add(log.ReplicaStateChanged(at_us=4 * S, replica=0, incarnation=1, state="ended", exit_code=1))


BROKEN: list[tuple[Callable[[Played], None], str]] = [
    (_never, "lost"),
    (_cut_short, "lost"),
    (_two_answers, "lost"),
    (_late, "late"),
    (_foreign, "foreign"),
    (_twice, "twice"),
    (_other_cell, "twice"),
    (_forgotten, "twice"),
    (_refused, "refused"),
    (_drained, "drained"),
    (_left_out_of_a_whole_list, "drained"),
    (_cold, "cold"),
    (_crash, "crash"),
    (_bad_end, "crash"),
]


@pytest.mark.parametrize(("breaks", "rule"), BROKEN, ids=lambda each: getattr(each, "__name__", each))
def test_one_breach_is_one_breach(breaks: Callable[[Played], None], rule: str) -> None:
    day = Played()
    breaks(day)
    assert day.rules() == [rule]


def _killed_meanwhile(day: Played) -> None:
    day.taken(1, 1 * S).answered(1, 1 * S + 500 * MS, status=0)
    day.add(log.ReplicaStateChanged(at_us=1 * S + 499 * MS, replica=0, incarnation=1, state="killed"))


def _paused_meanwhile(day: Played) -> None:
    day.taken(1, 1 * S).answered(1, 3 * S, status=0, timed_out=True)
    day.add(log.ReplicaStateChanged(at_us=500 * MS, replica=0, incarnation=1, state="paused"))
    day.add(log.ReplicaStateChanged(at_us=10 * S, replica=0, incarnation=1, state="resumed"))


def _came_too_late_for_the_end(day: Played) -> None:
    day.add(log.ReplicaStateChanged(at_us=1 * S, replica=0, incarnation=1, state="stopping"))
    day.taken(1, 1 * S + 900 * MS).answered(1, 2 * S, status=0)
    day.add(log.ReplicaStateChanged(at_us=2 * S, replica=0, incarnation=1, state="ended", exit_code=0))


def _full_then_served(day: Played) -> None:
    day.taken(1, 1 * S, BOOK).attempt(1, 1 * S, how="full")
    day.answered(1, 1 * S + 80 * MS, attempt=day.attempt(1, 1 * S + 50 * MS, server=2))


def _same_cell_in_time(day: Played) -> None:
    day.taken(1, 1 * S, AMEND).attempt(1, 1 * S, how="error", server=1)
    day.answered(1, 1 * S + 80 * MS, attempt=day.attempt(1, 1 * S + 50 * MS, server=3))


def _within_the_grace(day: Played) -> None:
    day.told(1 * S, 1, "leaving").served(1, 2 * S + 900 * MS, server=1)


def _active_again(day: Played) -> None:
    day.told(1 * S, 1, "leaving").told(2 * S, 1, "active").served(1, 6 * S, server=1)


def _told_another_copy(day: Played) -> None:
    day.told(1 * S, 1, "leaving", copy=1).served(1, 6 * S, server=1)


def _cold_unknown(day: Played) -> None:
    _cold(day)
    day.events = [each for each in day.events if not isinstance(each, log.EndpointListDelivered)]


def _cold_no_more(day: Played) -> None:
    day.add(log.ServerStateChanged(at_us=2 * S, server=0, state="up")).told(2 * S, 0, "active", started=2 * S)
    for number in range(20):
        day.served(number, 13 * S + number * 10 * MS, server=0, work=60 * MS)


@pytest.mark.parametrize(
    "allowed",
    [
        _killed_meanwhile,
        _paused_meanwhile,
        _came_too_late_for_the_end,
        _full_then_served,
        _same_cell_in_time,
        _within_the_grace,
        _active_again,
        _told_another_copy,
        _cold_unknown,
        _cold_no_more,
    ],
    ids=lambda each: each.__name__,
)
def test_what_no_rule_forbids_is_no_breach(allowed: Callable[[Played], None]) -> None:
    day = Played()
    allowed(day)
    assert day.rules() == []


def test_a_log_that_was_cut_off_holds_nobody_to_what_it_does_not_show() -> None:
    day = Played().taken(1, 1 * S)
    assert day.rules(finished=False) == []
    assert check_invariants(day.events).label == "cut off"


def test_a_ground_that_was_late_itself_is_not_scored() -> None:
    late = [log.WriterLate(at_us=second * S, writer="load 0", late_us=200 * MS) for second in range(4)]
    verdict = check_invariants([*Played().events, *late, log.RunFinished(at_us=20 * S)])
    assert verdict.label == "unfair" and "load 0 was late in 4 of 20 s" in verdict.unscored_reasons[0]


def test_the_account_counts_worth_by_class_and_second() -> None:
    day = Played().served(1, 1 * S, LOOK).served(2, 2 * S, BOOK)
    day.taken(3, 3 * S, BOOK).answered(3, 3 * S + MS, status=503)
    late = day.taken(4, 4 * S, LOOK).attempt(4, 4 * S)
    day.answered(4, 4 * S + 500 * MS, attempt=late)
    told = compute_account([*day.events, log.RunFinished(at_us=20 * S)])
    assert told.client_requests == 4
    assert told.by_class == {"look": pytest.approx(0.6), "book": pytest.approx(0.5), "amend": 1.0}
    assert told.served_fraction == pytest.approx((1 + 3 + 0.2) / 8)
    assert told.by_second[1:5] == [1.0, 1.0, 0.0, pytest.approx(0.2)]
    assert told.rejected_fraction == pytest.approx(0.25) and told.failed_fraction == 0


def test_a_retry_belongs_to_its_first_try() -> None:
    day = Played().taken(1, 1 * S).answered(1, 1 * S + 10 * MS, status=503)
    again = day.taken(2, 1 * S + 100 * MS, first=1).attempt(2, 1 * S + 110 * MS)
    day.answered(2, 1 * S + 130 * MS, attempt=again)
    told = compute_account([*day.events, log.RunFinished(at_us=20 * S)])
    assert (told.client_requests, told.served_fraction) == (1, 1.0)


def test_recovery_is_counted_from_the_end_of_the_trouble() -> None:
    day = Played()
    for second in range(20):
        if 3 <= second < 8:
            day.taken(second, second * S).answered(second, second * S + MS, status=503)
        else:
            day.served(second, second * S)
    told = compute_account([*day.events, log.RunFinished(at_us=20 * S)])
    assert told.recovery_s == [(0, "crash", 3.0)]


def test_parts_are_put_together_by_time_and_a_torn_line_is_left_out(tmp_path: Path) -> None:
    first, second = tmp_path / "part-a.jsonl", tmp_path / "part-b.jsonl"
    with log.EventLogWriter(first) as writer:
        writer.write(log.RunStarted(at_us=0, run=checked_run(), engine="model"))
        writer.write(log.WriterLate(at_us=30, writer="x", late_us=1))
    with log.EventLogWriter(second) as writer:
        writer.write(log.WriterLate(at_us=20, writer="y", late_us=1))
    with second.open("ab") as file:
        file.write(b'{"is":"late","at":4')
    whole = log.merge_parts(tmp_path)
    assert [each.at_us for each in log.load(whole)] == [0, 20, 30] and log.load(tmp_path) == log.load(whole)
    assert list(tmp_path.iterdir()) == [whole]


def test_a_line_that_is_no_event_is_named(tmp_path: Path) -> None:
    path = tmp_path / "log.jsonl"
    path.write_text('{"is":"late","at":4,"who":"x","by":1}\nnonsense\n{"is":"finished","at":9}\n')
    with pytest.raises(log.EventLogError, match="line 2"):
        log.load(path)
