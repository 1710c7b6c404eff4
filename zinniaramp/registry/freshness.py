"""How recently the store has confirmed what a process knows of it."""

from collections.abc import Callable
from datetime import datetime, timedelta

from ..clock import Clock
from .items import ItemCache, StoreRevision

__all__ = ["Freshness"]

MIN_OUTAGE = timedelta(seconds=2)
"""Time without any answer of the store above which entries may have expired meanwhile.

Entries expire after three heartbeat intervals of 1.2 s.  Without an outage the store
answers one of the gateways each second."""


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
    answered_at : datetime or None
        Latest time at which the store is known to have answered any gateway.
    on_return : list of callable
        Called when it has answered again after an outage.
    on_report : list of callable
        Called with each revision that the store is reported to have had, known here
        or not.
    """

    __slots__ = (
        "cache",
        "clock",
        "confirmed_at",
        "answered_at",
        "on_return",
        "on_report",
    )

    def __init__(self, *, cache: ItemCache, clock: Clock):
        self.cache = cache
        self.clock = clock
        self.confirmed_at: datetime | None = None
        self.answered_at: datetime | None = None
        self.on_return: list[Callable[[], None]] = []
        self.on_report: list[Callable[[StoreRevision], None]] = []

    def record_answer(self, *, age: timedelta) -> None:
        """Record that the store has answered a gateway some time ago.

        A lost connection is no outage as long as other gateways get answers.
        """
        answered_at, before = self.clock() - age, self.answered_at
        if before is not None and answered_at <= before:
            return
        self.answered_at = answered_at
        if before is not None and answered_at - before > MIN_OUTAGE:
            for listener in self.on_return:
                listener()

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
        self.record_answer(age=age)
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
