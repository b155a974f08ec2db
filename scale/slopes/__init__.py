"""Sweeps: measure the decision module alone, in child processes, at many sizes of a fleet."""
