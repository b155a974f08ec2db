"""The root directory of the checkout under test."""

from __future__ import annotations

from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
