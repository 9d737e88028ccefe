"""Reads typed values from nested mappings, with the path of the key in every error message."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import Enum
from typing import Any, TypeVar

_Choice = TypeVar("_Choice", bound=Enum)
# The largest integer up to which every integer is exact as a double.
MAX_INTEGER = 2**53


class MappingReader:
    """Reads one mapping at `path`, which is "" for the outermost mapping.

    Null counts as absent, and unknown keys are ignored.  Every method raises ValueError for a value of the
    wrong type or range, and for a missing value without a default.
    """

    def __init__(self, mapping: object, path: str = "") -> None:
        if not isinstance(mapping, Mapping):
            raise ValueError(f"{path}: must be a mapping, not {type(mapping).__name__}")  # noqa: TRY004 - callers catch ValueError for any invalid input
        self._mapping = mapping
        self._prefix = f"{path}." if path else ""

    def section(self, key: str) -> MappingReader:
        """Read a nested mapping; an absent one is read as empty."""
        value = self._value(key)
        return MappingReader({} if value is None else value, self._prefix + key)

    def sections(self, key: str) -> list[MappingReader]:
        """Read a list of mappings; an absent one is read as empty."""
        value = self._value(key)
        if value is None:
            return []
        if not isinstance(value, Sequence) or isinstance(value, (str, bytes)):
            raise self._error(key, "a list")
        return [MappingReader(item, f"{self._prefix}{key}[{index}]") for index, item in enumerate(value)]

    def string(self, key: str, default: str | None = None) -> str:
        """Read a string; it is required if `default` is None."""
        value = self._value(key)
        if value is None and default is not None:
            return default
        if not isinstance(value, str):
            raise self._error(key, "a string")
        return value

    def strings(self, key: str) -> tuple[str, ...]:
        """Read a list of strings; an absent one is read as empty."""
        value = self._value(key)
        if value is None:
            return ()
        if not isinstance(value, Sequence) or isinstance(value, str):
            raise self._error(key, "a list of strings")
        if not all(isinstance(item, str) for item in value):
            raise self._error(key, "a list of strings")
        return tuple(value)

    def boolean(self, key: str, *, default: bool) -> bool:
        """Read true or false."""
        value = self._value(key)
        if value is None:
            return default
        if not isinstance(value, bool):
            raise self._error(key, "true or false")
        return value

    def number(self, key: str, default: float, low: float = 0.0, high: float = MAX_INTEGER) -> float:
        """Read a number from `low` to `high`."""
        value = self._value(key)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not low <= value <= high:
            raise self._error(key, f"a number from {low:g} to {high:g}")
        return float(value)

    def integer(self, key: str, default: int | None, low: int = 0) -> int:
        """Read an integer of at least `low`; it is required if `default` is None."""
        value = self._value(key)
        if value is None and default is not None:
            return default
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not low <= value <= MAX_INTEGER:
            raise self._error(key, f"an integer of at least {low}")
        if value != int(value):
            raise self._error(key, "an integer")
        return int(value)

    def optional_integer(self, key: str) -> int | None:
        """Read a non-negative integer; None if it is absent."""
        return None if self._value(key) is None else self.integer(key, None)

    def choice(self, key: str, kind: type[_Choice], default: _Choice) -> _Choice:
        """Read an enumeration member that is given by its value."""
        return self.named_choice(key, {str(member.value): member for member in kind}, default)

    def named_choice(self, key: str, members: Mapping[str, _Choice], default: _Choice) -> _Choice:
        """Read an enumeration member that is given by its name in `members`."""
        value = self._value(key)
        if value is None:
            return default
        member = members.get(value) if isinstance(value, str) else None
        if member is None:
            raise self._error(key, "one of " + ", ".join(members))
        return member

    def _value(self, key: str) -> Any:
        return self._mapping.get(key)

    def _error(self, key: str, expected: str) -> ValueError:
        return ValueError(f"{self._prefix}{key}: must be {expected}, not {self._value(key)!r:.60}")
