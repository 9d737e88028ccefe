"""A short soak of the real program; `tests/soak.py` plays more seeds by hand."""

from __future__ import annotations

import pytest
import soak


@pytest.mark.parametrize("seed", range(1, 6))
def test_soak_breaks_no_rule(seed: int) -> None:
    assert soak.play(seed).violations == []
