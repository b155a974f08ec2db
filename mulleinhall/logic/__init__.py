"""The decisions of a gateway: whom to admit, where to send, and when to give up.

`Gateway.handle` takes an event and returns the actions to carry out.  Time and the seed come from outside."""

from mulleinhall.logic.gateway import Gateway

__all__ = ["Gateway"]
