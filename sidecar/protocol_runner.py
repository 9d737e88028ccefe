"""Runs a protocol that does no I/O itself: passes it events and the time, and executes its actions."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from typing import ClassVar, Generic, TypeVar

from sidecar.clock import Clock, Timer
from sidecar.cluster.actions import ScheduleTick, SendDatagram
from sidecar.log_events import EventLog, InternalError
from sidecar.peers import Peers

_RETRY_US = 1_000_000  # from an internal error to the next tick, if no tick is scheduled


ProtocolT = TypeVar("ProtocolT")
ActionT = TypeVar("ActionT")


class ProtocolRunner(ABC, Generic[ProtocolT, ActionT]):
    """Passes events to a protocol while it is switched on, and executes its actions."""

    _label: ClassVar[str]  # name of the protocol in log lines

    def __init__(self, clock: Clock, peers: Peers, log: EventLog) -> None:
        self.protocol: ProtocolT | None = None  # None while it is switched off
        self._clock, self._peers, self._log = clock, peers, log
        self._timer = Timer(clock, self._tick)

    @abstractmethod
    def _handle(self, action: ActionT) -> None:
        """Execute an action other than SendDatagram and ScheduleTick."""

    @abstractmethod
    def _tick(self) -> None:
        """Pass a tick to the protocol."""

    def _deliver(self, event: Callable[[ProtocolT, int], Sequence[ActionT]]) -> None:
        """Call `event` with the protocol and the time, and execute the returned actions.

        An exception is logged, and the protocol keeps running.
        """
        protocol, now = self.protocol, self._clock.now()
        if protocol is None:
            return
        try:
            self._execute(event(protocol, now))
        except Exception as error:
            self._log(InternalError(self._label, error))
            if not self._timer.is_set:
                self._timer.schedule(now + _RETRY_US)

    def _execute(self, actions: Sequence[ActionT]) -> None:
        for action in actions:
            if isinstance(action, SendDatagram):
                self._peers.send(action.receiver, action.payload)
            elif isinstance(action, ScheduleTick):
                self._timer.schedule(action.at)
            else:
                self._handle(action)
