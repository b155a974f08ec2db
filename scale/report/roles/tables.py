"""The row functions of all roles, by the roles' names in the template."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from scale.report.roles import (
    agent,
    backends,
    control,
    control_machines,
    counter,
    regions,
    request_path,
    tenants,
)
from scale.report.roles.sources import Sources
from scale.report.rows import Row

ROLE_ROWS: Mapping[str, Callable[[Sources], list[Row]]] = {
    "path": request_path.rows,
    "control": control.rows,
    "agent": agent.rows,
    "machines": control_machines.rows,
    "counter": counter.rows,
    "tenants": tenants.rows,
    "backends": backends.rows,
    "regions": regions.rows,
}
