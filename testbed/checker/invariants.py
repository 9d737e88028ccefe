"""The rules of the platform, each held against one day's history.

What a request's events mean never rests on two writers' clocks agreeing to better than `_WRITERS_US`.
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

_SOCKETS_US = 50_000  # every limit is so much longer on sockets
_WRITERS_US = 100_000  # how far two writers of a log may part on when something was
_RESUMED_US = 1_000_000  # and what is due up to so long after a pause
_COLD_CHANCE = 5.0  # requests of mean work that a cold server may get over its budget, by chance
_LATE_US = 50_000  # a writer later than this distorts what it writes
_LATE_PART = 0.02  # and a day with a larger part of such seconds is not scored
_REJECTED = (429, 503)


@dataclass(frozen=True, slots=True)
class Violation:
    """One rule broken once."""

    invariant: str  # lost, late, twice, refused, foreign, drained, cold, crash
    at_us: int  # microseconds from the day's start
    text: str


@dataclass(frozen=True, slots=True)
class Verdict:
    """What the rules say of a day."""

    violations: tuple[Violation, ...]
    is_complete: bool  # the log goes to the day's end
    unscored_reasons: tuple[str, ...]  # why the day says nothing of the program: the ground itself was late

    @property
    def holds(self) -> bool:
        """Whether no invariant was breached."""
        return not self.violations

    @property
    def label(self) -> str:
        """kept, broken, cut off or unfair: the first that holds from the worst on."""
        if self.violations:
            return "broken"
        if not self.is_complete:
            return "cut off"
        return "unfair" if self.unscored_reasons else "kept"


def check_invariants(
    events: Iterable[Event] | History, slack_us: int = RESPONSE_SLACK_US + _SOCKETS_US
) -> Verdict:
    """Hold a log against every rule; raise LogError where it is no log of a day.

    `slack_us` is how long after a client's patience an answer still counts.
    """
    history = events if isinstance(events, History) else build_history(events)
    breaches: list[Violation] = []
    for number, request in history.requests.items():
        breaches += _missing_or_late_responses(history, number, request, slack_us)
        breaches += _forbidden_retries(history, number, request)
    breaches += _requests_to_draining_servers(history)
    breaches += _slow_start_overloads(history)
    breaches += _unexpected_exits(history)
    breaches.sort(key=lambda breach: breach.at_us)
    return Verdict(tuple(breaches), history.is_complete, tuple(_late_writers(history)))


# One final answer a request, in time


def _missing_or_late_responses(
    history: History, number: int, request: Request, slack_us: int
) -> Iterator[Violation]:
    taken, answered = request.sent, request.response
    if taken is None:
        return
    name = f"request {number:x} of copy {taken.replica}"
    if request.response_count > 1:
        yield Violation("lost", taken.at_us, f"{name} got {request.response_count} answers")
    if answered is None or answered.status == 0:
        at = answered.at_us if answered is not None else taken.timeout_at_us + slack_us
        if at <= history.last_at_us and not _is_excused(history, request, at):
            how = (
                "was never answered" if answered is None or answered.timed_out else "ended without an answer"
            )
            yield Violation("lost", at, f"{name}, due at {taken.timeout_at_us / US_PER_S:.3f} s, {how}")
    elif answered.at_us > taken.timeout_at_us + slack_us and not _is_excused(
        history, request, answered.at_us
    ):
        late_ms = (answered.at_us - taken.timeout_at_us) / 1e3
        yield Violation("late", answered.at_us, f"{name} was answered {late_ms:.0f} ms after its time")
    elif answered.status == 200 and answered.attempt not in {
        attempt.received.attempt for attempt in request.attempts
    }:
        yield Violation("foreign", answered.at_us, f"{name} was served what no server made for it")


def _is_excused(history: History, request: Request, at: int) -> bool:
    """Whether its copy could not have answered by then: it was killed, paused, or about to end."""
    taken = request.sent
    assert taken is not None
    for life in history.incarnations.values():
        if life.replica != taken.replica:
            continue
        is_killed = (
            life.killed_at_us is not None
            and taken.at_us - _WRITERS_US <= life.killed_at_us <= at + _WRITERS_US
        )
        if is_killed and (
            life.stopping_at_us is None or taken.at_us > life.stopping_at_us + ACCEPT_AFTER_SIGTERM_US
        ):
            return True
        if (
            life.stopping_at_us is not None
            and life.ended_at_us is not None
            and life.stopping_at_us + ACCEPT_AFTER_SIGTERM_US < taken.at_us <= life.ended_at_us + _WRITERS_US
        ):
            return True
    return any(
        since - _WRITERS_US <= taken.timeout_at_us and taken.at_us <= until + _RESUMED_US
        for since, until in history.pauses.get(taken.replica, ())
    )


# Nothing that may have run is sent again, or called harmless, unless its class allows it


def _forbidden_retries(history: History, number: int, request: Request) -> Iterator[Violation]:
    if request.sent is None or not request.attempts:
        return
    kind = history.run.classes[request.sent.service_class]
    ran = request.may_have_executed()
    if kind.idempotency == "read_like" or not ran:
        return
    name = f"request {number:x} ({kind.name})"
    first = ran[0]
    for later in request.attempts[request.attempts.index(first) + 1 :]:
        if kind.idempotency == "non_idempotent":
            why = "went out again though it may have run"
        elif not _same_group(history.run.servers, kind.idempotency_scope, first, later):
            why = f"went out again outside its {kind.idempotency_scope}"
        elif later.received.sent_at_us - first.received.sent_at_us > kind.idempotency_window_us + _SOCKETS_US:
            why = "went out again after its memory ended"
        else:
            continue
        servers = f"server {first.received.server}, then {later.received.server}"
        yield Violation("twice", later.received.sent_at_us, f"{name} {why}: {servers}")
    answered = request.response
    is_rejected = answered is not None and answered.status in _REJECTED
    if (
        answered is not None
        and is_rejected
        and (kind.idempotency == "non_idempotent" or kind.idempotency_scope != "all")
    ):
        yield Violation("refused", answered.at_us, f"{name} was refused though it may have run")


def _same_group(servers: tuple[Server, ...], group: str, one: Attempt, other: Attempt) -> bool:
    first, second = servers[one.received.server], servers[other.received.server]
    if group == "all":
        return True
    return first.zone == second.zone if group == "zone" else first.cell == second.cell


# No new work to a server after word that it drains or is gone


def _requests_to_draining_servers(history: History) -> Iterator[Violation]:
    out = {copy: _draining_intervals(told) for copy, told in history.delivered_lists.items()}
    limit = DRAIN_GRACE_US + _SOCKETS_US
    for number, request in history.requests.items():
        for attempt in request.attempts:
            sent = attempt.received.sent_at_us
            for since, until in out.get(attempt.received.replica, {}).get(attempt.received.server, ()):
                if since + limit < sent < until:
                    late_ms = (sent - since) / 1e3
                    text = (
                        f"request {number:x} went to server {attempt.received.server} {late_ms:.0f} ms"
                        f" after copy {attempt.received.replica} was told that it leaves"
                    )
                    yield Violation("drained", sent, text)


def _draining_intervals(told: list[EndpointListDelivered]) -> dict[int, list[tuple[int, int]]]:
    """When each server was leaving or gone, as one copy was told."""
    since: dict[int, int] = {}
    known: set[int] = set()
    out: dict[int, list[tuple[int, int]]] = {}

    def record(server: int, at: int, *, is_draining: bool) -> None:
        if is_draining:
            since.setdefault(server, at)
        elif server in since:
            out.setdefault(server, []).append((since.pop(server), at))

    for update in told:
        for server, state, _ in update.entries:
            record(server, update.at_us, is_draining=state != "active")
        named = {server for server, _, _ in update.entries}
        if update.is_full:
            for server in known - named:
                record(server, update.at_us, is_draining=True)
        known |= named
    for server, at in since.items():
        out.setdefault(server, []).append((at, 1 << 62))
    return out


# No cold server overloaded by all copies together


def _slow_start_overloads(history: History) -> Iterator[Violation]:
    by_server: dict[int, list[Attempt]] = {}
    for request in history.requests.values():
        for attempt in request.attempts:
            by_server.setdefault(attempt.received.server, []).append(attempt)
    for server, starts in history.server_starts.items():
        arrived = sorted(by_server.get(server, ()), key=lambda attempt: attempt.received.at_us)
        for start in starts:
            yield from _overload_after_start(history, history.run.servers[server], start, arrived)


def _overload_after_start(
    history: History, server: Server, start: int, arrived: list[Attempt]
) -> Iterator[Violation]:
    """The work of each window against what the server could do; the first breach of a start is told."""
    mean = sum(kind.share * kind.mean_work_us for kind in history.run.classes)
    window: list[Attempt] = []
    for attempt in arrived:
        at = attempt.received.at_us
        if not start <= at < start + server.slow_start_us:
            continue
        window = [one for one in window if one.received.at_us > at - OVERLOAD_WINDOW_US] + [attempt]
        part = (
            server.slow_start_initial_capacity
            + (1 - server.slow_start_initial_capacity) * (at - start) / server.slow_start_us
        )
        allowed = (
            OVERLOAD_MULTIPLE * part * server.slots * server.speed * OVERLOAD_WINDOW_US + _COLD_CHANCE * mean
        )
        work = sum(one.received.work_us for one in window)
        if work <= allowed:
            continue
        told = sum(
            one.received.work_us for one in window if _was_notified(history, one, server.number, start)
        )
        if told * 3 >= work * 2:
            text = (
                f"server {server.number}, {(at - start) / US_PER_S:.2f} s after its start,"
                f" got {work / 1e3:.0f} ms of work within {OVERLOAD_WINDOW_US / US_PER_S:g} s"
                f" and bears {allowed / 1e3:.0f}"
            )
            yield Violation("cold", at, text)
            return


def _was_notified(history: History, attempt: Attempt, server: int, start: int) -> bool:
    """Whether the copy had been told of this start."""
    return any(
        update.at_us <= attempt.received.sent_at_us
        and any(
            number == server and since is not None and since >= start for number, _, since in update.entries
        )
        for update in history.delivered_lists.get(attempt.received.replica, ())
    )


# No copy ends by itself


def _unexpected_exits(history: History) -> Iterator[Violation]:
    for life in history.incarnations.values():
        if life.ended_at_us is None or life.killed_at_us is not None:
            continue
        name = f"copy {life.replica}, life {life.incarnation},"
        if life.stopping_at_us is None:
            yield Violation("crash", life.ended_at_us, f"{name} ended by itself with code {life.exit_code}")
        elif life.exit_code != 0:
            yield Violation(
                "crash", life.ended_at_us, f"{name} ended with code {life.exit_code} after SIGTERM"
            )


# Whether the ground held


def _late_writers(history: History) -> Iterator[str]:
    seconds = max(history.run.duration_us / US_PER_S, 1.0)
    late: dict[str, dict[int, int]] = {}
    for delay in history.writer_delays:
        if delay.late_us > _LATE_US:
            worst = late.setdefault(delay.writer, {})
            second = delay.at_us // US_PER_S
            worst[second] = max(worst.get(second, 0), delay.late_us)
    for who, worst in sorted(late.items()):
        if len(worst) > seconds * _LATE_PART:
            most_ms = max(worst.values()) / 1e3
            yield f"{who} was late in {len(worst)} of {seconds:.0f} s, by {most_ms:.0f} ms at most"
