"""The rules of the platform, each held against one day's history.

What a request's events mean never rests on two writers' clocks agreeing to better than `_WRITERS_US`.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from testbed.checker.history import Attempt, History, Request, gather
from testbed.events import Event, Told
from testbed.scenario.day import US, Server
from testbed.scenario.settings import (
    ANSWER_SLACK_US,
    DRAIN_GRACE_US,
    FALL_MULTIPLE,
    FALL_US,
    NEW_FOR_US,
)

_SOCKETS_US = 50_000  # every limit is so much longer on sockets
_WRITERS_US = 100_000  # how far two writers of a log may part on when something was
_RESUMED_US = 1_000_000  # and what is due up to so long after a pause
_COLD_CHANCE = 5.0  # requests of mean work that a cold server may get over its budget, by chance
_LATE_US = 50_000  # a writer later than this distorts what it writes
_LATE_PART = 0.02  # and a day with a larger part of such seconds is not scored
_REJECTED = (429, 503)


@dataclass(frozen=True, slots=True)
class Breach:
    """One rule broken once."""

    rule: str  # lost, late, twice, refused, foreign, drained, cold, crash
    at: int  # microseconds from the day's start
    text: str


@dataclass(frozen=True, slots=True)
class Verdict:
    """What the rules say of a day."""

    breaches: tuple[Breach, ...]
    is_complete: bool  # the log goes to the day's end
    unfair: tuple[str, ...]  # why the day says nothing of the program: the ground itself was late

    @property
    def kept(self) -> bool:
        """Whether no invariant was breached."""
        return not self.breaches

    @property
    def word(self) -> str:
        """kept, broken, cut off or unfair: the first that holds from the worst on."""
        if self.breaches:
            return "broken"
        if not self.is_complete:
            return "cut off"
        return "unfair" if self.unfair else "kept"


def judge(events: Iterable[Event] | History, slack_us: int = ANSWER_SLACK_US + _SOCKETS_US) -> Verdict:
    """Hold a log against every rule; raise LogError where it is no log of a day.

    `slack_us` is how long after a client's patience an answer still counts.
    """
    history = events if isinstance(events, History) else gather(events)
    breaches: list[Breach] = []
    for number, request in history.requests.items():
        breaches += _missing_or_late_responses(history, number, request, slack_us)
        breaches += _forbidden_retries(history, number, request)
    breaches += _requests_to_draining_servers(history)
    breaches += _slow_start_overloads(history)
    breaches += _unexpected_exits(history)
    breaches.sort(key=lambda breach: breach.at)
    return Verdict(tuple(breaches), history.is_complete, tuple(_late_writers(history)))


# One final answer a request, in time


def _missing_or_late_responses(
    history: History, number: int, request: Request, slack_us: int
) -> Iterator[Breach]:
    taken, answered = request.taken, request.answered
    if taken is None:
        return
    name = f"request {number:x} of copy {taken.copy}"
    if request.answers > 1:
        yield Breach("lost", taken.at, f"{name} got {request.answers} answers")
    if answered is None or answered.status == 0:
        at = answered.at if answered is not None else taken.due + slack_us
        if at <= history.last_at and not _is_excused(history, request, at):
            how = (
                "was never answered" if answered is None or answered.timed_out else "ended without an answer"
            )
            yield Breach("lost", at, f"{name}, due at {taken.due / US:.3f} s, {how}")
    elif answered.at > taken.due + slack_us and not _is_excused(history, request, answered.at):
        late_ms = (answered.at - taken.due) / 1e3
        yield Breach("late", answered.at, f"{name} was answered {late_ms:.0f} ms after its time")
    elif answered.status == 200 and answered.attempt not in {
        attempt.arrived.attempt for attempt in request.attempts
    }:
        yield Breach("foreign", answered.at, f"{name} was served what no server made for it")


def _is_excused(history: History, request: Request, at: int) -> bool:
    """Whether its copy could not have answered by then: it was killed, paused, or about to end."""
    taken = request.taken
    assert taken is not None
    for life in history.lives.values():
        if life.copy != taken.copy:
            continue
        is_killed = life.killed is not None and taken.at - _WRITERS_US <= life.killed <= at + _WRITERS_US
        if is_killed and (life.stopping is None or taken.at > life.stopping + NEW_FOR_US):
            return True
        if (
            life.stopping is not None
            and life.ended is not None
            and life.stopping + NEW_FOR_US < taken.at <= life.ended + _WRITERS_US
        ):
            return True
    return any(
        since - _WRITERS_US <= taken.due and taken.at <= until + _RESUMED_US
        for since, until in history.pauses.get(taken.copy, ())
    )


# Nothing that may have run is sent again, or called harmless, unless its class allows it


def _forbidden_retries(history: History, number: int, request: Request) -> Iterator[Breach]:
    if request.taken is None or not request.attempts:
        return
    kind = history.day.classes[request.taken.service_class]
    ran = request.may_have_run()
    if kind.repeat == "read_like" or not ran:
        return
    name = f"request {number:x} ({kind.name})"
    first = ran[0]
    for later in request.attempts[request.attempts.index(first) + 1 :]:
        if kind.repeat == "non_idempotent":
            why = "went out again though it may have run"
        elif not _same_group(history.day.servers, kind.group, first, later):
            why = f"went out again outside its {kind.group}"
        elif later.arrived.sent - first.arrived.sent > kind.memory_us + _SOCKETS_US:
            why = "went out again after its memory ended"
        else:
            continue
        servers = f"server {first.arrived.server}, then {later.arrived.server}"
        yield Breach("twice", later.arrived.sent, f"{name} {why}: {servers}")
    answered = request.answered
    is_rejected = answered is not None and answered.status in _REJECTED
    if answered is not None and is_rejected and (kind.repeat == "non_idempotent" or kind.group != "all"):
        yield Breach("refused", answered.at, f"{name} was refused though it may have run")


def _same_group(servers: tuple[Server, ...], group: str, one: Attempt, other: Attempt) -> bool:
    first, second = servers[one.arrived.server], servers[other.arrived.server]
    if group == "all":
        return True
    return first.zone == second.zone if group == "zone" else first.cell == second.cell


# No new work to a server after word that it drains or is gone


def _requests_to_draining_servers(history: History) -> Iterator[Breach]:
    out = {copy: _draining_intervals(told) for copy, told in history.told.items()}
    limit = DRAIN_GRACE_US + _SOCKETS_US
    for number, request in history.requests.items():
        for attempt in request.attempts:
            sent = attempt.arrived.sent
            for since, until in out.get(attempt.arrived.copy, {}).get(attempt.arrived.server, ()):
                if since + limit < sent < until:
                    late_ms = (sent - since) / 1e3
                    text = (
                        f"request {number:x} went to server {attempt.arrived.server} {late_ms:.0f} ms"
                        f" after copy {attempt.arrived.copy} was told that it leaves"
                    )
                    yield Breach("drained", sent, text)


def _draining_intervals(told: list[Told]) -> dict[int, list[tuple[int, int]]]:
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
        for server, state, _ in update.lines:
            record(server, update.at, is_draining=state != "active")
        named = {server for server, _, _ in update.lines}
        if update.full:
            for server in known - named:
                record(server, update.at, is_draining=True)
        known |= named
    for server, at in since.items():
        out.setdefault(server, []).append((at, 1 << 62))
    return out


# No cold server overloaded by all copies together


def _slow_start_overloads(history: History) -> Iterator[Breach]:
    by_server: dict[int, list[Attempt]] = {}
    for request in history.requests.values():
        for attempt in request.attempts:
            by_server.setdefault(attempt.arrived.server, []).append(attempt)
    for server, starts in history.starts.items():
        arrived = sorted(by_server.get(server, ()), key=lambda attempt: attempt.arrived.at)
        for start in starts:
            yield from _overload_after_start(history, history.day.servers[server], start, arrived)


def _overload_after_start(
    history: History, server: Server, start: int, arrived: list[Attempt]
) -> Iterator[Breach]:
    """The work of each window against what the server could do; the first breach of a start is told."""
    mean = sum(kind.share * kind.work_us for kind in history.day.classes)
    window: list[Attempt] = []
    for attempt in arrived:
        at = attempt.arrived.at
        if not start <= at < start + server.cold_us:
            continue
        window = [one for one in window if one.arrived.at > at - FALL_US] + [attempt]
        part = server.cold_from + (1 - server.cold_from) * (at - start) / server.cold_us
        allowed = FALL_MULTIPLE * part * server.slots * server.speed * FALL_US + _COLD_CHANCE * mean
        work = sum(one.arrived.work for one in window)
        if work <= allowed:
            continue
        told = sum(one.arrived.work for one in window if _was_notified(history, one, server.number, start))
        if told * 3 >= work * 2:
            text = (
                f"server {server.number}, {(at - start) / US:.2f} s after its start, got {work / 1e3:.0f} ms"
                f" of work within {FALL_US / US:g} s and bears {allowed / 1e3:.0f}"
            )
            yield Breach("cold", at, text)
            return


def _was_notified(history: History, attempt: Attempt, server: int, start: int) -> bool:
    """Whether the copy had been told of this start."""
    return any(
        update.at <= attempt.arrived.sent
        and any(
            number == server and since is not None and since >= start for number, _, since in update.lines
        )
        for update in history.told.get(attempt.arrived.copy, ())
    )


# No copy ends by itself


def _unexpected_exits(history: History) -> Iterator[Breach]:
    for life in history.lives.values():
        if life.ended is None or life.killed is not None:
            continue
        name = f"copy {life.copy}, life {life.life},"
        if life.stopping is None:
            yield Breach("crash", life.ended, f"{name} ended by itself with code {life.code}")
        elif life.code != 0:
            yield Breach("crash", life.ended, f"{name} ended with code {life.code} after SIGTERM")


# Whether the ground held


def _late_writers(history: History) -> Iterator[str]:
    seconds = max(history.day.length_us / US, 1.0)
    late: dict[str, dict[int, int]] = {}
    for delay in history.late:
        if delay.by > _LATE_US:
            worst = late.setdefault(delay.who, {})
            second = delay.at // US
            worst[second] = max(worst.get(second, 0), delay.by)
    for who, worst in sorted(late.items()):
        if len(worst) > seconds * _LATE_PART:
            most_ms = max(worst.values()) / 1e3
            yield f"{who} was late in {len(worst)} of {seconds:.0f} s, by {most_ms:.0f} ms at most"
