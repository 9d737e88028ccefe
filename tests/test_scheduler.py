"""The queue of deadlines and the timer for the earliest one."""

from __future__ import annotations

from balancer.scheduler import DeadlineKind, Scheduler


def test_deadlines_are_due_in_order_of_time_then_of_scheduling() -> None:
    scheduler = Scheduler()
    scheduler.schedule_response(30, request_id=1)
    scheduler.schedule_attempt(10, request_id=2, attempt_index=0)
    scheduler.schedule_poll(10)
    due = [scheduler.pop_due(30) for _ in range(4)]
    kinds = [deadline.kind for deadline in due if deadline is not None]
    assert kinds == [DeadlineKind.ATTEMPT, DeadlineKind.POLL, DeadlineKind.RESPONSE] and due[3] is None


def test_deadline_is_not_popped_before_its_time() -> None:
    scheduler = Scheduler()
    scheduler.schedule_poll(10)
    assert scheduler.pop_due(9) is None and scheduler.pop_due(10) is not None


def test_timer_is_replaced_only_for_an_earlier_deadline() -> None:
    scheduler = Scheduler()
    scheduler.schedule_poll(100)
    assert scheduler.timer_to_set(0) == 100
    scheduler.schedule_poll(150)
    assert scheduler.timer_to_set(10) is None
    scheduler.schedule_poll(50)
    assert scheduler.timer_to_set(10) == 40


def test_timer_is_set_again_after_it_fired() -> None:
    scheduler = Scheduler()
    scheduler.schedule_poll(100)
    scheduler.timer_to_set(0)
    scheduler.record_timer(99)  # an older timer, since replaced
    assert scheduler.timer_to_set(99) is None
    scheduler.record_timer(100)
    assert scheduler.timer_to_set(100) == 0


def test_dropped_deadline_is_not_next() -> None:
    scheduler = Scheduler()
    scheduler.schedule_poll(1)
    scheduler.schedule_response(2, request_id=9)
    scheduler.drop_next()
    next_deadline = scheduler.next()
    assert next_deadline is not None and next_deadline.request_id == 9
