"""Tests of the limits: the size at which each is reached, and their order."""

from __future__ import annotations

from pathlib import Path

import pytest

from scale.report.constants import Constants
from scale.report.evidence import Evidence
from scale.report.limits import limits_in_order
from scale.report.page import read_selected_runs
from tests.scale.report.saved_sweeps import OLD_COMMIT, SIZES, write_sweep
from tests.support.paths import ROOT


def test_limit_is_reached_at_size_whose_cost_exceeds_it(tmp_path: Path) -> None:
    write_sweep(tmp_path, OLD_COMMIT, 0, [1000.0 * size for size in SIZES], measure="list_bytes")
    (tmp_path / "ingress").mkdir()
    (tmp_path / "ingress" / "lists.py").write_text(
        "DEFAULT_MAX_BODY_BYTES = 2 * 1000 * 1000\n", encoding="utf-8"
    )
    limits = limits_in_order(Evidence(read_selected_runs(tmp_path)), Constants(tmp_path))
    limit = next(each for each in limits if each.label == "a complete list in one answer")
    assert limit.size is not None
    assert limit.size.value == pytest.approx(2000)
    assert limit.share_of_target == pytest.approx(0.01)
    assert "`ingress/lists.py`" in limit.cause


def test_limits_are_sorted_by_size_at_which_they_are_reached(tmp_path: Path) -> None:
    write_sweep(tmp_path, OLD_COMMIT, 0, [1000.0 * size for size in SIZES], measure="list_bytes")
    limits = limits_in_order(Evidence(read_selected_runs(tmp_path)), Constants(ROOT))
    shares = [limit.share_of_target for limit in limits if not limit.is_past_target]
    assert shares == sorted(shares)
