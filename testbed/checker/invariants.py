"""The invariants of the platform, checked against the history of a run.

A check never relies on the clocks of two writers of the log agreeing to better than `_CLOCK_TOLERANCE_US`.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from testbed.checker.history import Attempt, History, Request, build_history
from testbed.events import EndpointListDelivered, Event
from testbed.scenario.scenario_run import US_PER_S, Server
from testbed.scenario.settings import (
    ACCEPT_AFTER_SIGTERM_US,
    DRAIN_GRACE_US,
    OVERLOAD_MULTIPLE,
    OVERLOAD_WINDOW_US,
    RESPONSE_SLACK_US,
)

_SOCKET_TOLERANCE_US = 50_000  # added to every time limit, for the delays of real sockets
_CLOCK_TOLERANCE_US = 100_000  # how much two writers of a log may differ on the time of one event
_RESUME_GRACE_US = 1_000_000  # a pause also excuses requests sent up to this long after its end
# Requests of mean work that a server in slow start may get above its limit, as arrivals are random.
_SLOW_START_TOLERANCE_REQUESTS = 5.0
_MAX_LATENESS_US = 50_000  # events of a writer that is later than this are distorted
_MAX_LATE_FRACTION = 0.02  # of the seconds of a run; with more late seconds the run is not scored
_REJECTED = (429, 503)
_FOREVER_US = 1 << 62


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of an invariant."""

    invariant: str  # lost, late, twice, refused, foreign, drained, cold, crash
    at_us: int  # since the start of the run
    text: str


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result of checking a run."""

    violations: tuple[Violation, ...]
    is_complete: bool  # the log goes to the end of the run
    # Why the run does not count for or against the program: a writer of the log was late itself.
    unscored_reasons: tuple[str, ...]

    @property
    def holds(self) -> bool:
        """Whether no invariant was violated."""
        return not self.violations

    @property
    def label(self) -> str:
        """The verdict in a word; the first that applies of broken, cut off, unfair and kept."""
        if self.violations:
            return "broken"
        if not self.is_complete:
            return "cut off"
        return "unfair" if self.unscored_reasons else "kept"


def check_invariants(
    events: Iterable[Event] | History, slack_us: int = RESPONSE_SLACK_US + _SOCKET_TOLERANCE_US
) -> Verdict:
    """Check a run against every invariant.

    Args:
        events: The events of a log, or the history built from them.
        slack_us: How long after the client timeout a response is still in time.

    Raises:
        EventLogError: The events do not begin with a run.
    """
    history = events if isinstance(events, History) else build_history(events)
    violations: list[Violation] = []
    for number, request in history.requests.items():
        violations += _missing_or_late_responses(history, number, request, slack_us)
        violations += _forbidden_retries(history, number, request)
    violations += _requests_to_draining_servers(history)
    violations += _slow_start_overloads(history)
    violations += _unexpected_exits(history)
    violations.sort(key=lambda violation: violation.at_us)
    return Verdict(tuple(violations), history.is_complete, tuple(_late_writers(history)))


# Each request gets exactly one final response, in time.


def _missing_or_late_responses(
    history: History, number: int, request: Request, slack_us: int
) -> Iterator[Violation]:
    sent, response = request.sent, request.response
    if sent is None:
        return
    name = f"request {number:x} of replica {sent.replica}"
    if request.response_count > 1:
        yield Violation("lost", sent.at_us, f"{name} got {request.response_count} responses")
    if response is None or response.status == 0:
        at_us = response.at_us if response is not None else sent.timeout_at_us + slack_us
        if at_us <= history.last_at_us and not _is_excused(history, request, at_us):
            problem = (
                "was never answered" if response is None or response.timed_out else "ended without a response"
            )
            timeout_s = sent.timeout_at_us / US_PER_S
            yield Violation("lost", at_us, f"{name} {problem} (client timeout at {timeout_s:.3f} s)")
    elif response.at_us > sent.timeout_at_us + slack_us and not _is_excused(history, request, response.at_us):
        late_ms = (response.at_us - sent.timeout_at_us) / 1e3
        yield Violation(
            "late", response.at_us, f"{name} was answered {late_ms:.0f} ms after the client timeout"
        )
    elif response.status == 200 and response.attempt not in {
        attempt.received.attempt for attempt in request.attempts
    }:
        yield Violation("foreign", response.at_us, f"{name} got a response that no server wrote for it")


def _is_excused(history: History, request: Request, at_us: int) -> bool:
    """Return whether its replica could not respond by a time: it was killed, paused or about to end."""
    sent = request.sent
    assert sent is not None
    for process in history.incarnations.values():
        if process.replica != sent.replica:
            continue
        is_killed = (
            process.killed_at_us is not None
            and sent.at_us - _CLOCK_TOLERANCE_US <= process.killed_at_us <= at_us + _CLOCK_TOLERANCE_US
        )
        if is_killed and (
            process.stopping_at_us is None or sent.at_us > process.stopping_at_us + ACCEPT_AFTER_SIGTERM_US
        ):
            return True
        if (
            process.stopping_at_us is not None
            and process.ended_at_us is not None
            and process.stopping_at_us + ACCEPT_AFTER_SIGTERM_US
            < sent.at_us
            <= process.ended_at_us + _CLOCK_TOLERANCE_US
        ):
            return True
    return any(
        start_us - _CLOCK_TOLERANCE_US <= sent.timeout_at_us and sent.at_us <= end_us + _RESUME_GRACE_US
        for start_us, end_us in history.pauses.get(sent.replica, ())
    )


# A request that may have been executed is neither sent again nor rejected, unless its class allows it.


def _forbidden_retries(history: History, number: int, request: Request) -> Iterator[Violation]:
    if request.sent is None or not request.attempts:
        return
    service_class = history.run.classes[request.sent.service_class]
    executed = request.may_have_executed()
    if service_class.idempotency == "read_like" or not executed:
        return
    name = f"request {number:x} ({service_class.name})"
    first = executed[0]
    for retry in request.attempts[request.attempts.index(first) + 1 :]:
        elapsed_us = retry.received.sent_at_us - first.received.sent_at_us
        if service_class.idempotency == "non_idempotent":
            problem = "was sent again although it may have been executed"
        elif not _are_in_one_scope(history.run.servers, service_class.idempotency_scope, first, retry):
            problem = f"was sent again outside its {service_class.idempotency_scope}"
        elif elapsed_us > service_class.idempotency_window_us + _SOCKET_TOLERANCE_US:
            problem = "was sent again after its idempotency window"
        else:
            continue
        servers = f"server {first.received.server}, then {retry.received.server}"
        yield Violation("twice", retry.received.sent_at_us, f"{name} {problem}: {servers}")
    response = request.response
    is_rejected = response is not None and response.status in _REJECTED
    if (
        response is not None
        and is_rejected
        and (service_class.idempotency == "non_idempotent" or service_class.idempotency_scope != "all")
    ):
        yield Violation("refused", response.at_us, f"{name} was rejected although it may have been executed")


def _are_in_one_scope(servers: tuple[Server, ...], scope: str, first: Attempt, second: Attempt) -> bool:
    """Return whether the servers of two attempts belong to one idempotency scope."""
    first_server, second_server = servers[first.received.server], servers[second.received.server]
    if scope == "all":
        return True
    if scope == "zone":
        return first_server.zone == second_server.zone
    return first_server.cell == second_server.cell


# A replica sends no new requests to a server after the notification that the server drains or has left.


def _requests_to_draining_servers(history: History) -> Iterator[Violation]:
    intervals = {replica: _draining_intervals(lists) for replica, lists in history.delivered_lists.items()}
    grace_us = DRAIN_GRACE_US + _SOCKET_TOLERANCE_US
    for number, request in history.requests.items():
        for attempt in request.attempts:
            replica, server = attempt.received.replica, attempt.received.server
            sent_at_us = attempt.received.sent_at_us
            for start_us, end_us in intervals.get(replica, {}).get(server, ()):
                if start_us + grace_us < sent_at_us < end_us:
                    late_ms = (sent_at_us - start_us) / 1e3
                    text = (
                        f"request {number:x} was sent to server {server} {late_ms:.0f} ms"
                        f" after replica {replica} was notified that it leaves"
                    )
                    yield Violation("drained", sent_at_us, text)


def _draining_intervals(lists: list[EndpointListDelivered]) -> dict[int, list[tuple[int, int]]]:
    """Return by server when it was leaving or gone, according to the lists that one replica received."""
    draining_since: dict[int, int] = {}
    known: set[int] = set()
    intervals: dict[int, list[tuple[int, int]]] = {}

    def record(server: int, at_us: int, *, is_draining: bool) -> None:
        if is_draining:
            draining_since.setdefault(server, at_us)
        elif server in draining_since:
            intervals.setdefault(server, []).append((draining_since.pop(server), at_us))

    for update in lists:
        for server, state, _ in update.entries:
            record(server, update.at_us, is_draining=state != "active")
        listed = {server for server, _, _ in update.entries}
        if update.is_full:
            for server in known - listed:
                record(server, update.at_us, is_draining=True)
        known |= listed
    for server, since_us in draining_since.items():
        intervals.setdefault(server, []).append((since_us, _FOREVER_US))
    return intervals


# All replicas together do not overload a server in slow start.


def _slow_start_overloads(history: History) -> Iterator[Violation]:
    by_server: dict[int, list[Attempt]] = {}
    for request in history.requests.values():
        for attempt in request.attempts:
            by_server.setdefault(attempt.received.server, []).append(attempt)
    for server, starts in history.server_starts.items():
        attempts = sorted(by_server.get(server, []), key=lambda attempt: attempt.received.at_us)
        for start_us in starts:
            yield from _overload_after_start(history, history.run.servers[server], start_us, attempts)


def _overload_after_start(
    history: History, server: Server, start_us: int, attempts: list[Attempt]
) -> Iterator[Violation]:
    """Compare the work received within each window with what the server could do; report the first excess.

    An excess counts only if at least two thirds of the work came from replicas notified of the start.
    """
    mean_work_us = sum(
        service_class.share * service_class.mean_work_us for service_class in history.run.classes
    )
    window: list[Attempt] = []
    for attempt in attempts:
        at_us = attempt.received.at_us
        if not start_us <= at_us < start_us + server.slow_start_us:
            continue
        window = [earlier for earlier in window if earlier.received.at_us > at_us - OVERLOAD_WINDOW_US] + [
            attempt
        ]
        capacity = (
            server.slow_start_initial_capacity
            + (1 - server.slow_start_initial_capacity) * (at_us - start_us) / server.slow_start_us
        )
        limit_us = (
            OVERLOAD_MULTIPLE * capacity * server.slots * server.speed * OVERLOAD_WINDOW_US
            + _SLOW_START_TOLERANCE_REQUESTS * mean_work_us
        )
        work_us = sum(earlier.received.work_us for earlier in window)
        if work_us <= limit_us:
            continue
        notified_work_us = sum(
            earlier.received.work_us
            for earlier in window
            if _was_notified(history, earlier, server.number, start_us)
        )
        if notified_work_us * 3 >= work_us * 2:
            text = (
                f"server {server.number}, {(at_us - start_us) / US_PER_S:.2f} s after its start,"
                f" got {work_us / 1e3:.0f} ms of work within {OVERLOAD_WINDOW_US / US_PER_S:g} s;"
                f" its limit is {limit_us / 1e3:.0f} ms"
            )
            yield Violation("cold", at_us, text)
            return


def _was_notified(history: History, attempt: Attempt, server: int, start_us: int) -> bool:
    """Return whether the replica had been notified of a server's start when it sent an attempt."""
    return any(
        update.at_us <= attempt.received.sent_at_us
        and any(
            listed == server and started_at_us is not None and started_at_us >= start_us
            for listed, _, started_at_us in update.entries
        )
        for update in history.delivered_lists.get(attempt.received.replica, ())
    )


