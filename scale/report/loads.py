"""The rates and sizes at full size that follow from the figures asked for.  Rates are for a second."""

from __future__ import annotations

from scale.report import model
from scale.report.targets import SECONDS_PER_DAY, SITE, TARGETS

LEAST_SUBSET = 12.0  # backends: the subset of fixed size, and the least that follows the fleet
SUBSET_FACTOR = 2.0  # times the backends per ingress: the subset that follows the fleet's size
RELEASE_SHARE = 0.1  # of the ingresses, restarted within the worst minute
SOCKETS, SPARE_SOCKETS, BACKEND_PART = 1024.0, 48.0, 3.0  # descriptors of an ingress; a third are backends'

CONFIG_PER_S = TARGETS.config_changes_per_day / SECONDS_PER_DAY
LIST_PER_S = (
    model.list_changes_per_day(TARGETS.restarts_per_day, TARGETS.machine_failures_per_day) / SECONDS_PER_DAY
)
DAY_PER_S = CONFIG_PER_S + LIST_PER_S
STORM_PER_S = model.zone_changes_per_s(TARGETS.zone_backends) + CONFIG_PER_S
REQUESTS = model.per_ingress(TARGETS.requests_per_s, TARGETS.ingresses)
REGION_LOST = TARGETS.regions / (TARGETS.regions - 1)  # times the load while one region's goes to the others
SPREAD = (SITE.spread_low + SITE.spread_high) / 2
