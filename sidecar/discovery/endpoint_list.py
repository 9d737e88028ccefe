"""Endpoint lists: decoded from the JSON form of discovery, strictly and without I/O.

The keys and the names of states are fixed by the platform; they are mapped to the balancer's terms here and
nowhere else.  Whether a list is newer than the last one is up to `endpoint_list_tracker`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from balancer.events import EndpointEntry, EndpointListKind, EndpointListReceived, EndpointState
from sidecar.address import Address, parse_address
from sidecar.errors import SidecarError

_STATE_BY_NAME = {
    "active": EndpointState.READY,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.GONE,
}
_MAX_NUMBER = 2**53  # every integer below is exact in JSON


class EndpointListError(SidecarError):
    """An endpoint list is invalid; the message begins with the key at fault."""


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """An entry of an endpoint list, and where the server can be reached."""

    entry: EndpointEntry
    address: Address | None  # None: the server is gone


@dataclass(frozen=True, slots=True)
class EndpointList:
    """A response of discovery."""

    version: int
    is_complete: bool  # servers that are not in it are gone; else it holds changed entries only
    endpoints: tuple[ListedEndpoint, ...]

    def event(self, kind: EndpointListKind | None = None) -> EndpointListReceived:
        """Return the list as an event for the balancer, by default of the kind that it is."""
        content_kind = EndpointListKind.COMPLETE if self.is_complete else EndpointListKind.CHANGES
        entries = [endpoint.entry for endpoint in self.endpoints]
        return EndpointListReceived(kind or content_kind, entries, self.version)


def parse_endpoint_list(document: object) -> EndpointList:
    """Decode an endpoint list; raise EndpointListError if it is invalid."""
    if not isinstance(document, dict):
        raise EndpointListError("an object is needed")
    version, is_complete, servers = document.get("version"), document.get("full"), document.get("servers")
    if type(version) is not int or version < 0:
        raise EndpointListError(f"version: a whole number is needed, not {version!r:.60}")
    if not isinstance(is_complete, bool):
        raise EndpointListError(f"full: true or false is needed, not {is_complete!r:.60}")
    if not isinstance(servers, list):
        raise EndpointListError(f"servers: a list is needed, not {servers!r:.60}")
    return EndpointList(version, is_complete, tuple(_listed_endpoint(server) for server in servers))


def _listed_endpoint(server: object) -> ListedEndpoint:
    if not isinstance(server, dict):
        raise EndpointListError("servers: an object is needed for each")
    name = server.get("id")
    if not isinstance(name, str) or not name:
        raise EndpointListError(f"servers: an id is needed, not {name!r:.60}")
    state = _state(server, name)
    started_ms = _number(server, "started_ms", 0)
    entry = EndpointEntry(
        server=name,
        zone=_text(server, "zone"),
        machine_type=_text(server, "kind"),
        cell=int(_number(server, "cell", 0)),
        state=state,
        nominal_capacity=_number(server, "weight", 1.0),
        started_at=int(started_ms * 1_000) or None,
    )
    return ListedEndpoint(entry, None if state is EndpointState.GONE else _address(server))


def _state(server: Mapping[str, Any], name: str) -> EndpointState:
    try:
        return _STATE_BY_NAME[server["state"]]
    except (KeyError, TypeError):
        raise EndpointListError(f"servers: unknown state {server.get('state')!r:.60} of {name:.60}") from None


def _address(server: Mapping[str, Any]) -> Address:
    try:
        return parse_address(server.get("addr"))
    except ValueError as error:
        raise EndpointListError(str(error)) from None


def _text(server: Mapping[str, Any], key: str) -> str:
    value = server.get(key)
    if value is None:
        return ""
    if not isinstance(value, str):
        raise EndpointListError(f"servers: {key}: a text is needed, not {value!r:.60}")
    return value


def _number(server: Mapping[str, Any], key: str, default: float) -> float:
    value = server.get(key)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < _MAX_NUMBER:
        raise EndpointListError(f"servers: {key}: a number is needed, not {value!r:.60}")
    return value
