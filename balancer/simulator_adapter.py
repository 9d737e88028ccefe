"""Connects balancers to the simulator by its wire protocol, with one JSON array per line.

The adapter only translates messages; it takes no decisions.  Run it as `python -m
balancer.simulator_adapter`. Invalid input ends the process with one line on standard error and exit code 2.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterable, Mapping
from typing import Any, TextIO, TypeVar, assert_never

from balancer.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    Fail,
    HealthCheck,
    Log,
    PollEndpoints,
    Reject,
    SendAttempt,
    SendPeerMessage,
    SetTimer,
    WatchEndpoints,
)
from balancer.balancer import Balancer
from balancer.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointEntry,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    Event,
    HealthCheckEnded,
    Outcome,
    PeerMessageReceived,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from balancer.settings_wire import settings_from_wire

EXIT_BAD_INPUT = 2
MAX_ERROR_LENGTH = 500

_Member = TypeVar("_Member")
_Message = list[Any]  # the name of the message, then its values


class WireError(Exception):
    """An input line that violates the wire protocol."""


# ---------------------------------------------------------------------------------------------------
# Values of a message

_LIST_KINDS = {
    "delta": EndpointListKind.CHANGES,
    "full": EndpointListKind.COMPLETE,
    "cached": EndpointListKind.CACHED,
    "failed": EndpointListKind.FAILED,
}
_STATES = {state.value: state for state in EndpointState}
_OUTCOMES = {
    "delivered": Outcome.DELIVERED,
    "app_error": Outcome.ERROR,
    "shed": Outcome.FULL,
    "expired": Outcome.TIMED_OUT,
    "dial_failed": Outcome.CONNECT_FAILED,
    "dropped": Outcome.CONNECTION_LOST,
    "revoked": Outcome.CANCELLED,
    "unused": Outcome.NOT_SENT,
}
_MIN_ENTRY_LENGTH = 6
# Bits of the flags of a request.
_HAS_COST_HINT, _IS_CLIENT_RETRY, _IS_WRITE = 1, 2, 4
_ALL_PEERS = -1


def _integer(value: object) -> int:
    if type(value) is not int:
        raise WireError(f"expected an integer, not {value!r:.60}")
    return value


def _optional_integer(value: object) -> int | None:
    return None if value is None else _integer(value)


def _string(value: object) -> str:
    if type(value) is not str:
        raise WireError(f"expected a string, not {value!r:.60}")
    return value


def _boolean(value: object) -> bool:
    if type(value) is not bool:
        raise WireError(f"expected true or false, not {value!r:.60}")
    return value


def _number(value: object, error_text: str) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise WireError(error_text)
    return value


def _enum_member(value: object, members: Mapping[str, _Member]) -> _Member:
    member = members.get(value) if isinstance(value, str) else None
    if member is None:
        raise WireError(f"unknown value {value!r:.60}, expected one of " + ", ".join(members))
    return member


def _load_report(value: object) -> Mapping[str, float] | None:
    if value is None:
        return None
    if not isinstance(value, dict):
        raise WireError("a load report must be an object")
    for number in value.values():
        _number(number, f"the values of a load report must be numbers, not {number!r:.60}")
    return value


def _payload(value: object) -> bytes:
    try:
        return bytes.fromhex(_string(value))
    except ValueError:
        raise WireError(f"expected hex digits, not {value!r:.60}") from None


def _endpoint_entry(entry: object) -> EndpointEntry:
    if not isinstance(entry, list) or len(entry) < _MIN_ENTRY_LENGTH:
        raise WireError(f"an entry of an endpoint list needs at least {_MIN_ENTRY_LENGTH} values")
    nominal = _number(entry[5], "a nominal capacity must be a number")
    started_at = _optional_integer(entry[6]) if len(entry) > _MIN_ENTRY_LENGTH else None
    return EndpointEntry(
        server=_string(entry[0]),
        zone=_string(entry[1]),
        machine_type=_string(entry[2]),
        cell=_integer(entry[3]),
        state=_enum_member(entry[4], _STATES),
        nominal_capacity=float(nominal),
        started_at=started_at or None,  # 0: long ago
    )


# ---------------------------------------------------------------------------------------------------
# Events and actions


def _request_arrived(message: _Message) -> Event:
    flags = _integer(message[8])
    return RequestArrived(
        request=_integer(message[2]),
        service_class=_string(message[3]),
        tenant=None if message[4] is None or message[4] == 0 else _string(message[4]),
        key=_optional_integer(message[5]),
        remaining_us=_integer(message[6]),
        cost_us=_optional_integer(message[7]) if flags & _HAS_COST_HINT else None,
        is_client_retry=bool(flags & _IS_CLIENT_RETRY),
        is_write=bool(flags & _IS_WRITE),
    )


def _response_started(message: _Message) -> Event:
    return ResponseStarted(
        request=_integer(message[2]),
        attempt=_integer(message[3]),
        server=_string(message[5]),
        elapsed_us=_integer(message[4]),
    )


def _attempt_ended(message: _Message) -> Event:
    return AttemptEnded(
        request=_integer(message[2]),
        attempt=_integer(message[3]),
        server=_string(message[4]),
        outcome=_enum_member(message[5], _OUTCOMES),
        elapsed_us=_integer(message[6]),
        is_request_answered=_boolean(message[7]),
        load_report=_load_report(message[8]) if len(message) > 8 else None,
    )


def _health_check_ended(message: _Message) -> Event:
    return HealthCheckEnded(
        server=_string(message[4]),
        outcome=_enum_member(message[3], _OUTCOMES),
        elapsed_us=_integer(message[2]),
        load_report=_load_report(message[5]) if len(message) > 5 else None,
    )


def _client_disconnected(message: _Message) -> Event:
    return ClientDisconnected(_integer(message[2]))


def _timer_fired(message: _Message) -> Event:
    return TimerFired(_string(message[2]))


def _peer_message_received(message: _Message) -> Event:
    return PeerMessageReceived(_integer(message[2]), _payload(message[3]))


# By message name: the minimal length of the message, including its name, and the function that reads it.
_EVENTS: dict[str, tuple[int, Callable[[_Message], Event]]] = {
    "WORK_ITEM": (9, _request_arrived),
    "FIRST": (6, _response_started),
    "ATTEMPT_END": (8, _attempt_ended),
    "CLIENT_GONE": (3, _client_disconnected),
    "WAKE": (3, _timer_fired),
    "SAMPLED": (5, _health_check_ended),
    "MEMO": (4, _peer_message_received),
}


def _action_message(action: Action) -> tuple[str, list[Any]]:
    """Return the name of an action's message, and its values without the name of the instance."""
    message: tuple[str, list[Any]]
    match action:
        case SendAttempt():
            message = "ASSIGN", [action.request, action.server, action.deadline]
        case Reject():
            message = "NOT_NOW", [action.request, action.retry_after_us]
        case Fail():
            message = "SURRENDER", [action.request]
        case CancelAttempt():
            message = "ABORT_ATTEMPT", [action.request, action.attempt]
        case SetTimer():
            message = "REMIND", [action.delay_us, action.token]
        case HealthCheck():
            message = "CHECK", [action.server]
        case CloseIdleConnections():
            message = "SHUT_IDLE", [action.server]
        case SendPeerMessage():
            receiver = _ALL_PEERS if action.receiver is None else action.receiver
            message = "POST", [receiver, action.payload.hex()]
        case WatchEndpoints():
            message = "FOLLOW", [action.is_enabled]
        case PollEndpoints():
            message = "REFRESH", []
        case Log():
            message = "REMARK", [action.text]
        case _:
            assert_never(action)
    return message


