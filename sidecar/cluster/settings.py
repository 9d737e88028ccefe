"""Settings of membership and of the rollout of configuration versions, with defaults and bounds.

A field whose key in the configuration differs from its name has the key in its metadata.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import Field, dataclass, field, fields
from typing import Any

_KEY, _BOUNDS = "key", "bounds"  # keys of a field's metadata
# Keys of the configuration that take effect at a reload; only these can be covered by the digest.
RELOADED_KEYS = ("discovery", "peers", "peers_all", "membership", "rollout")


def _number(default: float, minimum: float, maximum: float, key: str | None = None) -> Any:
    """Return a dataclass field for a number within bounds; only whole numbers if the default is one."""
    metadata = {_BOUNDS: (minimum, maximum)}
    return field(default=default, metadata=metadata if key is None else {**metadata, _KEY: key})


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Settings under the key `membership` of the configuration."""

    on: bool = True  # has no effect where the platform's settings forbid datagrams
    informs: bool = True  # whether load balancing uses the cluster size as membership reports it
    datagrams_per_s: float = _number(1.0, 0.1, 1.0)  # average rate at rest
    datagrams_per_request: float = _number(0.05, 0.0, 0.05)  # added to it for each client request
    # Lower bound of the protocol period, which shrinks as client requests allow more datagrams.
    min_period_ms: int = _number(1_000, 200, 10_000, key="least_period_ms")
    relays: int = _number(3, 0, 8)  # number of members to which a ping-request is sent
    # Minimum suspicion timeout in protocol periods; multiplied by log10 of the cluster's size from 10 on.
    suspicion_periods: float = _number(3.0, 1, 20)
    # Timeout of a suspicion that no other member has confirmed, divided by the minimum.
    suspicion_timeout_ratio: float = _number(4.0, 1, 10, key="suspicion_stretch")

    @staticmethod
    def from_mapping(document: object) -> MembershipSettings:
        """Read the settings from a part of the configuration; None stands for the defaults.

        Raises:
            ValueError: if it is no object, has an unknown key or an invalid value; the text names the key.
        """
        return MembershipSettings(**_read(document, fields(MembershipSettings)))


@dataclass(frozen=True, slots=True)
class RolloutSettings:
    """Settings under the key `rollout` of the configuration."""

    on: bool = True  # has no effect without a `version` in the file, or while membership is off
    datagrams_per_s: float = _number(1.0, 0.1, 5.0)  # while rounds change; a fifth of it otherwise
    fanout: int = _number(3, 0, 8)  # number of members to which a newer version is pushed at once
    round_interval_s: float = _number(30.0, 5, 600, key="wave_s")  # extended in large clusters
    # Members read their files at a random time within this after they learn of a version, so that not all of
    # them call discovery at once.
    file_read_spread_s: float = _number(1.0, 0, 4, key="spread_s")
    digest_of: tuple[str, ...] = RELOADED_KEYS  # keys whose values are equal in all files of one version

    @staticmethod
    def from_mapping(document: object) -> RolloutSettings:
        """Read the settings from a part of the configuration; None stands for the defaults.

        Raises:
            ValueError: if it is no object, has an unknown key or an invalid value; the text names the key.
        """
        return RolloutSettings(**_read(document, fields(RolloutSettings)))


def _read(document: object, settings: tuple[Field[Any], ...]) -> dict[str, Any]:
    """Return the checked values in `document` by the names of their fields."""
    if document is None:
        return {}
    if not isinstance(document, Mapping):
        raise ValueError("an object is needed")  # noqa: TRY004 - callers catch ValueError for any invalid input
    by_key = {setting.metadata.get(_KEY, setting.name): setting for setting in settings}
    values: dict[str, Any] = {}
    for key, value in document.items():
        if key not in by_key:
            raise ValueError(f"{key}: no such key: {', '.join(by_key)} are known")
        values[by_key[key].name] = _checked(key, value, by_key[key])
    return values


def _checked(key: str, value: object, setting: Field[Any]) -> object:
    if isinstance(setting.default, bool):
        return _checked_boolean(key, value)
    if isinstance(setting.default, tuple):
        return _checked_choices(key, value, setting.default)
    is_integer = isinstance(setting.default, int)
    return _checked_number(key, value, setting.metadata[_BOUNDS], is_integer=is_integer)


def _checked_boolean(key: str, value: object) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f"{key}: true or false is needed, not {value!r:.60}")  # noqa: TRY004 - as above
    return value


def _checked_choices(key: str, value: object, choices: tuple[str, ...]) -> tuple[str, ...]:
    if not isinstance(value, list) or not value or not all(choice in choices for choice in value):
        raise ValueError(f"{key}: a list of {', '.join(choices)} is needed, not {value!r:.60}")
    return tuple(choice for choice in choices if choice in value)


def _checked_number(key: str, value: object, bounds: tuple[float, float], *, is_integer: bool) -> float:
    minimum, maximum = bounds
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if is_number and minimum <= value <= maximum:  # type: ignore[operator]
        number = float(value)  # type: ignore[arg-type]
        if not is_integer:
            return number
        if number == int(number):
            return int(number)
    kind = "a whole number" if is_integer else "a number"
    raise ValueError(f"{key}: {kind} from {minimum:g} to {maximum:g} is needed, not {value!r:.60}")
