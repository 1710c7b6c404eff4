"""Rate of events in the recent past."""

import math
from datetime import datetime, timedelta

__all__ = ["Rate"]


class Rate:
    """Exponentially decaying sum of amounts.

    Parameters
    ----------
    lifetime : timedelta
        Time in which an amount decays to 1/e.
    """

    __slots__ = ("lifetime_s", "amount", "at")

    def __init__(self, *, lifetime: timedelta):
        self.lifetime_s = lifetime.total_seconds()
        self.amount = 0.0
        self.at: datetime | None = None

    def add(self, amount: float, now: datetime) -> None:
        """Add an amount."""
        self.amount = self._decayed(now) + amount
        self.at = now

    def per_s(self, now: datetime) -> float:
        """Return the mean amount per second."""
        return self._decayed(now) / self.lifetime_s

    def _decayed(self, now: datetime) -> float:
        if self.at is None:
            return 0.0
        elapsed_s = max(0.0, (now - self.at).total_seconds())
        return self.amount * math.exp(-elapsed_s / self.lifetime_s)
