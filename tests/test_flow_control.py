"""The progress of a client in sending and reading."""

from __future__ import annotations

import pytest

from sidecar.downstream.flow_control import ReceiveProgress, WriteProgress


def test_receive_progress_allows_time_for_the_body() -> None:
    progress = ReceiveProgress(now=10.0)
    assert progress.lag_s(12.0) == 2.0
    progress.received_bytes = 58_000  # one second at the minimum rate
    assert progress.lag_s(12.0) == 1.0


def test_client_that_stops_is_late_however_much_it_has_sent() -> None:
    # Guards against clients that stop in a long request and hold their connection for half a minute.
    progress = ReceiveProgress(now=10.0)
    progress.record(2_000_000, now=11.0)
    assert progress.lag_s(11.0) == pytest.approx(0.0)
    assert progress.lag_s(14.0) == pytest.approx(3.0)


def test_client_at_the_minimum_rate_is_never_late() -> None:
    progress = ReceiveProgress(now=0.0)
    for second in range(1, 100):
        progress.record(64_000, now=float(second))
        assert progress.lag_s(second + 0.9) <= 1.0


def test_receive_progress_does_not_count_pauses() -> None:
    progress = ReceiveProgress(now=10.0)
    progress.paused_since = 11.0
    progress.resume(16.0)
    assert progress.paused_since is None
    assert progress.lag_s(18.0) == 3.0
    progress.resume(20.0)  # not paused
    assert progress.lag_s(20.0) == 5.0


def test_write_progress_is_stalled_while_nothing_is_delivered() -> None:
    progress = WriteProgress()
    assert progress.stalled_s(1_000, now=5.0) == 0.0
    assert progress.stalled_s(1_000, now=7.0) == 2.0
    assert progress.stalled_s(1_500, now=8.0) == 3.0  # more was written and nothing delivered


def test_write_progress_restarts_when_some_is_delivered() -> None:
    progress = WriteProgress()
    progress.stalled_s(1_000, now=5.0)
    assert progress.stalled_s(999, now=7.0) == 0.0
    assert progress.stalled_s(999, now=8.0) == 1.0
    progress.restart()
    assert progress.stalled_s(999, now=9.0) == 0.0