# No replica process exits by itself, or with an error after SIGTERM.


def _unexpected_exits(history: History) -> Iterator[Violation]:
    for process in history.incarnations.values():
        if process.ended_at_us is None or process.killed_at_us is not None:
            continue
        name = f"replica {process.replica}, incarnation {process.incarnation},"
        if process.stopping_at_us is None:
            yield Violation(
                "crash", process.ended_at_us, f"{name} exited by itself with code {process.exit_code}"
            )
        elif process.exit_code != 0:
            yield Violation(
                "crash", process.ended_at_us, f"{name} exited with code {process.exit_code} after SIGTERM"
            )


# The test bed itself was not late.


def _late_writers(history: History) -> Iterator[str]:
    """Describe each writer that was late in too many seconds of the run."""
    seconds = max(history.run.duration_us / US_PER_S, 1.0)
    by_writer: dict[str, dict[int, int]] = {}
    for delay in history.writer_delays:
        if delay.late_us > _MAX_LATENESS_US:
            worst_by_second = by_writer.setdefault(delay.writer, {})
            second = delay.at_us // US_PER_S
            worst_by_second[second] = max(worst_by_second.get(second, 0), delay.late_us)
    for writer, worst_by_second in sorted(by_writer.items()):
        if len(worst_by_second) > seconds * _MAX_LATE_FRACTION:
            max_ms = max(worst_by_second.values()) / 1e3
            yield (
                f"{writer} was late in {len(worst_by_second)} of {seconds:.0f} s, by up to {max_ms:.0f} ms"
            )
