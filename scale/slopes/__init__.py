"""Sweeps: measures the decision module at many sizes of a fleet, in child processes."""
