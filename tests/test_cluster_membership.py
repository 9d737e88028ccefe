"""Membership on loopback sockets: datagrams, timer, log lines and figures, and what SIGHUP changes."""

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

QUICK = MembershipSettings(min_period_ms=200)


@dataclass
class Replica:
    """One process: its membership, what it logged and which sizes it reported."""

    members: ClusterMembership
    peers: Peers
    lines: list[str] = field(default_factory=list)
    sizes: list[ClusterSize] = field(default_factory=list)

    def figure(self, name: str) -> object:
        figures = self.members.metrics()
        return None if figures is None else figures[name]


def logged(lines: list[str]) -> EventLog:
    """A log that keeps its lines."""
    return lambda event: lines.append(str(event))


async def replicas(addresses: tuple[Address, ...], count: int) -> list[Replica]:
    out: list[Replica] = []

    def receive(me: int, sender: int, payload: bytes) -> None:
        out[me].members.datagram_received(sender, payload)

    for me in range(count):
        peers = Peers(addresses, None, me, partial(receive, me))
        lines: list[str] = []
        sizes: list[ClusterSize] = []
        members = ClusterMembership(me, "0", me, Clock(), peers, logged(lines), sizes.append)
        out.append(Replica(members, peers, lines, sizes))
        await peers.listen(addresses[me])
    for each in out:
        each.members.configure(QUICK)
    return out


def test_members_see_each_other_and_one_that_leaves() -> None:
    async def work() -> None:
        one, two, three = await replicas(free_udp_addresses(3), 3)
        everybody = (one, two, three)
        await wait_until(lambda: all(each.figure("present") == 3 for each in everybody))
        three.members.leave()
        await wait_until(lambda: one.figure("left") == two.figure("left") == 1)
        assert three.members.metrics() is None
        assert one.sizes[-1].at_most == 2 and one.figure("view") == "ppl"
        assert "member" in str(one.figure("absent"))
        await wait_until(lambda: any("2 left (by 2)" in line for line in one.lines))
        for each in everybody:
            each.members.close()
            each.peers.close()

    run_async(work)


def test_switched_off_reports_the_configured_size() -> None:
    async def work() -> None:
        one, two = await replicas(free_udp_addresses(2), 2)
        await wait_until(lambda: one.figure("present") == 2)
        two.members.leave()
        await wait_until(lambda: one.sizes[-1].at_most == 1)
        one.members.configure(MembershipSettings(on=False))
        assert one.sizes[-1] == ClusterSize(2, 2, 0, 0, 0, 0) and one.members.metrics() is None
        for each in (one, two):
            each.members.close()
            each.peers.close()

    run_async(work)


def test_informing_again_reports_the_size_at_once() -> None:
    async def work() -> None:
        one, two = await replicas(free_udp_addresses(2), 2)
        await wait_until(lambda: one.figure("present") == 2)
        two.members.leave()
        await wait_until(lambda: one.sizes[-1].at_most == 1)
        one.members.configure(MembershipSettings(informs=False))
        assert one.sizes[-1].at_most == 2
        one.members.configure(QUICK)
        assert one.sizes[-1].at_most == 1
        for each in (one, two):
            each.members.close()
            each.peers.close()

    run_async(work)


def test_reconfigured_peers_change_the_cluster_size() -> None:
    async def work() -> None:
        addresses = free_udp_addresses(3)
        one, two = await replicas(addresses[:2], 2)
        await wait_until(lambda: one.figure("present") == 2)
        for each in (one, two):
            each.peers.set_addresses(addresses, None)
            each.members.configure(QUICK)
        assert one.figure("configured") == 3 and one.figure("unknown") == 1
        for each in (one, two):
            each.members.close()
            each.peers.close()

    run_async(work)


def test_invalid_datagrams_are_counted_by_reason() -> None:
    async def work() -> None:
        addresses = free_udp_addresses(2)
        (one,) = await replicas(addresses, 1)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            stranger.sendto(b"hello", addresses[0])
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
            other.bind(addresses[1])
            other.sendto(b"hello", addresses[0])
            await wait_until(lambda: one.figure("dropped") == {"malformed": 1, "a stranger": 1})
        one.members.close()
        one.peers.close()

    run_async(work)
