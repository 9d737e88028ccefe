"""Exchanges of aggregation rounds with other members.

A newer version is pushed to a few members at once (rumor mongering).  In addition, each member periodically
exchanges rounds with one random member (push-pull anti-entropy).  Source: Demers et al.: "Epidemic Algorithms
for Replicated Database Maintenance" (1987).
"""

from __future__ import annotations

from sidecar.cluster.actions import SendDatagram
from sidecar.cluster.aggregation import AggregationRound
from sidecar.cluster.member_set import chunk_of
from sidecar.cluster.rate_limiter import RateLimiter
from sidecar.cluster.rollout_message import ExchangeKind, encode
from sidecar.cluster.rollout_state import RolloutState

_MAX_DATAGRAMS_PER_S = 10.0  # pushes, exchanges and replies together, also under a flood of datagrams
_SPREADING_INTERVAL_US = 250_000  # between two exchanges while a new version spreads, ...
_SPREADING_US = 10_000_000  # ... which is assumed for this long after this member learned of it
_QUIET_EXCHANGES = 4  # per chunk, in a row without a change of the round: then the interval is longer
_QUIET_INTERVAL_PERIODS = 5  # the longer interval, in exchange periods
_PARTNER_DRAWS = 8
# One in this many exchanges may go to a dead member, so that a healed partition is detected.
_ANY_MEMBER_EVERY = 8


class RolloutExchanges:
    """Schedules the local member's exchanges and composes its datagrams.  All times are microseconds."""

    def __init__(self, state: RolloutState, cluster: int, now: int) -> None:
        self._state, self._cluster = state, cluster
        self._limiter = RateLimiter(now, _MAX_DATAGRAMS_PER_S, 0.0)
        self._exchanges = 0
        self._quiet_exchanges = 0  # since the local round changed last
        self.next_at = now
        self._datagrams: list[SendDatagram] = []

    def drain(self) -> list[SendDatagram]:
        """Return the datagrams composed since the last call."""
        datagrams, self._datagrams = self._datagrams, []
        return datagrams

    def schedule_within(self, now: int, interval_us: int) -> None:
        """Bring the next exchange forward to at most `interval_us` from now."""
        self.next_at = min(self.next_at, now + interval_us)

    def round_changed(self, now: int) -> None:
        """Schedule an exchange soon, because the reports in the local round changed."""
        self._quiet_exchanges = 0
        self.schedule_within(now, self._state.jittered(self._interval_us(now)))

    def push_newer_version(self, now: int, sender: int) -> None:
        """Push a version that is new here to up to `fanout` random members at once, but not to its sender."""
        self.schedule_within(now, int(_SPREADING_INTERVAL_US * self._state.random.random()))
        partners = {self._draw_partner() for _ in range(self._state.settings.fanout)} - {None, sender}
        for partner in partners:
            self._send(now, partner, ExchangeKind.PUSH, chunk_of(self._state.number))

    def begin(self, now: int) -> None:
        """Exchange one chunk of the round with a random member."""
        self._exchanges += 1
        chunk = self._exchanges % self._state.chunk_count
        self._send(now, self._draw_partner(), ExchangeKind.PUSH_PULL, chunk)
        self._quiet_exchanges += 1
        self.next_at = now + self._state.jittered(self._interval_us(now))

    def reply(self, now: int, receiver: int, remote: AggregationRound, chunk: int) -> None:
        """Send one chunk to a member that requested it, if it lacks any part of it."""
        if self._needs_reply(remote, chunk):
            self._send(now, receiver, ExchangeKind.PUSH, chunk, is_reply=True)

    def _interval_us(self, now: int) -> int:
        """Return the mean time until the next exchange."""
        state = self._state
        is_quiet = self._quiet_exchanges >= _QUIET_EXCHANGES * state.chunk_count
        is_recent = now - state.newest_received_at < _SPREADING_US
        is_concluded = state.reported_in_force == state.round.version
        if is_recent and not (is_concluded and is_quiet):
            return min(_SPREADING_INTERVAL_US, state.exchange_period_us)
        return state.exchange_period_us * (_QUIET_INTERVAL_PERIODS if is_quiet else 1)

    def _draw_partner(self) -> int | None:
        """Draw a random other member; None if no suitable one was found in `_PARTNER_DRAWS` draws."""
        state = self._state
        size = len(state.table)
        may_have_ended = self._exchanges % _ANY_MEMBER_EVERY == 0
        for _ in range(_PARTNER_DRAWS if size > 1 else 0):
            member = state.random.randrange(size)
            if member != state.number and (may_have_ended or not state.table[member].has_ended):
                return member
        return None

    def _needs_reply(self, remote: AggregationRound, chunk: int) -> bool:
        """Return whether the sender of a round lacks any part of the local one, as far as `chunk` shows."""
        local = self._state.round
        if local.key != remote.key:
            return local.key > remote.key
        local_header = (local.first_reported_by, local.min_digest, local.max_digest)
        remote_header = (remote.first_reported_by, remote.min_digest, remote.max_digest)
        return local_header != remote_header or local.chunk(chunk) != remote.chunk(chunk)

    def _send(
        self, now: int, receiver: int | None, kind: ExchangeKind, chunk: int, *, is_reply: bool = False
    ) -> None:
        if receiver is not None and self._limiter.try_acquire(now, is_reply=is_reply):
            payload = encode(self._cluster, self._state.number, kind, self._state.round, chunk, now)
            self._datagrams.append(SendDatagram(receiver, payload))
