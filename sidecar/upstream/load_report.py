"""Reads the load report that a server attaches to its responses."""

from __future__ import annotations

import math

from sidecar.upstream.http_exchange import Response

_HEADER = b"server-load"
_FORMAT_PREFIX = "TEXT "


def parse_load_report(
    response: Response | None, columns: tuple[str, ...], *, in_body: bool = False
) -> dict[str, float] | None:
    """Return the numbers named in `columns`; None if the response reports none of them.

    The report is the value of the `server-load` header or, with `in_body`, the body of a response without
    that header: `name=number` pairs, separated by commas.  Malformed pairs and infinite numbers are ignored.
    """
    if response is None:
        return None
    text = response.header(_HEADER) or (response.body if in_body else None)
    if not text:
        return None
    report: dict[str, float] = {}
    for pair in text.decode("latin-1").removeprefix(_FORMAT_PREFIX).split(","):
        name, _, number = pair.partition("=")
        name = name.strip()
        if name not in columns:
            continue
        try:
            value = float(number)
        except ValueError:
            continue
        if math.isfinite(value):
            report[name] = value
    return report or None
