"""Sweeps: the decision module alone, measured in child processes at many sizes."""
