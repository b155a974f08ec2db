"""The decisions of a gateway: whom to admit, where to send, and when to give up.

`Gateway.handle` takes one event of `mulleinhall/interface.py` and returns the actions to carry out.  The
package reads no clock, file or environment: time and the seed come from outside, so the same events always
give the same actions.
"""

from mulleinhall.logic.gateway import Gateway

__all__ = ["Gateway"]
