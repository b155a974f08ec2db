"""Connections to backends, and the attempts that are sent on them."""
