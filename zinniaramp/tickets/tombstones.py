"""Tombstones, which mark attempts that must not start or have already run."""

from datetime import datetime, timedelta

from ..clock import Clock

__all__ = ["Tombstones"]


class Tombstones:
    """Set of attempts, each of which is kept for a limited time.

    Parameters
    ----------
    capacity : int
        Limit on the tombstones.
    retention : timedelta
        Time for which each tombstone is kept; at least the longest time for which
        an offer can be in transit.
    clock : Clock
        The process's clock.
    """

    def __init__(self, *, capacity: int, retention: timedelta, clock: Clock):
        self.capacity = capacity
        self.retention = retention
        self.clock = clock
        self.expiries: dict[str, datetime] = {}

    def add(self, attempt_id: str) -> bool:
        """Add a tombstone, or renew an existing one.

        Returns
        -------
        bool
            Whether the tombstone was added; false if the limit is reached.  A
            cancellation must not be confirmed then, because the attempt might
            still arrive and start.
        """
        self._drop_expired()
        if attempt_id not in self.expiries and len(self.expiries) >= self.capacity:
            return False
        self.expiries.pop(attempt_id, None)
        self.expiries[attempt_id] = self.clock() + self.retention
        return True

    def __contains__(self, attempt_id: str) -> bool:
        self._drop_expired()
        return attempt_id in self.expiries

    def _drop_expired(self) -> None:
        now = self.clock()
        while self.expiries:
            oldest = next(iter(self.expiries))
            if self.expiries[oldest] > now:
                return
            del self.expiries[oldest]
