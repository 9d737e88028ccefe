"""Case 10: servers begin to drain while a sidecar is restarted, and the agent that pushes lists is slow."""

from __future__ import annotations

import asyncio
import itertools
import signal
import time

from standins2 import Client, Discovery, Message, Place, Record, Server, every, lane, main, settings

GRACE_S = 2.05  # `drainGraceUs` of the settings, and the 50 ms that the protocol page adds
CALL_S = 3.0  # that a call to the slow agent takes
DOWN_S = 0.5
DRAINED = 2  # of eight servers
STARTING_S = 0.1  # from the time that is noted to the first moment of the process, at most


class Agent(Discovery):
    """An agent whose answers may come late."""

    delay_s = 0.0

    def __init__(self, record: Record, servers: list[Server]) -> None:
        super().__init__(record, servers)
        self._servers_listed = servers

    async def before_answer(self) -> None:
        """Wait for as long as a call takes."""
        await asyncio.sleep(self.delay_s)


class Node(Server):
    """A server that notes when requests arrive."""

    def __init__(self, name: str, place: Place, zone: str) -> None:
        super().__init__(name, place.record, zone, work_s=0.06)
        self.arrived_at: list[float] = []

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Answer a request."""
        self.arrived_at.append(time.monotonic())
        await super().answer(request, writer)


async def case(place: Place) -> list[str]:
    """Kill the sidecar, drain a server, start the sidecar with the list that it last had."""
    nodes = [Node(f"node-{number}", place, "ab"[number % 2]) for number in range(8)]
    agent = Agent(place.record, list(nodes))
    await place.start_parties(*nodes, agent)
    lanes = settings([lane("look", is_safe=True), lane("book", is_safe=False)])
    lanes["discovery"] = "pushed"
    kinds = itertools.cycle([True, True, True, False])
    last_list = agent.document()
    sidecar = await place.start_sidecar("n0", agent, lanes)
    client = Client(sidecar.port, place.record)

    async def send() -> None:
        is_safe = next(kinds)
        await client.request("look" if is_safe else "book", is_safe=is_safe, timeout_s=0.75)

    async with every(1 / 60, send):
        await asyncio.sleep(4.0)
    client.close()
    sidecar.signal(signal.SIGKILL)
    await sidecar.process.wait()
    drained = sorted(nodes, key=lambda node: -len(node.arrived_at))[:DRAINED]
    for node in drained:
        node.state = "leaving"
        node.arrived_at.clear()
        place.record("platform", "server drains", server=node.name)
    agent.publish()
    await asyncio.sleep(DOWN_S)

    agent.delay_s = CALL_S if place.has_trouble else 0.0
    told_at = time.monotonic()  # the first moment of the new process: it is not started yet
    sidecar = await place.start_sidecar("n0", agent, lanes, known=last_list)
    client = Client(sidecar.port, place.record, "client-again")
    async with every(1 / 60, send):
        await asyncio.sleep(6.0)
    late = [
        f"{node.name} was sent a request {at - told_at:.2f} s after the process was told"
        for node in drained
        for at in node.arrived_at
        if at - told_at > GRACE_S + STARTING_S
    ]
    arrived = sum(len(node.arrived_at) for node in drained)
    print(f"the draining servers got {arrived} requests after the restart, {len(late)} of them late")
    return late


if __name__ == "__main__":
    main(case)
