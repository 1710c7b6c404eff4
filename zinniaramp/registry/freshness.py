"""How recently the store has confirmed what a process knows of it."""

from collections.abc import Callable
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
    on_report : list of callable
        Called with each revision that the store is reported to have had, known here
        or not.
    """

    __slots__ = ("cache", "clock", "confirmed_at", "on_report")

    def __init__(self, *, cache: ItemCache, clock: Clock):
        self.cache = cache
        self.clock = clock
        self.confirmed_at: datetime | None = None
        self.on_report: list[Callable[[StoreRevision], None]] = []

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
        is_known = revision <= self.cache.revision
        confirmed_at = self.clock() - age
        if is_known and (self.confirmed_at is None or confirmed_at > self.confirmed_at):
            self.confirmed_at = confirmed_at
        for listener in self.on_report:
            listener(revision)
        return is_known

    def age(self) -> timedelta | None:
        """Return the time since the last confirmation; None before the first one."""
        if self.confirmed_at is None:
            return None
        return self.clock() - self.confirmed_at
