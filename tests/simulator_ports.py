"""Ports of the reference runs: how a batch of events reaches the balancers, and what they reply."""

from __future__ import annotations

import json
from typing import Any, Protocol

import balancer_vocabulary as vocabulary

Message = list[Any]


class Port(Protocol):
    """Takes one batch of events and gives the lines of its reply."""

    def exchange(self, now: int, batch: list[Message]) -> list[str]: ...


class WirePort:
    """Plays batches through the adapter, as the simulator would."""

    def __init__(self) -> None:
        self._adapter = vocabulary.SimulatorAdapter()

    def exchange(self, now: int, batch: list[Message]) -> list[str]:
        for message in (["FRAME", now], *batch):
            assert self._adapter.receive_line(json.dumps(message)) is None
        reply = self._adapter.receive_line('["COMMIT"]')
        assert reply is not None
        return reply


class DirectPort:
    """Plays events to balancers without the wire, which does not carry all of them."""

    def __init__(self) -> None:
        self._balancers: dict[str, vocabulary.Balancer] = {}
        self._pages: dict[int, list[Message]] = {}

    def exchange(self, now: int, batch: list[Message]) -> list[str]:
        replies: list[Message] = []
        for message in batch:
            name, who = message[0], message[1]
            if name == "PAGE":
                self._pages[message[1]] = message[2]
            elif name == "BEGIN":
                self._balancers[who] = vocabulary.begin(message[2], message[3])
            elif name == "EXIT":
                del self._balancers[who]
            else:
                balancer = self._balancers[who]
                actions = balancer.handle(now, vocabulary.event(message, self._pages))
                replies += [vocabulary.rendered(who, action) for action in actions]
                replies.append(["COUNTS", who, *vocabulary.counts(balancer)])
        return [json.dumps(reply, separators=(",", ":")) for reply in replies]
