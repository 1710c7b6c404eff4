"""How fast the engine answers, and when its silence means that it has failed."""

from datetime import timedelta

__all__ = ["Pace"]

SMOOTHING = 0.05
"""Weight of the newest interval in the running means."""

SILENCE_FACTOR = 40
"""Multiple of the mean interval that counts as silence."""

FIRST_TOKEN_FACTOR = 5
"""Multiple of the bound between tokens that bounds the wait for the first."""


class Pace:
    """Running means of the intervals between the engine's signs of life.

    Parameters
    ----------
    least : timedelta
        Least bound between two tokens.

    Notes
    -----
    The engine's own load report lags, so only what arrives is used.  An engine
    that has slowed down by less than `SILENCE_FACTOR` moves the mean, and with it
    the bound, and is not taken for a failed one.
    """

    __slots__ = ("least", "first_s", "interval_s")

    def __init__(self, *, least: timedelta):
        self.least = least
        self.first_s = 0.0
        self.interval_s = 0.0

    def note(self, interval: timedelta, *, is_first: bool) -> None:
        """Note the time until a token, counted from the last sign of life."""
        seconds = interval.total_seconds()
        if is_first:
            self.first_s += SMOOTHING * (seconds - self.first_s)
        else:
            self.interval_s += SMOOTHING * (seconds - self.interval_s)

    def silence_bound(self, *, is_first: bool) -> timedelta:
        """Return how long the engine may give nothing while it should generate."""
        if is_first:
            least, mean = FIRST_TOKEN_FACTOR * self.least, self.first_s
        else:
            least, mean = self.least, self.interval_s
        return max(least, timedelta(seconds=SILENCE_FACTOR * mean))
