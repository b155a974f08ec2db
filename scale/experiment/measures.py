"""Compute measures of a run from what its parts have counted."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence

from scale.experiment.messages import HollowReport
from scale.standins.histograms import TimeHistogram


def merge_times(encoded_histograms: Iterable[str]) -> TimeHistogram:
    """Merge encoded histograms into one."""
    times = TimeHistogram()
    for text in encoded_histograms:
        times.add_encoded(text)
    return times


def calculate_share(part: float, whole: float) -> float:
    """Return the share of a part in a whole, or 0 if the whole is 0."""
    return part / whole if whole else 0.0


def outcome_measures(hollow_counts: Counter[str], client_counts: Counter[str]) -> dict[str, float]:
    """Return the shares of the outcomes over all ingresses, and the counts of violations."""
    totals = hollow_counts + client_counts
    failed_count = totals["failed"] + totals["forced"]
    ended_count = totals["served"] + totals["refused"] + failed_count + totals["lost"]
    real_ended_count = sum(client_counts[key] for key in ("served", "refused", "failed", "lost"))
    measures = {
        "requests": float(totals["requests"]),
        "served_share": calculate_share(totals["served"], ended_count),
        "refused_share": calculate_share(totals["refused"], ended_count),
        "failed_share": calculate_share(failed_count, ended_count),
        "forced": float(totals["forced"]),
        "cut_by_restart": float(totals["cut"]),
        "unreachable": float(totals["unreachable"]),
        "late": float(totals["late"]),
        "lost": float(totals["lost"]),
        "duplicated": float(totals["duplicated"]),
        "wrong": float(totals["wrong"]),
    }
    if real_ended_count:
        measures["real_served_share"] = calculate_share(client_counts["served"], real_ended_count)
        measures["real_requests"] = float(client_counts["requests"])
    return measures


def hollow_measures(reports: Sequence[HollowReport]) -> dict[str, float]:
    """Return what the workers measured in the decision module, the counter's client and their event loops."""
    counts = sum((Counter(report.counts) for report in reports), Counter())
    request_cpu = merge_times(report.request_cpu for report in reports)
    change_cpu = merge_times(report.change_cpu for report in reports)
    counter_wait = merge_times(report.counter_wait for report in reports)
    worker_lag = merge_times(report.worker_lag for report in reports)
    measures = {
        "request_cpu_p50_us": request_cpu.get_percentile_us(50),
        "request_cpu_p99_us": request_cpu.get_percentile_us(99),
        "counter_wait_share": calculate_share(counts["waited"], counts["requests"]),
        "counter_wait_p50_ms": counter_wait.get_percentile_ms(50),
        "counter_wait_p99_ms": counter_wait.get_percentile_ms(99),
        "counter_unanswered_share": calculate_share(counts["counter_unanswered"], counts["counter_calls"]),
        "counter_calls_per_request": calculate_share(counts["counter_calls"], counts["requests"]),
        "watch_cancels_repeated": float(counts["cancellations_lost"]),
        "worker_lag_p50_ms": worker_lag.get_percentile_ms(50),
        "worker_lag_p99_ms": worker_lag.get_percentile_ms(99),
    }
    if change_cpu.count:
        measures["change_cpu_us"] = change_cpu.get_percentile_us(50)
        measures["change_cpu_p99_us"] = change_cpu.get_percentile_us(99)
    return measures
