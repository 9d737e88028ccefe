"""The checker, on logs that violate each invariant by one event, and on similar logs without a violation."""

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


class RunLog:
    """Builds the events of a log, with two replicas that are ready from the start."""

    def __init__(self) -> None:
        self.events: list[log.Event] = [
            log.RunStarted(at_us=0, run=checked_run(), engine="model"),
            *(
                log.ReplicaStateChanged(at_us=0, replica=replica, incarnation=1, state="ready")
                for replica in (0, 1)
            ),
        ]
        self._attempt = 0

    def add(self, *events: log.Event) -> RunLog:
        self.events += events
        return self

    def send(
        self,
        request: int,
        at_us: int,
        service_class: int = LOOK,
        replica: int = 0,
        client_request: int | None = None,
    ) -> RunLog:
        """Add a request of a client, with a timeout of 1 s."""
        return self.add(
            log.RequestSent(
                at_us=at_us,
                request=request,
                client_request=request if client_request is None else client_request,
                replica=replica,
                service_class=service_class,
                tenant=-1,
                scheduled_at_us=at_us,
                timeout_at_us=at_us + 1 * S,
            )
        )

    def attempt(
        self,
        request: int,
        at_us: int,
        outcome: str = "served",
        server: int = 1,
        replica: int = 0,
        work_us: int = 5 * MS,
    ) -> int:
        """Add an attempt that ends at the server after 10 ms; return its number."""
        number, self._attempt = self._attempt, self._attempt + 1
        received = log.AttemptReceived(
            at_us=at_us,
            request=request,
            replica=replica,
            server=server,
            attempt=number,
            sent_at_us=at_us,
            work_us=work_us,
        )
        ended = log.AttemptEnded(at_us=at_us + 10 * MS, attempt=number, request=request, outcome=outcome)
        self.add(received, ended)
        return number

    def respond(
        self, request: int, at_us: int, status: int = 200, attempt: int = -1, *, timed_out: bool = False
    ) -> RunLog:
        """Add what the client got."""
        return self.add(
            log.ResponseReceived(
                at_us=at_us, request=request, status=status, attempt=attempt, timed_out=timed_out
            )
        )

    def serve(self, request: int, at_us: int, service_class: int = LOOK, **attempt: Any) -> RunLog:
        """Add a request that is served at once; the options are those of `attempt`."""
        self.send(request, at_us, service_class, attempt.get("replica", 0))
        number = self.attempt(request, at_us + MS, **attempt)
        return self.respond(request, at_us + 20 * MS, attempt=number)

    def deliver(
        self, at_us: int, server: int, state: str, started_at_us: int | None = None, replica: int = 0
    ) -> RunLog:
        """Add a change of the endpoint list that reaches a replica."""
        entries = [(server, state, started_at_us)]
        return self.add(
            log.EndpointListDelivered(at_us=at_us, replica=replica, version=1, is_full=False, entries=entries)
        )

    def violated(self, is_finished: bool = True) -> list[str]:
        """Return the invariants that the log violates."""
        events = [*self.events, log.RunFinished(at_us=20 * S)] if is_finished else self.events
        violations = check_invariants(log.sort_events(events)).violations
        return [violation.invariant for violation in violations]


def test_run_without_errors_violates_nothing() -> None:
    run_log = RunLog()
    for number in range(20):
        run_log.serve(number, number * 500 * MS, number % 3, replica=number % 2, server=number % 4)
    assert run_log.violated() == []
    assert check_invariants([*run_log.events, log.RunFinished(at_us=20 * S)]).label == "kept"


def _never_answered(run_log: RunLog) -> None:
    run_log.send(1, 1 * S)


def _ended_without_response(run_log: RunLog) -> None:
    run_log.send(1, 1 * S).respond(1, 2 * S, status=0)


def _late_response(run_log: RunLog) -> None:
    attempt = run_log.send(1, 1 * S).attempt(1, 1 * S + 900 * MS)
    run_log.respond(1, 2 * S + 150 * MS, attempt=attempt)


