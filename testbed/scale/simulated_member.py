"""Simulated members: complete sidecars without clients that share one event loop.

Membership, the discovery watch and the decisions are the sidecar's own code.  This module replaces only the
datagram transport, to count datagrams and to drop those that a simulated fault affects, and observes which
members are believed to have ended and which endpoint lists and configuration versions arrive.
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

_RECEIVE_BYTES = 1 << 16


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
    """One member's traffic, over all its incarnations."""

    sent: Traffic = field(default_factory=Traffic)
    received: Traffic = field(default_factory=Traffic)


class SimulatedNetwork:
    """State shared by the simulated members of one process: faults, live incarnations and observations."""

    def __init__(self, real: int, rng: random.Random) -> None:
        """Create a network whose members below `real` are separate processes.

        For those, the traffic that they exchange with members of this process is counted.
        """
        # No datagram passes between members below this number and the others; None without a partition.
        self.partition_border: int | None = None
        self.loss = 0.0
        self.real = [TrafficCounters() for _ in range(real)]
        self.min_incarnations: dict[int, int] = {}  # the least incarnation that each live member may have
        self.wrongly_dead: set[tuple[int, int]] = set()  # (member, incarnation) declared dead while alive
        self.on_member_ended: Callable[[int, int], None] = lambda _observer, _member: None
        self.on_endpoint_list: Callable[[int], None] = lambda _member: None
        self.on_version: Callable[[int, int], None] = lambda _member, _version: None
        self._random = rng.random

    def is_partitioned(self, sender: int, receiver: int) -> bool:
        """Whether the partition separates two members."""
        border = self.partition_border
        return border is not None and (sender < border) != (receiver < border)

    def is_lost(self, sender: int, receiver: int) -> bool:
        """Decide whether a datagram is lost; called once for each datagram, as it draws a random number."""
        return self.is_partitioned(sender, receiver) or (self.loss > 0.0 and self._random() < self.loss)

    def record_member_ended(self, observer: int, change: MemberStateChanged) -> None:
        """Record that a member believes another to be dead or left, and whether the other is still alive."""
        self.on_member_ended(observer, change.member)
        min_incarnation = self.min_incarnations.get(change.member)
        if (
            change.state is MemberState.DEAD
            and min_incarnation is not None
            and change.incarnation >= min_incarnation
        ):
            self.wrongly_dead.add((change.member, change.incarnation))


class SimulatedPeers(Peers):
    """The sidecar's datagram transport over a socket bound in advance, with counters and datagram loss."""

    def __init__(
        self,
        network: SimulatedNetwork,
        traffic: TrafficCounters,
        bound_socket: socket.socket,
        peers: tuple[Address, ...],
        local_number: int,
        on_message: Callable[[int, bytes], None],
    ) -> None:
        super().__init__(peers, None, local_number, on_message)
        self._network, self._traffic, self._bound_socket = network, traffic, bound_socket

    # The base class's signature: neither argument matters to a socket that is bound already.
    async def listen(self, address: Address, shared: bool = False) -> None:  # noqa: ARG002, FBT001, FBT002 - see above
        """Receive on a duplicate of the socket, so that the member keeps its port after this incarnation."""
        drain(self._bound_socket)
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, sock=self._bound_socket.dup())

    def send(self, receiver: int | None, payload: bytes) -> bool:
        """Send a datagram to one member, or to all; lost ones count as sent."""
        if receiver is None:
            others = [number for number in range(len(self._peers)) if number != self._local_number]
            results = [self.send(number, payload) for number in others]
            return all(results)
        self._traffic.sent.add(payload)
        if self._network.is_lost(self._local_number, receiver):
            return True  # the sender of a datagram is not notified of its loss
        if receiver < len(self._network.real):
            self._network.real[receiver].received.add(payload)
        return super().send(receiver, payload)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Count a datagram and pass it on, unless it is lost; one of an unknown sender is not counted."""
        sender = self._numbers.get((addr[0], addr[1]))
        if sender is not None:
            is_real = sender < len(self._network.real)
            if is_real:
                self._network.real[sender].sent.add(data)
            # For a simulated sender, `send` has decided about random loss already.
            is_dropped = self._network.is_lost if is_real else self._network.is_partitioned
            if is_dropped(sender, self._local_number):
                return
            self._traffic.received.add(data)
        super().datagram_received(data, addr)


class ObservedMembership(ClusterMembership):
    """The sidecar's membership, reporting which members it believes to be dead or left."""

    on_member_ended: Callable[[MemberStateChanged], None]

    def _handle(self, action: MembershipAction) -> None:
        if isinstance(action, MemberStateChanged) and action.state >= MemberState.DEAD:
            self.on_member_ended(action)
        super()._handle(action)


