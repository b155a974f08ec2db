"""Run one scenario: its processes, its timeline of events, and its measures."""
