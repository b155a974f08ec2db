"""One run of a scenario: the processes, the timeline of events, and the measures."""
