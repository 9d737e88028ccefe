"""What operators may set of the tier (`membership` and `rollout`): units, defaults, bounds."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, fields
from typing import Any

# key: (least, most), of the unit that the field names
BOUNDS: dict[str, tuple[float, float]] = {
    "datagrams_per_s": (0.1, 1.0),
    "datagrams_per_request": (0.0, 0.05),
    "least_period_ms": (200, 10_000),
    "relays": (0, 8),
    "suspicion_periods": (1, 20),
    "suspicion_stretch": (1, 10),
}
ROLLOUT_BOUNDS: dict[str, tuple[float, float]] = {
    "datagrams_per_s": (0.1, 5.0),
    "fanout": (0, 8),
    "wave_s": (5, 600),
    "spread_s": (0, 4),
}
# What SIGHUP takes over, and what a digest may be of.
TAKEN_OVER = ("discovery", "peers", "peers_all", "membership", "rollout")


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Whether and how this sidecar keeps track of the others."""

    on: bool = True  # only where the platform's settings allow datagrams
    informs: bool = True  # whether the decisions hear how many are there
    datagrams_per_s: float = 1.0  # sent at rest, on average
    datagrams_per_request: float = 0.05  # and for each request taken
    least_period_ms: int = 1_000  # between two questions, however many requests there are
    relays: int = 3  # members asked to ask a silent one
    suspicion_periods: float = 3.0  # least time-out of a suspicion, for each decimal digit of the tier's size
    suspicion_stretch: float = 4.0  # the longest, where nobody else suspects: times the least

    @staticmethod
    def from_mapping(given: object) -> MembershipSettings:
        """Read them from the configuration; raise ValueError, naming the key, on nonsense."""
        known = {each.name: each.default for each in fields(MembershipSettings)}
        return MembershipSettings(**_read(given, known, BOUNDS))


@dataclass(frozen=True, slots=True)
class RolloutSettings:
    """Whether and how this sidecar compares its configuration's version with the others'."""

    on: bool = True  # only where the file has a `version`, and membership is on
    datagrams_per_s: float = 1.0  # exchanges begun while there is news; a fifth of it where there is none
    fanout: int = 3  # members that a newer version is pushed to at once
    wave_s: float = 30.0  # an aggregation round starts this often; less often in large clusters
    spread_s: float = 1.0  # each reads its file within so long of hearing: not all call discovery at once
    digest_of: tuple[str, ...] = TAKEN_OVER  # keys that all files of one version have alike

    @staticmethod
    def from_mapping(given: object) -> RolloutSettings:
        """Read them from the configuration; raise ValueError, naming the key, on nonsense."""
        known = {each.name: each.default for each in fields(RolloutSettings)}
        return RolloutSettings(**_read(given, known, ROLLOUT_BOUNDS))


def _read(
    given: object, known: Mapping[str, Any], bounds: Mapping[str, tuple[float, float]]
) -> dict[str, Any]:
    if given is None:
        return {}
    if not isinstance(given, Mapping):
        raise ValueError("an object is needed")
    read: dict[str, Any] = {}
    for key, value in given.items():
        if key not in known:
            raise ValueError(f"{key}: no such key: {', '.join(known)} are known")
        read[key] = _checked(key, value, known[key], bounds)
    return read


def _checked(key: str, value: object, default: object, bounds: Mapping[str, tuple[float, float]]) -> object:
    if isinstance(default, bool):
        if not isinstance(value, bool):
            raise ValueError(f"{key}: true or false is needed, not {value!r:.60}")
        return value
    if isinstance(default, tuple):
        if not isinstance(value, list) or not value or not all(each in default for each in value):
            raise ValueError(f"{key}: a list of {', '.join(default)} is needed, not {value!r:.60}")
        return tuple(each for each in default if each in value)
    least, most = bounds[key]
    whole = isinstance(default, int)
    fits = isinstance(value, int | float) and not isinstance(value, bool) and least <= value <= most
    if not fits or (whole and value != int(value)):  # type: ignore[call-overload]
        kind = "a whole number" if whole else "a number"
        raise ValueError(f"{key}: {kind} from {least:g} to {most:g} is needed, not {value!r:.60}")
    return int(value) if whole else float(value)  # type: ignore[call-overload, arg-type]
