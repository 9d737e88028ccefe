"""A hollow member: a whole sidecar without clients, on an event loop that it shares with others.

Its membership, its watch of discovery and its decisions are the program's own lines.  What stands between
is here: datagrams are counted, and lost where a fault takes them; what it believes and hears is written down.
"""

from __future__ import annotations

import asyncio
import random
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from balancer.events import Event
from sidecar.address import Address
from sidecar.clock import Clock
from sidecar.cluster.actions import MembershipAction, MemberStateChanged
from sidecar.cluster.message import MemberState
from sidecar.cluster_membership import ClusterMembership
from sidecar.cluster_service import ClusterService
from sidecar.configuration import Configuration
from sidecar.discovery.endpoint_list import EndpointList
from sidecar.peers import Peers
from sidecar.sidecar import Sidecar

_DRAINED_BYTES = 1 << 16


@dataclass(slots=True)
class Traffic:
    """Datagrams, and their bytes without headers."""

    datagrams: int = 0
    size: int = 0  # bytes

    def add(self, payload: bytes) -> None:
        """Count one datagram."""
        self.datagrams += 1
        self.size += len(payload)


@dataclass(slots=True)
class TrafficCounters:
    """One member's traffic, over all its lives."""

    sent: Traffic = field(default_factory=Traffic)
    heard: Traffic = field(default_factory=Traffic)


class SimulatedNetwork:
    """What the hollow members of one process share: faults, who lives, and what is written down."""

    def __init__(self, real: int, rng: random.Random) -> None:
        """Members below `real` are processes of their own; what passes to and from them is counted."""
        self.border: int | None = None  # of a cut: nothing passes between those below it and the rest
        self.loss = 0.0
        self.real = [TrafficCounters() for _ in range(real)]
        self.since: dict[int, int] = {}  # the least life that each living member may have
        self.wrongly_dead: set[tuple[int, int]] = set()  # lives that were called dead and were not
        self.on_gone: Callable[[int, int], None] = lambda _by, _member: None
        self.on_told: Callable[[int], None] = lambda _member: None
        self.on_version: Callable[[int, int], None] = lambda _member, _version: None
        self._chance = rng.random

    def is_cut(self, one: int, other: int) -> bool:
        """Whether the partition separates two members."""
        return self.border is not None and (one < self.border) != (other < self.border)

    def loses(self, one: int, other: int) -> bool:
        """Whether a datagram from one to another is lost; asked once for each."""
        return self.is_cut(one, other) or (self.loss > 0.0 and self._chance() < self.loss)

    def hear(self, by: int, news: MemberStateChanged) -> None:
        """A member has come to believe that another is gone."""
        self.on_gone(by, news.member)
        since = self.since.get(news.member)
        if news.state is MemberState.DEAD and since is not None and news.incarnation >= since:
            self.wrongly_dead.add((news.member, news.incarnation))


class SimulatedPeers(Peers):
    """The program's datagrams over a socket that was bound beforehand, counted, some of them lost."""

    def __init__(
        self,
        ground: SimulatedNetwork,
        counts: TrafficCounters,
        own: socket.socket,
        peers: tuple[Address, ...],
        me: int,
        on_message: Callable[[int, bytes], None],
    ) -> None:
        super().__init__(peers, None, me, on_message)
        self._ground, self._counts, self._own = ground, counts, own

    # The base class's signature: neither argument matters to a socket that is bound already.
    async def listen(self, address: Address, shared: bool = False) -> None:  # noqa: ARG002, FBT001, FBT002 - see above
        """Hear others on a copy of the socket: the port stays the member's when this life ends."""
        drain(self._own)
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, sock=self._own.dup())

    def send(self, receiver: int | None, payload: bytes) -> bool:
        """Send a datagram to one member, or to all; lost ones count as sent."""
        if receiver is None:
            others = [each for each in range(len(self._peers)) if each != self._local_number]
            told = [self.send(each, payload) for each in others]
            return all(told)
        self._counts.sent.add(payload)
        if self._ground.loses(self._local_number, receiver):
            return True  # nobody who sends a datagram hears that it is lost
        if receiver < len(self._ground.real):
            self._ground.real[receiver].heard.add(payload)
        return super().send(receiver, payload)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Count a datagram and pass it on, unless it is lost or its sender is unknown."""
        sender = self._numbers.get((addr[0], addr[1]))
        if sender is not None:
            is_real = sender < len(self._ground.real)
            if is_real:
                self._ground.real[sender].sent.add(data)
            # A hollow sender has asked already whether it is lost.
            is_lost = self._ground.loses if is_real else self._ground.is_cut
            if is_lost(sender, self._local_number):
                return
            self._counts.heard.add(data)
        super().datagram_received(data, addr)


class ObservedMembership(ClusterMembership):
    """The program's membership; who is believed gone is written down."""

    on_gone: Callable[[MemberStateChanged], None]

    def _handle(self, action: MembershipAction) -> None:
        if isinstance(action, MemberStateChanged) and action.state >= MemberState.DEAD:
            self.on_gone(action)
        super()._handle(action)