def _two_responses(run_log: RunLog) -> None:
    run_log.serve(1, 1 * S).respond(1, 1 * S + 30 * MS, status=500)


def _body_of_another_request(run_log: RunLog) -> None:
    attempt = run_log.send(1, 1 * S).attempt(2, 1 * S)
    run_log.respond(1, 1 * S + 20 * MS, attempt=attempt)


def _retry_of_non_idempotent_request(run_log: RunLog) -> None:
    run_log.send(1, 1 * S, BOOK).attempt(1, 1 * S, outcome="error")
    attempt = run_log.attempt(1, 1 * S + 50 * MS, server=2)
    run_log.respond(1, 1 * S + 80 * MS, attempt=attempt)


def _retry_in_another_cell(run_log: RunLog) -> None:
    run_log.send(1, 1 * S, AMEND).attempt(1, 1 * S, outcome="error", server=1)
    run_log.respond(1, 1 * S + 80 * MS, attempt=run_log.attempt(1, 1 * S + 50 * MS, server=2))


def _retry_after_idempotency_window(run_log: RunLog) -> None:
    run_log.send(1, 1 * S, AMEND).attempt(1, 1 * S, outcome="error", server=1)
    run_log.respond(1, 1 * S + 700 * MS, attempt=run_log.attempt(1, 1 * S + 600 * MS, server=3))


def _rejected_after_execution(run_log: RunLog) -> None:
    run_log.send(1, 1 * S, BOOK).attempt(1, 1 * S, outcome="error")
    run_log.respond(1, 1 * S + 50 * MS, status=503)


def _request_to_draining_server(run_log: RunLog) -> None:
    run_log.deliver(1 * S, 1, "leaving").serve(1, 3 * S + 100 * MS, server=1)


def _request_to_server_missing_from_full_list(run_log: RunLog) -> None:
    entries: list[tuple[int, str, int | None]] = [(number, "active", None) for number in range(4)]
    run_log.add(log.EndpointListDelivered(at_us=0, replica=0, version=1, is_full=True, entries=entries))
    run_log.add(
        log.EndpointListDelivered(at_us=1 * S, replica=0, version=2, is_full=True, entries=entries[:1])
    )
    run_log.serve(1, 4 * S, server=1)


def _slow_start_overload(run_log: RunLog) -> None:
    run_log.add(log.ServerStateChanged(at_us=5 * S, server=0, state="up")).deliver(
        5 * S, 0, "active", started_at_us=5 * S
    )
    for number in range(20):  # the limit is 3 x 0.2 x 1.5 s = 900 ms of work a window
        run_log.serve(number, 5 * S + 100 * MS + number * 10 * MS, server=0, work_us=60 * MS)


def _exit_by_itself(run_log: RunLog) -> None:
    run_log.add(log.ReplicaStateChanged(at_us=4 * S, replica=0, incarnation=1, state="ended", exit_code=1))


def _error_exit_after_sigterm(run_log: RunLog) -> None:
    run_log.add(log.ReplicaStateChanged(at_us=3 * S, replica=0, incarnation=1, state="stopping"))
    run_log.add(log.ReplicaStateChanged(at_us=4 * S, replica=0, incarnation=1, state="ended", exit_code=1))


VIOLATIONS: list[tuple[Callable[[RunLog], None], str]] = [
    (_never_answered, "lost"),
    (_ended_without_response, "lost"),
    (_two_responses, "lost"),
    (_late_response, "late"),
    (_body_of_another_request, "foreign"),
    (_retry_of_non_idempotent_request, "twice"),
    (_retry_in_another_cell, "twice"),
    (_retry_after_idempotency_window, "twice"),
    (_rejected_after_execution, "refused"),
    (_request_to_draining_server, "drained"),
    (_request_to_server_missing_from_full_list, "drained"),
    (_slow_start_overload, "cold"),
    (_exit_by_itself, "crash"),
    (_error_exit_after_sigterm, "crash"),
]


