"""The states of a client connection and the transitions between them."""

from __future__ import annotations

from enum import Enum, unique


@unique
class ConnectionState(Enum):
    """Where in its life a client connection is."""

    READING = "reading"  # its first request is awaited, or a request is arriving
    AWAITING_RESPONSE = "awaiting response"  # a request was accepted: exactly one response is owed
    STREAMING_RESPONSE = "streaming response"  # the response has begun and is forwarded as it arrives
    IDLE = "idle"  # the last request was answered, and nothing of another has arrived
    LINGERING = "lingering"  # our side is closed; what the client still sends is discarded
    CLOSED = "closed"

    successors: tuple[ConnectionState, ...]


# Any connection may be lost or aborted at any time.  One that ends while a response is on its way ends by
# lingering, and nothing that arrives after that is read as a request.
TRANSITIONS = {
    ConnectionState.READING: {
        ConnectionState.AWAITING_RESPONSE,
        ConnectionState.IDLE,
        ConnectionState.LINGERING,
        ConnectionState.CLOSED,
    },
    ConnectionState.AWAITING_RESPONSE: {
        ConnectionState.STREAMING_RESPONSE,
        ConnectionState.IDLE,
        ConnectionState.LINGERING,
        ConnectionState.CLOSED,
    },
    ConnectionState.STREAMING_RESPONSE: {
        ConnectionState.IDLE,
        ConnectionState.LINGERING,
        ConnectionState.CLOSED,
    },
    ConnectionState.IDLE: {
        ConnectionState.READING,
        ConnectionState.LINGERING,
        ConnectionState.CLOSED,
    },
    ConnectionState.LINGERING: {ConnectionState.CLOSED},
    ConnectionState.CLOSED: set(),
}
for _state in ConnectionState:
    _state.successors = tuple(TRANSITIONS[_state])  # a short tuple is searched faster than a set of enums
