"""What operators may set of membership (`membership` of the configuration): units, defaults, bounds."""

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
        if given is None:
            return MembershipSettings()
        if not isinstance(given, Mapping):
            raise ValueError("an object is needed")
        known = {each.name: each.default for each in fields(MembershipSettings)}
        read: dict[str, Any] = {}
        for key, value in given.items():
            if key not in known:
                raise ValueError(f"{key}: no such key: {', '.join(known)} are known")
            read[key] = _checked(key, value, whole=type(known[key]) is int)
        return MembershipSettings(**read)


def _checked(key: str, value: object, whole: bool) -> bool | int | float:
    if key in ("on", "informs"):
        if not isinstance(value, bool):
            raise ValueError(f"{key}: true or false is needed, not {value!r:.60}")
        return value
    least, most = BOUNDS[key]
    fits = isinstance(value, int | float) and not isinstance(value, bool) and least <= value <= most
    if not fits or (whole and value != int(value)):  # type: ignore[call-overload]
        kind = "a whole number" if whole else "a number"
        raise ValueError(f"{key}: {kind} from {least:g} to {most:g} is needed, not {value!r:.60}")
    return int(value) if whole else float(value)  # type: ignore[call-overload, arg-type]
