"""Reads the JSON configuration file, and the environment variables that supplement it, into typed values.

The keys of the file and the environment variables must not change.  They are mapped to the fields of
`Configuration` only in this module.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from zlib import crc32

from balancer import Settings
from balancer.settings_wire import settings_from_wire
from sidecar.address import Address, parse_address
from sidecar.cluster.settings import MembershipSettings, RolloutSettings
from sidecar.discovery.endpoint_list import EndpointList, EndpointListError, parse_endpoint_list
from sidecar.errors import SidecarError

_FILE_VARIABLE = "BALANCER_CONFIG"
_ADMIN_VARIABLE = "BALANCER_CONSOLE"
_DESCRIPTOR_VARIABLE = "BALANCER_SOCKET_FD"
# Environment variables that provide the defaults of keys which the file omits.
_VARIABLE_BY_KEY = {
    "name": "BALANCER_NAME",
    "listen": "BALANCER_LISTEN",
    "discovery": "BALANCER_DISCOVERY",
}
_DEFAULT_MAX_SOCKETS = 1_024
_MIN_MAX_SOCKETS = 64
_DEFAULT_MEMORY_MB = 64
_MAX_VERSION = (1 << 63) - 1
# Fields that only take effect at a restart, with their keys in the file.  The known endpoints and the seed
# are not included: they are only used at the start too, but differ in every file.
_KEY_BY_RESTART_FIELD = {
    "name": "name",
    "listen_address": "listen",
    "settings": "settings",
    "max_sockets": "sockets",
    "memory_mb": "memory_mb",
    "peer_listen_address": "peer_listen",
    "cluster": "tier",
    "admin_address": "console",
}


class ConfigurationError(SidecarError):
    """The configuration is invalid; the message begins with the key or environment variable at fault."""


@dataclass(frozen=True, slots=True)
class Configuration:
    """A sidecar's configuration."""

    name: str
    listen_address: Address
    discovery_address: Address
    settings: Settings
    seed: int
    max_sockets: int
    memory_mb: int
    known_endpoints: EndpointList  # the last known endpoint list, used until discovery answers
    peer_listen_address: Address | None
    peer_addresses: tuple[Address, ...]  # of all sidecars of the cluster, including this one
    broadcast_address: Address | None  # reaches all other sidecars of the cluster
    cluster: str  # name of the cluster; datagrams of other clusters are dropped
    membership: MembershipSettings
    version: int | None  # of this configuration; None if versions are not compared
    digest: int  # checksum of the keys that must be equal in all files of this version
    rollout: RolloutSettings
    admin_address: Address | None  # None if there is no admin interface
    listen_descriptor: int | None  # of the listening socket for clients, if the platform passes one
    state_directory: Path | None  # for files that persist across restarts

    def keys_requiring_restart(self, other: Configuration) -> list[str]:
        """Return the keys that differ in `other` and only take effect at a restart."""
        return [
            key
            for field, key in _KEY_BY_RESTART_FIELD.items()
            if getattr(other, field) != getattr(self, field)
        ]


def read_file(environment: Mapping[str, str]) -> bytes:
    """Return the content of the configuration file; raises ConfigurationError if it can't be read."""
    path = environment.get(_FILE_VARIABLE)
    if not path:
        raise ConfigurationError(f"{_FILE_VARIABLE}: must be set to the path of the configuration file")
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise ConfigurationError(f"{_FILE_VARIABLE}: can't read {path}: {error}") from None


def load(environment: Mapping[str, str], content: bytes | None = None) -> Configuration:
    """Parse the configuration file, and complete it from the environment.

    `content` is the content of the file if the caller has already read it.

    Raises:
        ConfigurationError: the file can't be read or is invalid.
    """
    if content is None:
        content = read_file(environment)
    try:
        document = json.loads(content)
    except (ValueError, RecursionError) as error:
        path = environment.get(_FILE_VARIABLE)
        raise ConfigurationError(f"{_FILE_VARIABLE}: can't read {path}: {error}") from None
    if not isinstance(document, dict):
        raise ConfigurationError(f"{_FILE_VARIABLE}: the file must contain a JSON object")
    defaults = {
        key: environment[variable] for key, variable in _VARIABLE_BY_KEY.items() if variable in environment
    }
    document = {**defaults, **document}
    if environment.get(_ADMIN_VARIABLE):
        # Takes precedence over the file: during a hot restart two processes may share the file, but each
        # needs an admin address of its own.
        document["console"] = environment[_ADMIN_VARIABLE]
    return parse(document, environment)


