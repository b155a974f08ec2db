"""Constants that several modules of the decision package use."""

NEVER = float("-inf")  # time in seconds of an event that has not happened
SMOOTHING_FACTOR = 0.15  # factor of exponential smoothing; the mean covers about the last dozen samples
# For values that change slowly; the mean covers about the last fifty samples.
SLOW_SMOOTHING_FACTOR = SMOOTHING_FACTOR / 4
