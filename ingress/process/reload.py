"""Reload of the configuration: the fields that a running program applies, and those that need a restart."""

from __future__ import annotations

from dataclasses import fields, replace

from ingress.process.configuration import Config

RELOADED_FIELDS = frozenset({"discovery", "counter"})
START_ONLY_FIELDS = frozenset({"seed", "known"})  # unused after the start: a change needs no restart


def apply_reload(current: Config, new: Config) -> Config:
    """Return the current configuration with the reloaded fields of the new one."""
    return replace(current, discovery=new.discovery, counter=new.counter)


def find_fields_requiring_restart(current: Config, new: Config) -> list[str]:
    """Return the names of the changed fields that take effect only after a restart."""
    names = [field.name for field in fields(Config) if field.name not in RELOADED_FIELDS | START_ONLY_FIELDS]
    return [name for name in names if getattr(current, name) != getattr(new, name)]
