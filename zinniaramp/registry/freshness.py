"""How recently the store has confirmed what a process knows of it."""

from datetime import datetime, timedelta

from ..clock import Clock
from .items import ItemCache, StoreRevision

__all__ = ["Freshness"]


class Freshness:
    """Latest time at which the process is known to have had all changes of the store.

    Parameters
    ----------
    cache : ItemCache
        Items that the process has.
    clock : Clock
        The process's clock.

    Attributes
    ----------
    confirmed_at : datetime or None
        That time; None before the first answer of the store.
    """

    __slots__ = ("cache", "clock", "confirmed_at")

    def __init__(self, *, cache: ItemCache, clock: Clock):
        self.cache = cache
        self.clock = clock
        self.confirmed_at: datetime | None = None

    def confirm(self, revision: StoreRevision, *, age: timedelta) -> bool:
        """Record a revision that the store had, and return whether it is known here.

        Parameters
        ----------
        revision : StoreRevision
            Revision of the store.  One that the process doesn't have yet confirms
            nothing.
        age : timedelta
            Time since the store had it.
        """
        if revision > self.cache.revision:
            return False
        confirmed_at = self.clock() - age
        if self.confirmed_at is None or confirmed_at > self.confirmed_at:
            self.confirmed_at = confirmed_at
        return True

    def age(self) -> timedelta | None:
        """Return the time since the last confirmation; None before the first one."""
        if self.confirmed_at is None:
            return None
        return self.clock() - self.confirmed_at
