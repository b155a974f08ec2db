"""Simulates fleets in which backends start cold, and counts the requests that the cold backends get."""
