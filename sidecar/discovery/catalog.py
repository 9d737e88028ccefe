"""The list of servers: read from discovery's form, and whether what is read is news.

One owner for both, without I/O: the pool and the decisions hear what `Catalog.admit` lets through and
nothing else, whatever calls have crossed on the way.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

from balancer.events import EndpointEntry, EndpointListKind, EndpointListReceived, EndpointState
from sidecar.address import Address, parse_address

_MOST_LEFT = 1_024  # servers that left and are remembered, so that a late list can't bring them back
_STATES = {"active": EndpointState.READY, "leaving": EndpointState.DRAINING, "left": EndpointState.GONE}


@dataclass(frozen=True, slots=True)
class Entry:
    """A line of the list, with where the server can be reached from here."""

    listed: EndpointEntry
    address: Address | None  # None: it left


@dataclass(frozen=True, slots=True)
class Listing:
    """An answer of discovery."""

    version: int
    full: bool
    entries: tuple[Entry, ...]

    def event(self, kind: EndpointListKind | None = None) -> EndpointListReceived:
        by_form = EndpointListKind.COMPLETE if self.full else EndpointListKind.CHANGES
        return EndpointListReceived(kind or by_form, [each.listed for each in self.entries], self.version)


def parse_listing(given: object) -> Listing:
    """Read a list of servers in discovery's form; raise ValueError on nonsense."""
    if not isinstance(given, dict):
        raise ValueError("an object is needed")
    version, full, servers = given.get("version"), given.get("full"), given.get("servers")
    if type(version) is not int or version < 0:
        raise ValueError(f"version: a whole number is needed, not {version!r:.60}")
    if not isinstance(full, bool):
        raise ValueError(f"full: true or false is needed, not {full!r:.60}")
    if not isinstance(servers, list):
        raise ValueError(f"servers: a list is needed, not {servers!r:.60}")
    return Listing(version, full, tuple(_entry(each) for each in servers))


def _entry(given: object) -> Entry:
    if not isinstance(given, dict):
        raise ValueError("servers: an object is needed for each")
    name = given.get("id")
    if not isinstance(name, str) or not name:
        raise ValueError(f"servers: an id is needed, not {name!r:.60}")
    try:
        state = _STATES[given["state"]]
    except (KeyError, TypeError):
        raise ValueError(f"servers: unknown state {given.get('state')!r:.60} of {name:.60}") from None
    address = None if state is EndpointState.GONE else parse_address(given.get("addr"))
    started_ms = _number(given, "started_ms", 0)
    listed = EndpointEntry(
        server=name,
        zone=_text(given, "zone"),
        machine_type=_text(given, "kind"),
        cell=int(_number(given, "cell", 0)),
        state=state,
        nominal_capacity=_number(given, "weight", 1.0),
        started_at=int(started_ms * 1_000) or None,
    )
    return Entry(listed, address)


def _text(given: dict[str, Any], key: str) -> str:
    value = given.get(key)
    if value is None:
        return ""
    if not isinstance(value, str):
        raise ValueError(f"servers: {key}: a text is needed, not {value!r:.60}")
    return value


def _number(given: dict[str, Any], key: str, default: float) -> float:
    value = given.get(key)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < 2**53:
        raise ValueError(f"servers: {key}: a number is needed, not {value!r:.60}")
    return value


class Inconsistent(ValueError):
    """An answer that can't be applied to the list held: only a whole list will do."""


class Catalog:
    """The list as this process holds it: its version, and what is known of each server in it.

    Calls may overlap: an answer counts by when its call began.  `begin` gives a call's place; the place of
    the list held is that at which it was heard.
    """

    def __init__(self, known: Listing) -> None:
        self.version = known.version
        self._order = 0  # of calls begun and lists heard
        self._heard_at = 0
        self._is_unbroken = False  # whether no call failed since the list was heard
        self._wants_whole = False
        self._servers = {each.listed.server: each.listed for each in known.entries}
        self._left: dict[str, int] = {}  # servers that left, the latest last, and when each had started

    @property
    def after(self) -> int | None:
        """The version after which news is wanted; None: the whole list is."""
        return None if self._wants_whole else self.version

    def begin(self) -> int:
        """A call begins: its place among calls and lists."""
        self._order += 1
        return self._order

    def broken(self) -> None:
        """A call failed, or discovery moved: what answers next may count its versions anew."""
        self._is_unbroken = False

    def admit(self, listing: Listing, begun: int, after: int | None) -> Listing | None:
        """Take over an answer to a call for news after that version; None where it is no news.

        A lower version is none while calls go on without a break.  After one it may be that of a discovery
        that was started anew: a whole list is then taken, but no server that was told to be leaving or gone
        comes back by it unless it has started since.  So nothing is lost if the list was only late.
        """
        if not listing.full and after is not None and after > self.version:
            return None  # it goes by a list that is held no more
        if listing.version < self.version:
            if self._is_unbroken or begun <= self._heard_at:
                return None
            if not listing.full:
                self._wants_whole = True
                raise Inconsistent(f"changes up to {listing.version} for a list of {self.version}")
            listing = replace(listing, entries=tuple(self._not_revived(each) for each in listing.entries))
        self._take_over(listing)
        return listing

    def _not_revived(self, entry: Entry) -> Entry:
        """What an older list says of a server, but for what a newer one said against it."""
        now = entry.listed
        before, left = self._servers.get(now.server), self._left.get(now.server)
        if left is not None and (now.started_at or 0) <= left:
            return Entry(replace(now, state=EndpointState.GONE), None)
        if before is None or (now.started_at or 0) > (before.started_at or 0):
            return entry
        state = now.state if before.state is EndpointState.READY else EndpointState.DRAINING
        return Entry(replace(now, state=state, started_at=before.started_at), entry.address)

    def _take_over(self, listing: Listing) -> None:
        self.version = listing.version
        self._heard_at = self.begin()
        self._is_unbroken = True
        if listing.full:
            self._wants_whole = False
            for name in self._servers.keys() - {each.listed.server for each in listing.entries}:
                self._leave(name, None)
        for each in listing.entries:
            if each.listed.state is EndpointState.GONE:
                self._leave(each.listed.server, each.listed.started_at)
            else:
                self._left.pop(each.listed.server, None)
                self._servers[each.listed.server] = each.listed

    def _leave(self, name: str, started_at: int | None) -> None:
        before = self._servers.pop(name, None)
        held = before.started_at if before is not None else None
        self._left.pop(name, None)
        self._left[name] = max(held or 0, started_at or 0)
        if len(self._left) > _MOST_LEFT:
            del self._left[next(iter(self._left))]