class SimulatedClusterService(ClusterService):
    """The sidecar's cluster service, with the transport and membership of the simulated network."""

    def __init__(
        self,
        network: SimulatedNetwork,
        traffic: TrafficCounters,
        bound_socket: socket.socket,
        configuration: Configuration,
        clock: Clock,
        dispatch: Callable[[Event], None],
        on_newer_version: Callable[[], None],
    ) -> None:
        self._network, self._traffic, self._bound_socket = network, traffic, bound_socket
        super().__init__(configuration, clock, dispatch, on_newer_version, discard_log_event)

    def create_peers(self, configuration: Configuration) -> Peers:
        """Return peers that count their datagrams and apply the simulated loss."""
        return SimulatedPeers(
            self._network,
            self._traffic,
            self._bound_socket,
            configuration.peer_addresses,
            self._number,
            self.message_received,
        )

    def create_membership(self) -> ClusterMembership:
        """Return a membership that reports each member it believes to be dead or left."""
        configuration, number = self._configuration, self._number
        members = ObservedMembership(
            number,
            configuration.cluster,
            configuration.seed,
            self._clock,
            self.peers,
            discard_log_event,
            self.size_changed,
        )
        members.on_member_ended = lambda change: self._network.record_member_ended(number, change)
        return members


class SimulatedMember(Sidecar):
    """One incarnation of a simulated member."""

    def __init__(
        self,
        network: SimulatedNetwork,
        number: int,
        traffic: TrafficCounters,
        bound_socket: socket.socket,
        configuration: Configuration,
    ) -> None:
        self.number = number
        self._network, self._traffic, self._bound_socket = network, traffic, bound_socket
        super().__init__(configuration, discard_log_event)

    def _create_cluster(self) -> ClusterService:
        return SimulatedClusterService(
            self._network,
            self._traffic,
            self._bound_socket,
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
        self._network.on_endpoint_list(self.number)
        super()._endpoint_list_received(endpoint_list)

    def reconfigure(self, configuration: Configuration) -> list[str]:
        """Apply a configuration and report its version."""
        restart_required = super().reconfigure(configuration)
        if self.version is not None:
            self._network.on_version(self.number, self.version)
        return restart_required

    def leave(self) -> None:
        """Shut down gracefully, notifying the other members."""
        if self.members is not None:
            self.members.leave()
        self.close()


class DisseminationTimer:
    """Measures how long each observer takes to learn all items that it has to learn."""

    def __init__(self, started_at: float, pending: dict[int, set[int]]) -> None:
        """Start at a monotonic time in seconds, with the items that each observer has yet to learn."""
        self._started_at = started_at
        self.pending = pending
        self.elapsed_s: dict[int, float] = {}

    def learned(self, observer: int, item: int) -> None:
        """Note that an observer learned an item; at its last one, record the seconds since the start."""
        items = self.pending.get(observer)
        if items is None:
            return
        items.discard(item)
        if not items:
            del self.pending[observer]
            self.elapsed_s[observer] = time.monotonic() - self._started_at

    def remove(self, observer: int) -> None:
        """Stop waiting for an observer."""
        self.pending.pop(observer, None)


def drain(bound_socket: socket.socket) -> None:
    """Discard the datagrams that arrived while no process of the member was running."""
    try:
        while True:
            bound_socket.recv(_RECEIVE_BYTES)
    except BlockingIOError:
        pass


def discard_log_event(_: object) -> None:
    """Ignore a log event: the logs of simulated members are not kept."""
