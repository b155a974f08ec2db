"""Constants that several modules of the decision package use."""

NEVER = float("-inf")  # a time in seconds, before any event
SMOOTHING_FACTOR = 0.15  # factor of exponential smoothing; the mean covers about the last dozen samples
SLOW_SMOOTHING_FACTOR = (
    SMOOTHING_FACTOR / 4
)  # for values that change slowly; the mean covers about the last fifty samples
