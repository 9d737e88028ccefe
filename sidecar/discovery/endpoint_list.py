"""Decodes endpoint lists from discovery's JSON format, with strict validation and without I/O.

The platform defines the keys and the names of states.  They are mapped to the balancer's terms only in this
module.  `endpoint_list_tracker` decides whether a list is newer than the last one.
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
_MAX_NUMBER = 2**53  # all smaller integers are represented exactly by JSON numbers


class EndpointListError(SidecarError):
    """An endpoint list is invalid; the message begins with the key at fault."""


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """An entry of an endpoint list, and the address of the server."""

    entry: EndpointEntry
    address: Address | None  # None if the server is gone


@dataclass(frozen=True, slots=True)
class EndpointList:
    """A response of discovery: a complete endpoint list, or changes to one."""

    version: int
    is_complete: bool  # if true, unlisted servers are gone; otherwise only changed entries are listed
    endpoints: tuple[ListedEndpoint, ...]

    def event(self, kind: EndpointListKind | None = None) -> EndpointListReceived:
        """Return the list as an event for the balancer.

        `kind` defaults to COMPLETE or CHANGES, depending on the list.
        """
        content_kind = EndpointListKind.COMPLETE if self.is_complete else EndpointListKind.CHANGES
        entries = [endpoint.entry for endpoint in self.endpoints]
        return EndpointListReceived(kind or content_kind, entries, self.version)


def parse_endpoint_list(document: object) -> EndpointList:
    """Decode an endpoint list; raises EndpointListError that begins with the invalid key."""
    if not isinstance(document, dict):
        raise EndpointListError(f"must be an object, got {document!r:.60}")
    version, is_complete, servers = document.get("version"), document.get("full"), document.get("servers")
    if type(version) is not int or version < 0:
        raise EndpointListError(f"version: must be a non-negative integer, got {version!r:.60}")
    if not isinstance(is_complete, bool):
        raise EndpointListError(f"full: must be true or false, got {is_complete!r:.60}")
    if not isinstance(servers, list):
        raise EndpointListError(f"servers: must be a list, got {servers!r:.60}")
    return EndpointList(version, is_complete, tuple(_listed_endpoint(server) for server in servers))


def _listed_endpoint(server: object) -> ListedEndpoint:
    if not isinstance(server, dict):
        raise EndpointListError(f"servers: each must be an object, got {server!r:.60}")
    name = server.get("id")
    if not isinstance(name, str) or not name:
        raise EndpointListError(f"servers: id: must be a non-empty string, got {name!r:.60}")
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
        raise EndpointListError(
            f"servers: state: must be one of {', '.join(_STATE_BY_NAME)}, got {server.get('state')!r:.60} "
            f"for {name:.60}"
        ) from None


def _address(server: Mapping[str, Any]) -> Address:
    try:
        return parse_address(server.get("addr"))
    except ValueError as error:
        raise EndpointListError(f"servers: addr: {error}") from None


def _text(server: Mapping[str, Any], key: str) -> str:
    value = server.get(key)
    if value is None:
        return ""
    if not isinstance(value, str):
        raise EndpointListError(f"servers: {key}: must be a string, got {value!r:.60}")
    return value


def _number(server: Mapping[str, Any], key: str, default: float) -> float:
    value = server.get(key)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < _MAX_NUMBER:
        raise EndpointListError(f"servers: {key}: must be a number from 0 to below 2**53, got {value!r:.60}")
    return value
