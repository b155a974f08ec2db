"""The collection of the actions that result from one event."""

import ingress.interface as api


class ActionSink:
    """Collects the actions for the current event; all parts of a gateway add to the same sink."""

    __slots__ = ("actions",)

    def __init__(self) -> None:
        self.actions: list[api.Action] = []

    def begin_event(self) -> None:
        """Start a new list; the previous list is not changed, because the host may still read it."""
        self.actions = []

    def emit(self, action: api.Action) -> None:
        """Add an action to the list of the current event."""
        self.actions.append(action)