class SimulatedClusterService(ClusterService):
    """The program's cluster service, with datagrams and membership of the ground."""

    def __init__(
        self,
        ground: SimulatedNetwork,
        counts: TrafficCounters,
        own: socket.socket,
        configuration: Configuration,
        clock: Clock,
        dispatch: Callable[[Event], None],
        on_newer_version: Callable[[], None],
    ) -> None:
        self._ground, self._counts, self._own = ground, counts, own
        super().__init__(configuration, clock, dispatch, on_newer_version, discard_log_event)

    def create_peers(self, configuration: Configuration) -> Peers:
        """Peers that count their datagrams and apply the simulated loss."""
        peers = configuration.peer_addresses
        return SimulatedPeers(
            self._ground, self._counts, self._own, peers, self._number, self.message_received
        )

    def create_membership(self) -> ClusterMembership:
        """A membership that reports each death it learns of."""
        own, number = self._configuration, self._number
        members = ObservedMembership(
            number, own.cluster, own.seed, self._clock, self.peers, discard_log_event, self.size_changed
        )
        members.on_gone = lambda news: self._ground.hear(number, news)
        return members


class SimulatedMember(Sidecar):
    """One life of a hollow member."""

    def __init__(
        self,
        ground: SimulatedNetwork,
        number: int,
        counts: TrafficCounters,
        own: socket.socket,
        config: Configuration,
    ) -> None:
        self.number = number
        self._ground, self._counts, self._own = ground, counts, own
        super().__init__(config, discard_log_event)

    def _create_cluster(self) -> ClusterService:
        return SimulatedClusterService(
            self._ground,
            self._counts,
            self._own,
            self._configuration,
            self._clock,
            self._dispatcher.dispatch,
            lambda: self.on_newer_version(),
        )

    @property
    def members(self) -> ClusterMembership | None:
        """The cluster membership; None while it is off."""
        return self._cluster.membership

    def _endpoint_list_received(self, endpoint_list: EndpointList) -> None:
        self._ground.on_told(self.number)
        super()._endpoint_list_received(endpoint_list)

    def reconfigure(self, configuration: Configuration) -> list[str]:
        """Apply a configuration and report its version."""
        kept = super().reconfigure(configuration)
        if self.version is not None:
            self._ground.on_version(self.number, self.version)
        return kept

    def leave(self) -> None:
        """End as planned: the others are told."""
        if self.members is not None:
            self.members.leave()
        self.close()


class DisseminationTimer:
    """Waits until each of some members has had all of what it waits for, and keeps when that was."""

    def __init__(self, began: float, waits: dict[int, set[int]]) -> None:
        """`began` by the monotonic clock, in seconds; `waits`: what each member has yet to hear."""
        self._began = began
        self.waits = waits
        self.took_s: dict[int, float] = {}

    def heard(self, by: int, what: int) -> None:
        """Note that a member learned something; when nothing is left, record the seconds it took."""
        left = self.waits.get(by)
        if left is None:
            return
        left.discard(what)
        if not left:
            del self.waits[by]
            self.took_s[by] = time.monotonic() - self._began

    def forget(self, member: int) -> None:
        """Stop waiting for a member."""
        self.waits.pop(member, None)


def drain(own: socket.socket) -> None:
    """Throw away what came while nobody heard."""
    try:
        while True:
            own.recv(_DRAINED_BYTES)
    except BlockingIOError:
        pass


def discard_log_event(_: object) -> None:
    """Nobody reads a hollow member's log."""