def parse(document: Mapping[str, Any], environment: Mapping[str, str] | None = None) -> Configuration:
    """Validate a configuration document; raises ConfigurationError that begins with the invalid key."""
    settings = _settings(document)
    version = _version(document.get("version"))
    rollout = _rollout(document.get("rollout"))
    limits = document.get("limits")
    return Configuration(
        name=_text("name", document.get("name")),
        listen_address=_address("listen", document.get("listen")),
        discovery_address=_address("discovery", document.get("discovery")),
        settings=settings,
        seed=_seed(document.get("seed")),
        max_sockets=_limit(limits, "sockets", _MIN_MAX_SOCKETS, _DEFAULT_MAX_SOCKETS),
        memory_mb=_limit(limits, "memory_mb", 1, _DEFAULT_MEMORY_MB),
        known_endpoints=_known_endpoints(document.get("known")),
        peer_listen_address=_optional_address("peer_listen", document.get("peer_listen")),
        peer_addresses=_addresses("peers", document.get("peers")),
        broadcast_address=_optional_address("peers_all", document.get("peers_all")),
        cluster=str(document["settings"].get("tier", 0)),
        membership=_membership(document.get("membership")),
        version=version,
        digest=0 if version is None else _digest(document, rollout.digest_of),
        rollout=rollout,
        admin_address=_optional_address("console", document.get("console")),
        listen_descriptor=_descriptor((environment or {}).get(_DESCRIPTOR_VARIABLE)),
        state_directory=_state_directory(environment or {}),
    )


def _settings(document: Mapping[str, Any]) -> Settings:
    try:
        return settings_from_wire(document.get("settings"))
    except ValueError as error:
        message = str(error)
        raise ConfigurationError(
            message if message.startswith("settings") else f"settings.{message}"
        ) from None


def _known_endpoints(value: object) -> EndpointList:
    if value is None:
        return EndpointList(0, is_complete=True, endpoints=())
    try:
        return parse_endpoint_list(value)
    except EndpointListError as error:
        raise ConfigurationError(f"known: {error}") from None


def _membership(value: object) -> MembershipSettings:
    try:
        return MembershipSettings.from_mapping(value)
    except ValueError as error:
        raise ConfigurationError(f"membership.{error}") from None


def _rollout(value: object) -> RolloutSettings:
    try:
        return RolloutSettings.from_mapping(value)
    except ValueError as error:
        raise ConfigurationError(f"rollout.{error}") from None


def _version(value: object) -> int | None:
    if value is not None and (type(value) is not int or not 0 <= value <= _MAX_VERSION):
        raise ConfigurationError(f"version: must be an integer from 0 to {_MAX_VERSION}, got {value!r:.60}")
    return value


def _digest(document: Mapping[str, Any], keys: tuple[str, ...]) -> int:
    """Return a checksum of the values of `keys`.

    It detects accidental differences between files of the same version, not deliberate collisions.
    """
    return crc32(json.dumps([document.get(key) for key in keys], sort_keys=True).encode())


def _text(key: str, value: object) -> str:
    if not isinstance(value, str) or not value:
        raise ConfigurationError(f"{key}: must be a non-empty string, got {value!r:.60}")
    return value


def _address(key: str, value: object) -> Address:
    try:
        return parse_address(value)
    except ValueError as error:
        raise ConfigurationError(f"{key}: {error}") from None


def _optional_address(key: str, value: object) -> Address | None:
    return None if value in (None, "") else _address(key, value)


def _addresses(key: str, value: object) -> tuple[Address, ...]:
    if not value:
        return ()
    if not isinstance(value, list):
        raise ConfigurationError(f"{key}: must be a list of addresses, got {value!r:.60}")
    return tuple(_address(f"{key}[{index}]", address) for index, address in enumerate(value))


def _seed(value: object) -> int:
    if type(value) is int and value >= 0:
        return value
    try:
        return int(value, 16)  # type: ignore[call-overload, no-any-return]
    except (TypeError, ValueError):
        raise ConfigurationError(
            f"seed: must be hexadecimal digits or a non-negative integer, got {value!r:.60}"
        ) from None


def _descriptor(value: str | None) -> int | None:
    if not value:
        return None
    if not value.isascii() or not value.isdecimal():
        raise ConfigurationError(f"{_DESCRIPTOR_VARIABLE}: must be a file descriptor, got {value!r:.60}")
    return int(value)


def _state_directory(environment: Mapping[str, str]) -> Path | None:
    directory = environment.get("TMPDIR")
    return Path(directory) if directory else None


def _limit(limits: object, key: str, minimum: int, default: int) -> int:
    if limits is None:
        return default
    if not isinstance(limits, Mapping):
        raise ConfigurationError(f"limits: must be an object, got {limits!r:.60}")
    value = limits.get(key, default)
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if type(value) is not int or value < minimum:
        raise ConfigurationError(f"limits.{key}: must be an integer of at least {minimum}, got {value!r:.60}")
    return value
