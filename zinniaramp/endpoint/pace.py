"""Estimate of the engine's token intervals and the silence timeout based on it."""

from datetime import timedelta

__all__ = ["IntervalEstimator"]

SMOOTHING = 0.05
"""Weight of the newest interval in the exponential moving averages."""

SILENCE_TIMEOUT_FACTOR = 40
"""Silence timeout as a multiple of the mean interval."""

FIRST_TOKEN_TIMEOUT_FACTOR = 5
"""Lower bound of the timeout for the first token, as a multiple of `minimum`."""


class IntervalEstimator:
    """Moving averages of the time to the first token and between tokens.

    Parameters
    ----------
    minimum : timedelta
        Lower bound of the timeout between two tokens.

    Attributes
    ----------
    first_token_s : float
        Moving average of the time to the first token, in seconds.
    interval_s : float
        Moving average of the time between two tokens, in seconds.

    Notes
    -----
    The engine's own load report lags, so only the arrival of tokens is used.  An
    engine that slows down by less than `SILENCE_TIMEOUT_FACTOR` raises the average and
    the timeout with it, and is not treated as failed.
    """

    __slots__ = ("minimum", "first_token_s", "interval_s")

    def __init__(self, *, minimum: timedelta):
        self.minimum = minimum
        self.first_token_s = 0.0
        self.interval_s = 0.0

    def record(self, interval: timedelta, *, is_first: bool) -> None:
        """Record the time until a token, counted from the last activity."""
        seconds = interval.total_seconds()
        if is_first:
            self.first_token_s += SMOOTHING * (seconds - self.first_token_s)
        else:
            self.interval_s += SMOOTHING * (seconds - self.interval_s)

    def silence_timeout(self, *, is_first: bool) -> timedelta:
        """Return how long a generating engine may send nothing before it has failed."""
        if is_first:
            minimum, mean = (
                FIRST_TOKEN_TIMEOUT_FACTOR * self.minimum,
                self.first_token_s,
            )
        else:
            minimum, mean = self.minimum, self.interval_s
        return max(minimum, timedelta(seconds=SILENCE_TIMEOUT_FACTOR * mean))
