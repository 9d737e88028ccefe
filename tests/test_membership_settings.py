"""Settings of membership and rollout, read from the configuration."""

from __future__ import annotations

import pytest

from sidecar.cluster.settings import MembershipSettings, RolloutSettings


@pytest.mark.parametrize(
    ("document", "named"),
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
def test_error_about_invalid_setting_names_its_key(document: object, named: str) -> None:
    with pytest.raises(ValueError, match=named):
        MembershipSettings.from_mapping(document)


def test_settings_are_read_from_mapping() -> None:
    document = {"on": False, "relays": 0, "datagrams_per_s": 1}
    assert MembershipSettings.from_mapping(document) == MembershipSettings(on=False, relays=0)


def test_missing_settings_are_defaults() -> None:
    assert MembershipSettings.from_mapping(None) == MembershipSettings()


@pytest.mark.parametrize(
    ("document", "settings"),
    [
        ({"on": False}, MembershipSettings(on=False)),
        ({"informs": False}, MembershipSettings(informs=False)),
        ({"datagrams_per_s": 0.5}, MembershipSettings(datagrams_per_s=0.5)),
        ({"datagrams_per_request": 0}, MembershipSettings(datagrams_per_request=0.0)),
        ({"least_period_ms": 200}, MembershipSettings(min_period_ms=200)),
        ({"relays": 2.0}, MembershipSettings(relays=2)),
        ({"suspicion_periods": 20}, MembershipSettings(suspicion_periods=20.0)),
        ({"suspicion_stretch": 1}, MembershipSettings(suspicion_timeout_ratio=1.0)),
    ],
    ids=str,
)
def test_key_sets_its_field(document: dict[str, object], settings: MembershipSettings) -> None:
    assert MembershipSettings.from_mapping(document) == settings


@pytest.mark.parametrize(
    ("document", "settings"),
    [
        ({"on": False}, RolloutSettings(on=False)),
        ({"datagrams_per_s": 5}, RolloutSettings(datagrams_per_s=5.0)),
        ({"fanout": 8}, RolloutSettings(fanout=8)),
        ({"wave_s": 5}, RolloutSettings(round_interval_s=5.0)),
        ({"spread_s": 0}, RolloutSettings(file_read_spread_s=0.0)),
        ({"digest_of": ["rollout", "peers"]}, RolloutSettings(digest_of=("peers", "rollout"))),
    ],
    ids=str,
)
def test_rollout_key_sets_its_field(document: dict[str, object], settings: RolloutSettings) -> None:
    assert RolloutSettings.from_mapping(document) == settings


def test_error_about_unknown_key_lists_the_known_ones() -> None:
    known = "on, datagrams_per_s, fanout, wave_s, spread_s, digest_of are known"
    with pytest.raises(ValueError, match=f"speed: no such key: {known}"):
        RolloutSettings.from_mapping({"speed": 1})
