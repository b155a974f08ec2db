"""Tests of the delays from a change of the endpoint list until the ingresses act on it."""

from __future__ import annotations

from scale.experiment.change_delays import measure_change_delays
from scale.experiment.messages import Incarnation
from scale.standins.registry import PublishedChange


def test_delay_is_measured_at_each_ingress_that_runs_when_the_change_is_published() -> None:
    published = [PublishedChange(2, 10.0, ()), PublishedChange(3, 20.0, ())]
    incarnations = [
        Incarnation(number=0, started=0.0, acted=[(2, 10.5), (3, 21.0)]),
        Incarnation(number=1, started=0.0, ended=12.0, acted=[]),  # left out: ended before it acted
        Incarnation(number=1, started=15.0, acted=[(3, 26.0)]),
    ]
    delays = measure_change_delays(published, incarnations, observed_until=40.0)
    assert delays.delays == [0.5, 1.0, 6.0]
    # The second change is not in force in time, because one ingress acted on it after 6 s.
    assert (delays.missing_count, delays.in_force_share) == (0, 0.5)


def test_change_is_missing_when_a_running_ingress_never_acts_on_it() -> None:
    incarnation = Incarnation(number=0, started=0.0, acted=[(1, 11.0)])
    delays = measure_change_delays([PublishedChange(2, 10.0, ())], [incarnation], observed_until=40.0)
    assert (delays.delays, delays.missing_count, delays.in_force_share) == ([], 1, 0.0)