def _encode_action(instance: str, action: Action) -> str:
    name, values = _action_message(action)
    return json.dumps([name, instance, *values], separators=(",", ":"))


# ---------------------------------------------------------------------------------------------------
# Batches


class SimulatorAdapter:
    """Hosts independent balancers and passes batches of messages to them."""

    def __init__(self) -> None:
        self._balancers: dict[str, Balancer] = {}
        self._pages: dict[int, list[EndpointEntry]] = {}  # endpoint lists by their number
        self._now = 0
        self._is_in_batch = False
        self._reply: list[str] = []

    def receive_line(self, text: str) -> list[str] | None:
        """Process one line; return the lines of the reply at the end of a batch, else None.

        Raises WireError if the line is invalid or not allowed at this place.
        """
        message = self._parse(text)
        name = message[0]
        if name == "FRAME":
            if self._is_in_batch:
                raise WireError("FRAME inside a batch")
            self._require_values(message, 2)
            self._now, self._is_in_batch, self._reply = _integer(message[1]), True, []
            return None
        if not self._is_in_batch:
            raise WireError(f"{name!r:.60} outside a batch")
        if name == "COMMIT":
            self._is_in_batch = False
            return [*self._reply, '["DONE"]']
        self._receive_message(message)
        return None

    @staticmethod
    def _parse(text: str) -> _Message:
        try:
            message = json.loads(text)
        except (ValueError, RecursionError):
            raise WireError("the line is not JSON") from None
        if not isinstance(message, list) or not message:
            raise WireError("a message must be a JSON array that starts with the message name")
        return message

    @staticmethod
    def _require_values(message: _Message, count: int) -> None:
        if len(message) < count:
            raise WireError(f"{message[0]} needs {count - 1} values, got {len(message) - 1}")

    def _receive_message(self, message: _Message) -> None:
        name = message[0]
        if name == "PAGE":
            self._receive_page(message)
            return
        if not isinstance(name, str) or name not in ("BEGIN", "EXIT", "TARGETS", *_EVENTS):
            raise WireError(f"unknown message {name!r:.60}")
        self._require_values(message, 2)
        instance = _string(message[1])
        if name == "BEGIN":
            self._begin(instance, message)
            return
        balancer = self._balancers.get(instance)
        if balancer is None:
            raise WireError(f"{name} for instance {instance!r:.60}, which has not begun")
        if name == "EXIT":
            del self._balancers[instance]
        elif name == "TARGETS":
            self._require_values(message, 5)
            self._handle(instance, balancer, self._endpoint_list(message))
        else:
            count, read = _EVENTS[name]
            self._require_values(message, count)
            self._handle(instance, balancer, read(message))

    def _receive_page(self, message: _Message) -> None:
        self._require_values(message, 3)
        if not isinstance(message[2], list):
            raise WireError("the entries of a PAGE must be an array")
        self._pages[_integer(message[1])] = [_endpoint_entry(entry) for entry in message[2]]

    def _begin(self, instance: str, message: _Message) -> None:
        self._require_values(message, 4)
        try:
            self._balancers[instance] = Balancer(settings_from_wire(message[3]), _integer(message[2]))
        except ValueError as error:
            raise WireError(f"settings: {error}") from None

    def _endpoint_list(self, message: _Message) -> EndpointListReceived:
        kind = _enum_member(message[2], _LIST_KINDS)
        if kind is EndpointListKind.FAILED:
            return EndpointListReceived(kind)
        page = self._pages.get(_integer(message[3]))
        if page is None:
            raise WireError(f"TARGETS refers to list {message[3]}, which no PAGE has defined")
        return EndpointListReceived(kind, page, _integer(message[4]))

    def _handle(self, instance: str, balancer: Balancer, event: Event) -> None:
        try:
            actions = balancer.handle(self._now, event)
        except Exception as error:  # the protocol reports defects of the balancer as INTERNAL_ERROR
            text = f"{type(error).__name__}: {error}"[:MAX_ERROR_LENGTH]
            self._reply.append(json.dumps(["INTERNAL_ERROR", instance, text]))
            return
        for action in actions:
            self._reply.append(_encode_action(instance, action))


def run(lines: Iterable[str], out: TextIO, err: TextIO) -> int:
    """Process all lines; return the exit code."""
    adapter = SimulatorAdapter()
    for number, text in enumerate(lines, 1):
        try:
            reply = adapter.receive_line(text)
        except WireError as error:
            err.write(f"line {number}: {error}\n")
            return EXIT_BAD_INPUT
        if reply is not None:
            out.write("\n".join(reply) + "\n")
            out.flush()
    return 0


def main() -> int:
    """Process standard input and reply on standard output; return the exit code."""
    sys.stdin.reconfigure(encoding="utf-8", errors="replace")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    return run(sys.stdin, sys.stdout, sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
