"""`ClusterMembership` on loopback sockets: datagrams, timer, log lines, metrics and reconfiguration."""

from __future__ import annotations

import socket
from dataclasses import dataclass, field
from functools import partial

from loopback import free_udp_addresses, run_async, wait_until

from sidecar.address import Address
from sidecar.clock import Clock
from sidecar.cluster.cluster_size import ClusterSize
from sidecar.cluster.settings import MembershipSettings
from sidecar.cluster_membership import ClusterMembership
from sidecar.log_events import EventLog
from sidecar.peers import Peers

SHORT_PERIOD = MembershipSettings(min_period_ms=200)


@dataclass
class Replica:
    """The membership of one simulated process, with its log lines and the cluster sizes that it reported."""

    membership: ClusterMembership
    peers: Peers
    lines: list[str] = field(default_factory=list)
    sizes: list[ClusterSize] = field(default_factory=list)

    def metric(self, name: str) -> object:
        metrics = self.membership.metrics()
        return None if metrics is None else metrics[name]

    def close(self) -> None:
        self.membership.close()
        self.peers.close()


def log_to(lines: list[str]) -> EventLog:
    """Return a log that appends its lines to a list."""
    return lambda event: lines.append(str(event))


async def start_replicas(addresses: tuple[Address, ...], count: int) -> list[Replica]:
    """Start the first `count` replicas of a cluster with these addresses."""
    replicas: list[Replica] = []

    def receive(number: int, sender: int, payload: bytes) -> None:
        replicas[number].membership.datagram_received(sender, payload)

    for number in range(count):
        peers = Peers(addresses, None, number, partial(receive, number))
        lines: list[str] = []
        sizes: list[ClusterSize] = []
        membership = ClusterMembership(number, "0", number, Clock(), peers, log_to(lines), sizes.append)
        replicas.append(Replica(membership, peers, lines, sizes))
        await peers.listen(addresses[number])
    for replica in replicas:
        replica.membership.configure(SHORT_PERIOD)
    return replicas


def test_members_report_each_other_present_and_one_that_leaves() -> None:
    async def work() -> None:
        one, two, three = await start_replicas(free_udp_addresses(3), 3)
        replicas = (one, two, three)
        await wait_until(lambda: all(replica.metric("present") == 3 for replica in replicas))
        three.membership.leave()
        await wait_until(lambda: one.metric("left") == two.metric("left") == 1)
        assert three.membership.metrics() is None
        assert one.sizes[-1].at_most == 2 and one.metric("view") == "ppl"
        assert "member" in str(one.metric("absent"))
        await wait_until(lambda: any("2 left (by 2)" in line for line in one.lines))
        for replica in replicas:
            replica.close()

    run_async(work)


def test_size_is_the_configured_one_after_membership_is_switched_off() -> None:
    async def work() -> None:
        one, two = await start_replicas(free_udp_addresses(2), 2)
        await wait_until(lambda: one.metric("present") == 2)
        two.membership.leave()
        await wait_until(lambda: one.sizes[-1].at_most == 1)
        one.membership.configure(MembershipSettings(on=False))
        assert one.sizes[-1] == ClusterSize(2, 2, 0, 0, 0, 0) and one.membership.metrics() is None
        for replica in (one, two):
            replica.close()

    run_async(work)


def test_size_is_reported_at_once_when_informing_is_switched_on_again() -> None:
    async def work() -> None:
        one, two = await start_replicas(free_udp_addresses(2), 2)
        await wait_until(lambda: one.metric("present") == 2)
        two.membership.leave()
        await wait_until(lambda: one.sizes[-1].at_most == 1)
        one.membership.configure(MembershipSettings(informs=False))
        assert one.sizes[-1].at_most == 2
        one.membership.configure(SHORT_PERIOD)
        assert one.sizes[-1].at_most == 1
        for replica in (one, two):
            replica.close()

    run_async(work)


def test_reconfigured_peers_change_the_cluster_size() -> None:
    async def work() -> None:
        addresses = free_udp_addresses(3)
        one, two = await start_replicas(addresses[:2], 2)
        await wait_until(lambda: one.metric("present") == 2)
        for replica in (one, two):
            replica.peers.set_addresses(addresses, None)
            replica.membership.configure(SHORT_PERIOD)
        assert one.metric("configured") == 3 and one.metric("unknown") == 1
        for replica in (one, two):
            replica.close()

    run_async(work)


def test_invalid_datagrams_are_counted_by_reason() -> None:
    async def work() -> None:
        addresses = free_udp_addresses(2)
        (one,) = await start_replicas(addresses, 1)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            stranger.sendto(b"hello", addresses[0])
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
            other.bind(addresses[1])
            other.sendto(b"hello", addresses[0])
            await wait_until(lambda: one.metric("dropped") == {"malformed": 1, "a stranger": 1})
        one.close()

    run_async(work)
