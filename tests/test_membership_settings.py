"""Settings of membership as they are read from the configuration."""

from __future__ import annotations

import pytest

from sidecar.cluster.settings import MembershipSettings


@pytest.mark.parametrize(
    ("given", "named"),
    [
        ({"on": 1}, "on"),
        ({"datagrams_per_s": 2.0}, "datagrams_per_s"),
        ({"least_period_ms": 1.5}, "least_period_ms"),
        ({"relays": True}, "relays"),
        ({"relays": "3"}, "relays"),
        ({"suspicion_periods": float("nan")}, "suspicion_periods"),
        ({"fast": True}, "fast"),
        ([], "object"),
    ],
)
def test_invalid_setting_names_its_key(given: object, named: str) -> None:
    with pytest.raises(ValueError, match=named):
        MembershipSettings.from_mapping(given)


def test_settings_are_read_from_mapping() -> None:
    given = {"on": False, "relays": 0, "datagrams_per_s": 1}
    assert MembershipSettings.from_mapping(given) == MembershipSettings(on=False, relays=0)


def test_missing_settings_are_defaults() -> None:
    assert MembershipSettings.from_mapping(None) == MembershipSettings()
