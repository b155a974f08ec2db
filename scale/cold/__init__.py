"""Simulate fleets in which backends start cold, and count what each cold backend gets from all ingresses."""
