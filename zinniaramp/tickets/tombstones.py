"""Tombstones of attempts that were cancelled before they started."""

from datetime import datetime, timedelta

from ..clock import Clock

__all__ = ["Tombstones"]


class Tombstones:
    """Attempts that must never start, for a bounded time.

    Parameters
    ----------
    capacity : int
        Most tombstones held.
    retention : timedelta
        How long each is held; at least the longest time for which an offer can
        be under way.
    clock : Clock
        The process's clock.
    """

    def __init__(self, *, capacity: int, retention: timedelta, clock: Clock):
        self.capacity = capacity
        self.retention = retention
        self.clock = clock
        self.expiries: dict[str, datetime] = {}

    def add(self, attempt_id: str) -> bool:
        """Leave a tombstone.

        Returns
        -------
        bool
            Whether it was left.  If it was not, the cancellation must not be
            confirmed: the attempt might still arrive and start.
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
