"""Tests of reading the constants of the code that the page shows."""

from __future__ import annotations

from pathlib import Path

from scale.report.constants import Constants
from scale.report.figures import MISSING


def test_removed_constant_is_reported_as_missing(tmp_path: Path) -> None:
    constants = Constants(tmp_path)
    assert constants.get_figure("DEFAULT_MAX_BODY_BYTES") == MISSING
    assert constants.describe("DEFAULT_MAX_BODY_BYTES") == "`DEFAULT_MAX_BODY_BYTES` (not in this code)"
