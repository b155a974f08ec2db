"""Rates and sizes at full size that follow from the targets."""

from __future__ import annotations

from scale.report import model
from scale.report.targets import SECONDS_PER_DAY, SITE, TARGETS

MIN_SUBSET_BACKENDS = 12.0  # size of a fixed subset, and minimum size of a subset that follows the fleet
SUBSET_FACTOR = 2.0  # size of a subset that follows the fleet, as a multiple of the backends per ingress
RELEASE_SHARE = 0.1  # share of the ingresses that a release restarts within one minute
MAX_DESCRIPTORS = 1024.0  # file descriptors of an ingress
RESERVED_DESCRIPTORS = 48.0  # file descriptors for uses other than client and backend connections
BACKEND_DESCRIPTORS_DIVISOR = 3.0  # a third of the remaining file descriptors is for connections to backends

CONFIG_CHANGES_PER_S = TARGETS.config_changes_per_day / SECONDS_PER_DAY
LIST_CHANGES_PER_S = (
    model.list_changes_per_day(TARGETS.restarts_per_day, TARGETS.machine_failures_per_day) / SECONDS_PER_DAY
)
DAY_CHANGES_PER_S = CONFIG_CHANGES_PER_S + LIST_CHANGES_PER_S
WORST_MINUTE_CHANGES_PER_S = model.zone_changes_per_s(TARGETS.zone_backends) + CONFIG_CHANGES_PER_S
REQUESTS_PER_S = model.per_ingress(TARGETS.requests_per_s, TARGETS.ingresses)  # at one ingress
# Factor by which the load of an ingress rises while one region is down and the others take its requests.
REGION_LOSS_FACTOR = TARGETS.regions / (TARGETS.regions - 1)
INGRESSES_PER_TENANT = (SITE.spread_low + SITE.spread_high) / 2
