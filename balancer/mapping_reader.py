"""Reads typed values from nested mappings; every error names the path of the key."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import Enum
from typing import Any, TypeVar

_Choice = TypeVar("_Choice", bound=Enum)
# Every integer up to here survives a conversion to a double.
MAX_INTEGER = 2**53


class MappingReader:
    """Reads one mapping whose own path is `path`, "" at the top.

    Null counts as absent, and keys that are never asked for are skipped.  Every method raises ValueError for
    a value of the wrong type or range, and for an absent one that has no default.
    """

    def __init__(self, given: object, path: str = "") -> None:
        if not isinstance(given, Mapping):
            raise ValueError(f"{path}: a mapping is needed")  # noqa: TRY004 - callers catch ValueError for any invalid input
        self._given = given
        self._prefix = f"{path}." if path else ""

    def section(self, key: str) -> MappingReader:
        """Read a mapping; an absent one is empty."""
        value = self._value(key)
        return MappingReader({} if value is None else value, self._prefix + key)

    def sections(self, key: str) -> list[MappingReader]:
        """Read a list of mappings; an absent one is empty."""
        value = self._value(key)
        if value is None:
            return []
        if not isinstance(value, Sequence) or isinstance(value, (str, bytes)):
            raise self._error(key, "a list")
        return [MappingReader(item, f"{self._prefix}{key}[{index}]") for index, item in enumerate(value)]

    def text(self, key: str, default: str | None = None) -> str:
        """Read a text; `default` None means that it is needed."""
        value = self._value(key)
        if value is None and default is not None:
            return default
        if not isinstance(value, str):
            raise self._error(key, "a text")
        return value

    def texts(self, key: str) -> tuple[str, ...]:
        """Read a list of texts; an absent one is empty."""
        value = self._value(key)
        if value is None:
            return ()
        if not isinstance(value, Sequence) or isinstance(value, str):
            raise self._error(key, "a list of texts")
        if not all(isinstance(item, str) for item in value):
            raise self._error(key, "a list of texts")
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
        """Read an integer from `low`; `default` None means that it is needed."""
        value = self._value(key)
        if value is None and default is not None:
            return default
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not low <= value <= MAX_INTEGER:
            raise self._error(key, f"a whole number from {low}")
        if value != int(value):
            raise self._error(key, "a whole number")
        return int(value)

    def optional_integer(self, key: str) -> int | None:
        """Read an integer from 0; None if it is absent."""
        return None if self._value(key) is None else self.integer(key, None)

    def choice(self, key: str, kind: type[_Choice], default: _Choice) -> _Choice:
        """Read the value of an enumeration's member."""
        return self.word(key, {str(member.value): member for member in kind}, default)

    def word(self, key: str, words: Mapping[str, _Choice], default: _Choice) -> _Choice:
        """Read one of some words, each of which stands for an enumeration's member."""
        value = self._value(key)
        if value is None:
            return default
        member = words.get(value) if isinstance(value, str) else None
        if member is None:
            raise self._error(key, "one of " + ", ".join(words))
        return member

    def _value(self, key: str) -> Any:
        return self._given.get(key)

    def _error(self, key: str, needed: str) -> ValueError:
        return ValueError(f"{self._prefix}{key}: {needed} is needed, not {self._value(key)!r:.60}")
