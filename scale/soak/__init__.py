"""Soak runs: one real ingress before bad clients, faulty backends and signals, and a check of rules."""
