"""Settings on the wire: unknown keys, defaults and invalid values."""

from __future__ import annotations

import re
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from balancer import Balancer
from balancer.events import RequestArrived
from balancer.settings import DiscoveryMode, Idempotency, LoadReportSource
from balancer.settings_wire import settings_from_wire

MINIMAL = {"lanes": [{"name": "a", "giveUpUs": 1_000_000}]}


def test_absent_keys_get_the_conservative_default() -> None:
    settings = settings_from_wire(MINIMAL)
    assert settings.classes[0].idempotency is Idempotency.NOT_IDEMPOTENT
    assert settings.classes[0].latency_objective_us == 1_000_000
    assert settings.discovery is DiscoveryMode.ON_REQUEST
    assert not settings.limits.hedged_requests and settings.limits.max_attempts == 1
    assert settings.guarantees.drain_grace_us == 0


def test_unknown_keys_are_ignored_and_null_counts_as_absent() -> None:
    assert settings_from_wire(
        {**MINIMAL, "news": 1, "bounds": {"x": 2}, "guarantees": None}
    ) == settings_from_wire(MINIMAL)


@pytest.mark.parametrize(
    ("name", "idempotency"),
    [
        ("read_like", Idempotency.IDEMPOTENT),
        ("idempotency_key", Idempotency.WITH_KEY),
        ("non_idempotent", Idempotency.NOT_IDEMPOTENT),
        ("safe", Idempotency.IDEMPOTENT),
        ("keyed", Idempotency.WITH_KEY),
        ("unsafe", Idempotency.NOT_IDEMPOTENT),
    ],
)
def test_every_name_of_idempotency_is_accepted(name: str, idempotency: Idempotency) -> None:
    settings = settings_from_wire({"lanes": [{"name": "a", "giveUpUs": 9, "repeat": name}]})
    assert settings.classes[0].idempotency is idempotency


@pytest.mark.parametrize(
    ("name", "source"),
    [
        ("piggyback", LoadReportSource.RESPONSES),
        ("pull", LoadReportSource.HEALTH_CHECKS),
        ("silent", LoadReportSource.NONE),
        ("answers", LoadReportSource.RESPONSES),
        ("probes", LoadReportSource.HEALTH_CHECKS),
    ],
)
def test_every_name_of_the_load_report_source_is_accepted(name: str, source: LoadReportSource) -> None:
    assert settings_from_wire({**MINIMAL, "report": {"source": name}}).load_report_source is source


@pytest.mark.parametrize(
    ("wire", "key"),
    [
        ({}, "lanes"),
        ({"lanes": 5}, "lanes"),
        ({"lanes": [{"name": "a"}]}, "lanes[0].giveUpUs"),
        ({"lanes": [{"name": "a", "giveUpUs": 0}]}, "lanes[0].giveUpUs"),
        ({"lanes": [{"name": "a", "giveUpUs": float("nan")}]}, "lanes[0].giveUpUs"),
        ({"lanes": [{"name": "a", "giveUpUs": 9, "repeat": "maybe"}]}, "lanes[0].repeat"),
        ({"lanes": [*MINIMAL["lanes"], *MINIMAL["lanes"]]}, "lanes"),
        ({**MINIMAL, "bounds": {"sendCap": -1}}, "bounds.sendCap"),
        ({**MINIMAL, "bounds": {"secondCopies": 1}}, "bounds.secondCopies"),
        ({**MINIMAL, "guarantees": {"coldFrom": 2}}, "guarantees.coldFrom"),
        ({**MINIMAL, "guarantees": {"fallUs": "long"}}, "guarantees.fallUs"),
        ({**MINIMAL, "report": {"columns": "util"}}, "report.columns"),
        ({**MINIMAL, "realms": [3]}, "realms[0]"),
        ({**MINIMAL, "groupSize": 0}, "groupSize"),
        ({**MINIMAL, "prices": []}, "prices"),
        ([], "settings"),
    ],
)
def test_invalid_value_is_reported_with_its_key(wire: Any, key: str) -> None:
    with pytest.raises(ValueError, match=rf"\A{re.escape(key)}:"):
        settings_from_wire(wire)


values = (
    st.none()
    | st.booleans()
    | st.integers(-5, 10**9)
    | st.floats()
    | st.sampled_from(["read_like", "cell", "x"])
)


@hypothesis_settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.dictionaries(
        st.sampled_from(["giveUpUs", "promiseUs", "worth", "repeat", "group", "memorySpanUs", "streaming"]),
        values,
    ),
    st.dictionaries(
        st.sampled_from(["sendCap", "secondCopies", "mayCancel", "coldFrom", "coldUs", "fallUs"]),
        values,
    ),
)
def test_any_settings_give_a_working_balancer_or_a_complaint(
    service_class: dict[str, Any], rest: dict[str, Any]
) -> None:
    try:
        given = settings_from_wire(
            {"lanes": [{"name": "a", **service_class}], "bounds": rest, "guarantees": rest}
        )
    except ValueError:
        return
    balancer = Balancer(given, 1)
    assert len(balancer.handle(5_000_000, RequestArrived(1, "a", None, None, 500_000))) > 0
