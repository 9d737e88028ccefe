"""Ports of the reference runs, which pass batches of events to balancers and return their replies."""

from __future__ import annotations

import json
from typing import Any, Protocol

import balancer_vocabulary as vocabulary

Message = list[Any]


class Port(Protocol):
    """Passes a batch of events to balancers and returns the lines of their replies."""

    def exchange(self, now: int, batch: list[Message]) -> list[str]: ...


class WirePort:
    """Passes batches through the simulator adapter, as the simulator does."""

    def __init__(self) -> None:
        self._adapter = vocabulary.SimulatorAdapter()

    def exchange(self, now: int, batch: list[Message]) -> list[str]:
        for message in (["FRAME", now], *batch):
            assert self._adapter.receive_line(json.dumps(message)) is None
        reply = self._adapter.receive_line('["COMMIT"]')
        assert reply is not None
        return reply


class DirectPort:
    """Passes events to balancers directly, since the wire protocol does not support all of them."""

    def __init__(self) -> None:
        self._balancers: dict[str, vocabulary.Balancer] = {}
        self._pages: dict[int, list[Message]] = {}

    def exchange(self, now: int, batch: list[Message]) -> list[str]:
        replies: list[Message] = []
        for message in batch:
            name, instance = message[0], message[1]
            if name == "PAGE":
                self._pages[message[1]] = message[2]
            elif name == "BEGIN":
                self._balancers[instance] = vocabulary.begin(message[2], message[3])
            elif name == "EXIT":
                del self._balancers[instance]
            else:
                balancer = self._balancers[instance]
                actions = balancer.handle(now, vocabulary.event(message, self._pages))
                replies += [vocabulary.rendered(instance, action) for action in actions]
                replies.append(["COUNTS", instance, *vocabulary.counts(balancer)])
        return [json.dumps(reply, separators=(",", ":")) for reply in replies]
