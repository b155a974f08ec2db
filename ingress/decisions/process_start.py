"""The time when this process of the gateway started."""

from dataclasses import dataclass

MILLISECONDS_PER_S = 1000


@dataclass(slots=True)
class ProcessStart:
    """The start time of this process, which is the time of its first event."""

    is_known: bool = False
    """Whether the first event has occurred."""
    started_at: float = 0.0
    """Time of the first event (s); 0 until then."""
    incarnation: int = 0
    """`started_at` in whole milliseconds; distinguishes gossip of this process from that of earlier ones."""

    def record_first_event(self, now: float) -> None:
        """Record that the first event occurred at `now` (s)."""
        self.is_known = True
        self.started_at = now
        self.incarnation = int(now * MILLISECONDS_PER_S)

    def age(self, now: float) -> float:
        """Return the seconds since the process started."""
        return now - self.started_at
