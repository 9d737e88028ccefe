"""Parsing of the load report in a response."""

from __future__ import annotations

import pytest

from sidecar.upstream.http_exchange import Response
from sidecar.upstream.load_report import parse_load_report

COLUMNS = ("qps", "util")


@pytest.mark.parametrize(
    ("header", "report"),
    [
        (b"TEXT qps=7, util=0.61, queue=2", {"qps": 7.0, "util": 0.61}),
        (b"TEXT util=nan, qps=inf", None),
        (b"TEXT util=much, qps=3", {"qps": 3.0}),
        (b"\xff=,,=;util", None),
    ],
    ids=["unlisted columns", "not finite", "partly malformed", "malformed"],
)
def test_load_report_header_is_parsed_and_malformed_pairs_ignored(
    header: bytes, report: dict[str, float] | None
) -> None:
    response = Response(200, [(b"server-load", header)], b"")
    assert parse_load_report(response, COLUMNS) == report


@pytest.mark.parametrize("response", [None, Response(200, [], b"")], ids=["no response", "no header"])
def test_load_report_is_none_without_header(response: Response | None) -> None:
    assert parse_load_report(response, COLUMNS) is None


def test_load_report_in_body_is_used_only_on_request() -> None:
    response = Response(200, [], b"qps=7")
    assert parse_load_report(response, COLUMNS, in_body=True) == {"qps": 7.0}
    assert parse_load_report(response, COLUMNS) is None
