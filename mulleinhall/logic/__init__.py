"""The decisions of a gateway: `Gateway.handle` takes an event and returns the actions to carry out."""

from mulleinhall.logic.gateway import Gateway

__all__ = ["Gateway"]
