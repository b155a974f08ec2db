"""The settings of the ingresses in a simulation of cold starts."""

from __future__ import annotations

from ingress.interface import Plan, RequestClass, Settings
from scale.cold.job import ColdStartJob

LATENCY_OBJECTIVE_S = 1.0
DEADLINE_S = 4.0
CLASS_NAME = "read"
PLAN_NAME = "open"


def build_settings(job: ColdStartJob, number: int) -> Settings:
    """Return the settings of one ingress, without quotas: only the slow start limits the load."""
    return Settings(
        classes=(RequestClass(CLASS_NAME, LATENCY_OBJECTIVE_S, DEADLINE_S),),
        plans=(Plan(PLAN_NAME),),
        instance_index=number,
        instance_count=job.ingresses,
        drain_grace=1.0,
        slow_start_duration=job.cold_s,
        slow_start_initial_share=job.cold_share,
        overload_factor=job.fall_factor,
        overload_window=job.fall_s,
        max_attempts=4,
    )