@pytest.mark.parametrize(
    ("violate", "invariant"), VIOLATIONS, ids=lambda value: getattr(value, "__name__", value)
)
def test_each_violation_is_reported_once(violate: Callable[[RunLog], None], invariant: str) -> None:
    run_log = RunLog()
    violate(run_log)
    assert run_log.violated() == [invariant]


def _replica_killed_meanwhile(run_log: RunLog) -> None:
    run_log.send(1, 1 * S).respond(1, 1 * S + 500 * MS, status=0)
    run_log.add(log.ReplicaStateChanged(at_us=1 * S + 499 * MS, replica=0, incarnation=1, state="killed"))


def _replica_paused_meanwhile(run_log: RunLog) -> None:
    run_log.send(1, 1 * S).respond(1, 3 * S, status=0, timed_out=True)
    run_log.add(log.ReplicaStateChanged(at_us=500 * MS, replica=0, incarnation=1, state="paused"))
    run_log.add(log.ReplicaStateChanged(at_us=10 * S, replica=0, incarnation=1, state="resumed"))


def _sent_long_after_sigterm(run_log: RunLog) -> None:
    run_log.add(log.ReplicaStateChanged(at_us=1 * S, replica=0, incarnation=1, state="stopping"))
    run_log.send(1, 1 * S + 900 * MS).respond(1, 2 * S, status=0)
    run_log.add(log.ReplicaStateChanged(at_us=2 * S, replica=0, incarnation=1, state="ended", exit_code=0))


def _retry_after_full(run_log: RunLog) -> None:
    run_log.send(1, 1 * S, BOOK).attempt(1, 1 * S, outcome="full")
    run_log.respond(1, 1 * S + 80 * MS, attempt=run_log.attempt(1, 1 * S + 50 * MS, server=2))


def _retry_in_the_same_cell_in_time(run_log: RunLog) -> None:
    run_log.send(1, 1 * S, AMEND).attempt(1, 1 * S, outcome="error", server=1)
    run_log.respond(1, 1 * S + 80 * MS, attempt=run_log.attempt(1, 1 * S + 50 * MS, server=3))


def _request_within_drain_grace(run_log: RunLog) -> None:
    run_log.deliver(1 * S, 1, "leaving").serve(1, 2 * S + 900 * MS, server=1)


def _request_to_server_active_again(run_log: RunLog) -> None:
    run_log.deliver(1 * S, 1, "leaving").deliver(2 * S, 1, "active").serve(1, 6 * S, server=1)


def _only_another_replica_notified(run_log: RunLog) -> None:
    run_log.deliver(1 * S, 1, "leaving", replica=1).serve(1, 6 * S, server=1)


def _overload_without_notification(run_log: RunLog) -> None:
    _slow_start_overload(run_log)
    run_log.events = [event for event in run_log.events if not isinstance(event, log.EndpointListDelivered)]


def _load_after_slow_start(run_log: RunLog) -> None:
    run_log.add(log.ServerStateChanged(at_us=2 * S, server=0, state="up")).deliver(
        2 * S, 0, "active", started_at_us=2 * S
    )
    for number in range(20):
        run_log.serve(number, 13 * S + number * 10 * MS, server=0, work_us=60 * MS)


@pytest.mark.parametrize(
    "allow",
    [
        _replica_killed_meanwhile,
        _replica_paused_meanwhile,
        _sent_long_after_sigterm,
        _retry_after_full,
        _retry_in_the_same_cell_in_time,
        _request_within_drain_grace,
        _request_to_server_active_again,
        _only_another_replica_notified,
        _overload_without_notification,
        _load_after_slow_start,
    ],
    ids=lambda allow: allow.__name__,
)
def test_allowed_behaviour_is_no_violation(allow: Callable[[RunLog], None]) -> None:
    run_log = RunLog()
    allow(run_log)
    assert run_log.violated() == []


