"""Exponentially decaying rates."""

from __future__ import annotations

import math

import pytest

from balancer.moving_average import DecayingRate


def test_rate_converges_to_the_rate_of_a_steady_stream() -> None:
    rate = DecayingRate(1_000.0)
    for now in range(0, 20_000, 10):
        rate.add(now, 1.0)
    assert rate.per_us(20_000) == pytest.approx(0.1, rel=0.01)


def test_rate_decays_by_a_factor_of_e_in_each_window() -> None:
    rate = DecayingRate(1_000.0)
    rate.add(0, 5.0)
    before = rate.per_us(0)
    assert rate.per_us(1_000) == pytest.approx(before / math.e)


def test_rate_does_not_change_with_the_window() -> None:
    rate = DecayingRate(1_000.0)
    rate.add(0, 5.0)
    before = rate.per_us(0)
    rate.set_window(4_000.0)
    assert rate.per_us(0) == pytest.approx(before)
