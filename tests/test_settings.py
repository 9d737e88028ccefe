"""Settings on the wire: what is skipped, what gets a default, and what is nonsense."""

from __future__ import annotations

import re
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as how
from hypothesis import strategies as st

from balancer import Balancer
from balancer.events import RequestArrived
from balancer.settings import DiscoveryMode, Idempotency, LoadReportSource
from balancer.settings_wire import settings_from_wire

LEAST = {"lanes": [{"name": "a", "giveUpUs": 1_000_000}]}


def test_absent_keys_get_the_cautious_default() -> None:
    given = settings_from_wire(LEAST)
    assert given.classes[0].idempotency is Idempotency.NOT_IDEMPOTENT
    assert given.classes[0].latency_objective_us == 1_000_000
    assert given.discovery is DiscoveryMode.ON_REQUEST
    assert not given.limits.hedged_requests and given.limits.max_attempts == 1
    assert given.guarantees.drain_grace_us == 0


def test_unknown_keys_are_skipped_and_null_counts_as_absent() -> None:
    assert settings_from_wire(
        {**LEAST, "news": 1, "bounds": {"x": 2}, "guarantees": None}
    ) == settings_from_wire(LEAST)


@pytest.mark.parametrize(
    ("word", "idempotency"),
    [
        ("read_like", Idempotency.IDEMPOTENT),
        ("idempotency_key", Idempotency.WITH_KEY),
        ("non_idempotent", Idempotency.NOT_IDEMPOTENT),
        ("safe", Idempotency.IDEMPOTENT),
        ("keyed", Idempotency.WITH_KEY),
        ("unsafe", Idempotency.NOT_IDEMPOTENT),
    ],
)
def test_every_word_for_idempotency_is_accepted(word: str, idempotency: Idempotency) -> None:
    given = settings_from_wire({"lanes": [{"name": "a", "giveUpUs": 9, "repeat": word}]})
    assert given.classes[0].idempotency is idempotency


@pytest.mark.parametrize(
    ("word", "source"),
    [
        ("piggyback", LoadReportSource.RESPONSES),
        ("pull", LoadReportSource.HEALTH_CHECKS),
        ("silent", LoadReportSource.NONE),
        ("answers", LoadReportSource.RESPONSES),
        ("probes", LoadReportSource.HEALTH_CHECKS),
    ],
)
def test_every_word_for_the_source_of_load_reports_is_accepted(word: str, source: LoadReportSource) -> None:
    assert settings_from_wire({**LEAST, "report": {"source": word}}).load_report_source is source


@pytest.mark.parametrize(
    ("given", "key"),
    [
        ({}, "lanes"),
        ({"lanes": 5}, "lanes"),
        ({"lanes": [{"name": "a"}]}, "lanes[0].giveUpUs"),
        ({"lanes": [{"name": "a", "giveUpUs": 0}]}, "lanes[0].giveUpUs"),
        ({"lanes": [{"name": "a", "giveUpUs": float("nan")}]}, "lanes[0].giveUpUs"),
        ({"lanes": [{"name": "a", "giveUpUs": 9, "repeat": "maybe"}]}, "lanes[0].repeat"),
        ({"lanes": [*LEAST["lanes"], *LEAST["lanes"]]}, "lanes"),
        ({**LEAST, "bounds": {"sendCap": -1}}, "bounds.sendCap"),
        ({**LEAST, "bounds": {"secondCopies": 1}}, "bounds.secondCopies"),
        ({**LEAST, "guarantees": {"coldFrom": 2}}, "guarantees.coldFrom"),
        ({**LEAST, "guarantees": {"fallUs": "long"}}, "guarantees.fallUs"),
        ({**LEAST, "report": {"columns": "util"}}, "report.columns"),
        ({**LEAST, "realms": [3]}, "realms[0]"),
        ({**LEAST, "groupSize": 0}, "groupSize"),
        ({**LEAST, "prices": []}, "prices"),
        ([], "settings"),
    ],
)
def test_nonsense_is_named(given: Any, key: str) -> None:
    with pytest.raises(ValueError, match=rf"\A{re.escape(key)}:"):
        settings_from_wire(given)


values = (
    st.none()
    | st.booleans()
    | st.integers(-5, 10**9)
    | st.floats()
    | st.sampled_from(["read_like", "cell", "x"])
)


@how(max_examples=200, deadline=None, derandomize=True)
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