def test_incomplete_log_is_not_checked_beyond_its_end() -> None:
    run_log = RunLog().send(1, 1 * S)
    assert run_log.violated(is_finished=False) == []
    assert check_invariants(run_log.events).label == "cut off"


def test_run_with_a_late_writer_is_not_scored() -> None:
    late = [log.WriterLate(at_us=second * S, writer="load 0", late_us=200 * MS) for second in range(4)]
    verdict = check_invariants([*RunLog().events, *late, log.RunFinished(at_us=20 * S)])
    assert verdict.label == "unfair" and "load 0 was late in 4 of 20 s" in verdict.unscored_reasons[0]


def test_account_counts_value_by_class_and_second() -> None:
    run_log = RunLog().serve(1, 1 * S, LOOK).serve(2, 2 * S, BOOK)
    run_log.send(3, 3 * S, BOOK).respond(3, 3 * S + MS, status=503)
    late = run_log.send(4, 4 * S, LOOK).attempt(4, 4 * S)
    run_log.respond(4, 4 * S + 500 * MS, attempt=late)
    account = compute_account([*run_log.events, log.RunFinished(at_us=20 * S)])
    assert account.client_requests == 4
    assert account.by_class == {"look": pytest.approx(0.6), "book": pytest.approx(0.5), "amend": 1.0}
    assert account.served_fraction == pytest.approx((1 + 3 + 0.2) / 8)
    assert account.by_second[1:5] == [1.0, 1.0, 0.0, pytest.approx(0.2)]
    assert account.rejected_fraction == pytest.approx(0.25) and account.failed_fraction == 0


def test_client_retry_belongs_to_its_client_request() -> None:
    run_log = RunLog().send(1, 1 * S).respond(1, 1 * S + 10 * MS, status=503)
    retry = run_log.send(2, 1 * S + 100 * MS, client_request=1).attempt(2, 1 * S + 110 * MS)
    run_log.respond(2, 1 * S + 130 * MS, attempt=retry)
    account = compute_account([*run_log.events, log.RunFinished(at_us=20 * S)])
    assert (account.client_requests, account.served_fraction) == (1, 1.0)


def test_recovery_time_starts_at_the_end_of_the_fault() -> None:
    run_log = RunLog()
    for second in range(20):
        if 3 <= second < 8:
            run_log.send(second, second * S).respond(second, second * S + MS, status=503)
        else:
            run_log.serve(second, second * S)
    account = compute_account([*run_log.events, log.RunFinished(at_us=20 * S)])
    assert account.recovery_s == [(0, "crash", 3.0)]


def test_parts_are_merged_by_time_without_an_incomplete_line(tmp_path: Path) -> None:
    first, second = tmp_path / "part-a.jsonl", tmp_path / "part-b.jsonl"
    with log.EventLogWriter(first) as writer:
        writer.write(log.RunStarted(at_us=0, run=checked_run(), engine="model"))
        writer.write(log.WriterLate(at_us=30, writer="x", late_us=1))
    with log.EventLogWriter(second) as writer:
        writer.write(log.WriterLate(at_us=20, writer="y", late_us=1))
    with second.open("ab") as file:
        file.write(b'{"is":"late","at":4')
    merged = log.merge_parts(tmp_path)
    assert [event.at_us for event in log.load(merged)] == [0, 20, 30]
    assert log.load(tmp_path) == log.load(merged)
    assert list(tmp_path.iterdir()) == [merged]


def test_line_that_is_no_event_is_named_in_the_error(tmp_path: Path) -> None:
    path = tmp_path / "log.jsonl"
    path.write_text('{"is":"late","at":4,"who":"x","by":1}\nnonsense\n{"is":"finished","at":9}\n')
    with pytest.raises(log.EventLogError, match="line 2"):
        log.load(path)
