"""What a sidecar is told at its start: the JSON configuration, and the environment for what it leaves out."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from zlib import crc32

from balancer import Settings
from balancer.adapter import settings_from_wire
from sidecar.cluster.limits import MAX_CONFIGURATION_VERSION
from sidecar.cluster.settings import MembershipSettings, RolloutSettings
from sidecar.discovery.catalog import Listing, parse_listing
from sidecar.upstream.client import Address, parse_address

_DEFAULT_SOCKETS = 1_024
_DEFAULT_MEMORY_MB = 64


class ConfigError(Exception):
    """The configuration can't be used; the text begins with the key at fault."""


@dataclass(frozen=True, slots=True)
class Config:
    """A sidecar's configuration."""

    name: str
    listen: Address
    discovery: Address
    settings: Settings
    seed: int
    sockets: int
    memory_mb: int
    known: Listing
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    tier: str  # by its name: datagrams of another are not taken
    membership: MembershipSettings
    version: int | None  # of this configuration; None: versions are not compared
    digest: int  # of what all files of this version have alike
    rollout: RolloutSettings
    console: Address | None  # None: there is no door for operators
    socket_fd: int | None  # where the platform holds the clients' listening socket
    folder: Path | None  # for what has to outlive a process


def contents(environ: Mapping[str, str]) -> bytes:
    """What is in the file that `BALANCER_CONFIG` names; raise ConfigError if it can't be read."""
    path = environ.get("BALANCER_CONFIG")
    if not path:
        raise ConfigError("BALANCER_CONFIG: the path of the configuration is needed")
    try:
        return Path(path).read_bytes()
    except OSError as fault:
        raise ConfigError(f"BALANCER_CONFIG: {path} can't be read: {fault}") from None


def load(environ: Mapping[str, str], held: bytes | None = None) -> Config:
    """Read the file that `BALANCER_CONFIG` names, or what it `held`; raise ConfigError on nonsense."""
    data = contents(environ) if held is None else held
    try:
        given = json.loads(data)
    except (ValueError, RecursionError) as fault:
        path = environ.get("BALANCER_CONFIG")
        raise ConfigError(f"BALANCER_CONFIG: {path} can't be read: {fault}") from None
    if not isinstance(given, dict):
        raise ConfigError("BALANCER_CONFIG: the file must hold an object")
    from_environment = {
        key: environ[f"BALANCER_{key.upper()}"]
        for key in ("name", "listen", "discovery")
        if f"BALANCER_{key.upper()}" in environ
    }
    if environ.get("BALANCER_CONSOLE"):
        # At an upgrade two processes may share the file, but not this address: the environment is its own.
        given = {**given, "console": environ["BALANCER_CONSOLE"]}
    return parse({**from_environment, **given}, environ)


def parse(given: Mapping[str, Any], environ: Mapping[str, str] | None = None) -> Config:
    """Check a configuration; raise ConfigError, naming the key, on nonsense."""
    try:
        settings = settings_from_wire(given.get("settings"))
    except ValueError as nonsense:
        text = str(nonsense)
        raise ConfigError(text if text.startswith("settings") else f"settings.{text}") from None
    known = given.get("known")
    try:
        listing = parse_listing(known) if known is not None else Listing(0, True, ())
    except ValueError as nonsense:
        raise ConfigError(f"known: {nonsense}") from None
    peers = given.get("peers") or []
    if not isinstance(peers, list):
        raise ConfigError("peers: a list of addresses is needed")
    version, rollout = _version(given.get("version")), _rollout(given.get("rollout"))
    return Config(
        name=_text(given, "name"),
        listen=_address("listen", given.get("listen")),
        discovery=_address("discovery", given.get("discovery")),
        settings=settings,
        seed=_seed(given.get("seed")),
        sockets=_limit(given.get("limits"), "sockets", 64, _DEFAULT_SOCKETS),
        memory_mb=_limit(given.get("limits"), "memory_mb", 1, _DEFAULT_MEMORY_MB),
        known=listing,
        peer_listen=_optional_address("peer_listen", given.get("peer_listen")),
        peers=tuple(_address(f"peers[{index}]", each) for index, each in enumerate(peers)),
        peers_all=_optional_address("peers_all", given.get("peers_all")),
        tier=str(given["settings"].get("tier", 0)),
        membership=_membership(given.get("membership")),
        version=version,
        digest=0 if version is None else _digest(given, rollout.digest_of),
        rollout=rollout,
        console=_optional_address("console", given.get("console")),
        socket_fd=_descriptor((environ or {}).get("BALANCER_SOCKET_FD")),
        folder=Path(environ["TMPDIR"]) if environ and environ.get("TMPDIR") else None,
    )


def _membership(given: object) -> MembershipSettings:
    try:
        return MembershipSettings.from_mapping(given)
    except ValueError as nonsense:
        raise ConfigError(f"membership.{nonsense}") from None


def _rollout(given: object) -> RolloutSettings:
    try:
        return RolloutSettings.from_mapping(given)
    except ValueError as nonsense:
        raise ConfigError(f"rollout.{nonsense}") from None


def _version(value: object) -> int | None:
    if value is not None and (type(value) is not int or not 0 <= value <= MAX_CONFIGURATION_VERSION):
        raise ConfigError(
            f"version: a whole number from 0 to {MAX_CONFIGURATION_VERSION} is needed, not {value!r:.60}"
        )
    return value


def _digest(given: Mapping[str, Any], keys: tuple[str, ...]) -> int:
    """Four bytes that differ where files of one version differ by mistake; no proof against intent."""
    return crc32(json.dumps([given.get(key) for key in keys], sort_keys=True).encode())


def _text(given: Mapping[str, Any], key: str) -> str:
    value = given.get(key)
    if not isinstance(value, str) or not value:
        raise ConfigError(f"{key}: a text is needed, not {value!r:.60}")
    return value


def _address(key: str, value: object) -> Address:
    try:
        return parse_address(value)
    except ValueError as nonsense:
        raise ConfigError(f"{key}: {nonsense}") from None


def _optional_address(key: str, value: object) -> Address | None:
    return None if value in (None, "") else _address(key, value)


def _seed(value: object) -> int:
    if type(value) is int and value >= 0:
        return value
    try:
        return int(value, 16)  # type: ignore[call-overload, no-any-return]
    except (TypeError, ValueError):
        raise ConfigError(f"seed: hexadecimal digits are needed, not {value!r:.60}") from None


def _descriptor(value: str | None) -> int | None:
    if not value:
        return None
    if not value.isascii() or not value.isdecimal():
        raise ConfigError(f"BALANCER_SOCKET_FD: a number is needed, not {value!r:.60}")
    return int(value)


def _limit(limits: object, key: str, least: int, default: int) -> int:
    if limits is None:
        return default
    if not isinstance(limits, Mapping):
        raise ConfigError("limits: an object is needed")
    value = limits.get(key, default)
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if type(value) is not int or value < least:
        raise ConfigError(f"limits.{key}: a whole number from {least} is needed, not {value!r:.60}")
    return value
