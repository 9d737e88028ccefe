"""The states of a client connection and the transitions between them."""

from __future__ import annotations

from enum import Enum, unique


@unique
class ConnectionState(Enum):
    """The state of a client connection."""

    READING = "reading"  # waiting for the first request, or receiving a request
    AWAITING_RESPONSE = "awaiting response"  # a request was accepted; it gets exactly one response
    STREAMING_RESPONSE = "streaming response"  # the response has begun and is forwarded as it arrives
    IDLE = "idle"  # the last request was answered; nothing was received since
    LINGERING = "lingering"  # our side is closed; what the client still sends is discarded
    CLOSED = "closed"

    successors: tuple[ConnectionState, ...]


# Any connection may be lost or aborted at any time.  A connection that ends while a response is in transit
# goes through LINGERING, in which received data is not read as a request.
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
