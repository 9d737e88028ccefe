"""Exchanges with other members: whom to send a round to, and how soon.

A newer version is pushed to a few members at once (rumor mongering); besides, each member exchanges rounds
with one other at a time (push-pull anti-entropy).  Source: Demers et al.: "Epidemic Algorithms for Replicated
Database Maintenance" (1987).
"""

from __future__ import annotations

from sidecar.cluster.actions import SendDatagram
from sidecar.cluster.aggregation import AggregationRound
from sidecar.cluster.member_set import chunk_of
from sidecar.cluster.rate_limiter import RateLimiter
from sidecar.cluster.rollout_message import ExchangeKind, encode
from sidecar.cluster.rollout_state import RolloutState

_MAX_DATAGRAMS_PER_S = 10.0  # in all, whatever comes
_SPREADING_INTERVAL_US = 250_000  # between two exchanges while a new version spreads, ...
_SPREADING_US = 10_000_000  # ... for so long since it was heard of
_QUIET_EXCHANGES = 4  # in a row that brought nothing new: then the interval is longer
_QUIET_INTERVAL_PERIODS = 5
_PARTNER_DRAWS = 8
_ANY_MEMBER_EVERY = 8  # of so many exchanges one may go to a dead member: it finds a healed partition


class RolloutExchanges:
    """Sends one member's datagrams about versions.  All times are microseconds."""

    def __init__(self, state: RolloutState, cluster: int, now: int) -> None:
        self._state, self._cluster = state, cluster
        self._limiter = RateLimiter(now, _MAX_DATAGRAMS_PER_S, 0.0)
        self._exchanges = 0
        self._quiet_exchanges = 0  # in a row that brought nothing new
        self.next_at = now
        self._datagrams: list[SendDatagram] = []

    def drain(self) -> list[SendDatagram]:
        """Return the datagrams to be sent since the last call."""
        datagrams, self._datagrams = self._datagrams, []
        return datagrams

    def schedule_within(self, now: int, interval_us: int) -> None:
        """Begin the next exchange at most this much later."""
        self.next_at = min(self.next_at, now + interval_us)

    def round_changed(self, now: int) -> None:
        """The local round says something new: others have to hear of it soon."""
        self._quiet_exchanges = 0
        self.schedule_within(now, self._state.jittered(self._interval_us(now)))

    def push_newer_version(self, now: int, sender: int) -> None:
        """Tell some members at once about a version that was news here."""
        self.schedule_within(now, int(_SPREADING_INTERVAL_US * self._state.random.random()))
        partners = {self._draw_partner() for _ in range(self._state.settings.fanout)} - {None, sender}
        for partner in partners:
            self._send(now, partner, ExchangeKind.PUSH, chunk_of(self._state.number))

    def begin(self, now: int) -> None:
        """Exchange with one other member."""
        self._exchanges += 1
        chunk = self._exchanges % self._state.chunk_count
        self._send(now, self._draw_partner(), ExchangeKind.PUSH_PULL, chunk)
        self._quiet_exchanges += 1
        self.next_at = now + self._state.jittered(self._interval_us(now))

    def reply(self, now: int, receiver: int, remote: AggregationRound, chunk: int) -> None:
        """Send one chunk to a member that asked, if it lacks anything of it."""
        if self._lacks_something(remote, chunk):
            self._send(now, receiver, ExchangeKind.PUSH, chunk, is_reply=True)

    def _interval_us(self, now: int) -> int:
        """Until the next exchange."""
        state = self._state
        is_quiet = self._quiet_exchanges >= _QUIET_EXCHANGES * state.chunk_count
        is_recent = now - state.newest_received_at < _SPREADING_US
        is_concluded = state.reported_in_force == state.round.version
        if is_recent and not (is_concluded and is_quiet):
            return min(_SPREADING_INTERVAL_US, state.exchange_period_us)
        return state.exchange_period_us * (_QUIET_INTERVAL_PERIODS if is_quiet else 1)

    def _draw_partner(self) -> int | None:
        """Any other member; None if none was drawn."""
        state = self._state
        size = len(state.table)
        may_have_ended = self._exchanges % _ANY_MEMBER_EVERY == 0
        for _ in range(_PARTNER_DRAWS if size > 1 else 0):
            member = state.random.randrange(size)
            if member != state.number and (may_have_ended or not state.table[member].has_ended):
                return member
        return None

    def _lacks_something(self, remote: AggregationRound, chunk: int) -> bool:
        local = self._state.round
        if local.key != remote.key:
            return local.key > remote.key
        local_head = (local.first_reported_by, local.min_digest, local.max_digest)
        remote_head = (remote.first_reported_by, remote.min_digest, remote.max_digest)
        return local_head != remote_head or local.chunk(chunk) != remote.chunk(chunk)

    def _send(
        self, now: int, receiver: int | None, kind: ExchangeKind, chunk: int, *, is_reply: bool = False
    ) -> None:
        if receiver is not None and self._limiter.try_acquire(now, is_reply=is_reply):
            payload = encode(self._cluster, self._state.number, kind, self._state.round, chunk, now)
            self._datagrams.append(SendDatagram(receiver, payload))
