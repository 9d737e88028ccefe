"""Settings of membership and of the rollout of configuration versions: units, defaults, bounds.

A field that has another name than its key in the configuration names the key in its metadata.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import Field, dataclass, field, fields
from typing import Any

_KEY, _BOUNDS = "key", "bounds"  # of a field's metadata
# Keys of the configuration that a reload applies, and that a digest may cover.
RELOADED_KEYS = ("discovery", "peers", "peers_all", "membership", "rollout")


def _number(default: float, minimum: float, maximum: float, key: str | None = None) -> Any:
    """A field for a number within bounds, an integer if its default is one."""
    metadata = {_BOUNDS: (minimum, maximum)}
    return field(default=default, metadata=metadata if key is None else {**metadata, _KEY: key})


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Whether and how this sidecar takes part in membership."""

    on: bool = True  # only where the platform's settings allow datagrams
    informs: bool = True  # whether load balancing hears of the cluster's size
    datagrams_per_s: float = _number(1.0, 0.1, 1.0)  # sent at rest, on average
    datagrams_per_request: float = _number(0.05, 0.0, 0.05)  # and for each request taken
    # The least protocol period, however many requests there are.
    min_period_ms: int = _number(1_000, 200, 10_000, key="least_period_ms")
    relays: int = _number(3, 0, 8)  # members that a ping-request goes to
    # The least time-out of a suspicion, for each decimal digit of the cluster's size.
    suspicion_periods: float = _number(3.0, 1, 20)
    # The greatest time-out, while no other member confirms the suspicion, divided by the least.
    suspicion_timeout_ratio: float = _number(4.0, 1, 10, key="suspicion_stretch")

    @staticmethod
    def from_mapping(given: object) -> MembershipSettings:
        """Read them from the configuration; raise ValueError, naming the key, on invalid values."""
        return MembershipSettings(**_read(given, fields(MembershipSettings)))


@dataclass(frozen=True, slots=True)
class RolloutSettings:
    """Whether and how this sidecar compares its configuration version with other members."""

    on: bool = True  # only where the file has a `version`, and membership is on
    datagrams_per_s: float = _number(1.0, 0.1, 5.0)  # while there is news; a fifth of it otherwise
    fanout: int = _number(3, 0, 8)  # members that a newer version is pushed to at once
    round_interval_s: float = _number(30.0, 5, 600, key="wave_s")  # longer in large clusters
    # Members that hear of a version read their files within this, so that not all call discovery at once.
    file_read_spread_s: float = _number(1.0, 0, 4, key="spread_s")
    digest_of: tuple[str, ...] = RELOADED_KEYS  # keys that all files of one version have alike

    @staticmethod
    def from_mapping(given: object) -> RolloutSettings:
        """Read them from the configuration; raise ValueError, naming the key, on invalid values."""
        return RolloutSettings(**_read(given, fields(RolloutSettings)))


def _read(given: object, settings: tuple[Field[Any], ...]) -> dict[str, Any]:
    """The values of the settings that are given, by the names of their fields."""
    if given is None:
        return {}
    if not isinstance(given, Mapping):
        raise ValueError("an object is needed")  # noqa: TRY004 - callers catch ValueError for any invalid input
    by_key = {setting.metadata.get(_KEY, setting.name): setting for setting in settings}
    values: dict[str, Any] = {}
    for key, value in given.items():
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
