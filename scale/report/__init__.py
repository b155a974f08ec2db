"""Read the saved results, fit how costs grow with size, plot them and render the capacity page."""
