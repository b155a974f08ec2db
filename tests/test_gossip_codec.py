"""Tests of the encoding of gossip messages."""

from __future__ import annotations

import pytest

from ingress.gossip_codec import MAX_TEXT_BYTES, UseReport, decode_report, encode_report


def test_parsing_a_formatted_report_returns_its_content() -> None:
    totals = ((0x5BE2A07C, 4.0), (0x1F03AA5C, 12.5))
    report = encode_report(1733115600123, totals)
    assert report == ("1733115600123 5be2a07c:40 1f03aa5c:125", 2)
    assert decode_report(report.text) == UseReport(1733115600123, totals)


def test_report_holds_as_many_totals_as_fit() -> None:
    totals = [(0xFFFFFFFF, float(number)) for number in range(100)]
    report = encode_report(1733115600123, totals)
    assert MAX_TEXT_BYTES - 20 < len(report.text) <= MAX_TEXT_BYTES
    parsed = decode_report(report.text)
    assert parsed is not None
    assert parsed.totals == tuple(totals[: report.included_count])


@pytest.mark.parametrize("text", ["", "x", "1 zz", "1 a:b:c", "1 a:", "1 " + "f" * 250])
def test_malformed_report_is_parsed_as_none(text: str) -> None:
    assert decode_report(text) is None
