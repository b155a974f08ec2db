"""Reads saved results, fits their growth, plots it and renders the capacity page."""
