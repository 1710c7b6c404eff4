"""Which endpoints are cold, as far as this process has heard or seen."""

from collections.abc import Collection
from datetime import datetime, timedelta

from ..clock import Clock

__all__ = ["NO_TIME", "WarmUps"]

NO_TIME = timedelta()
"""Remaining time of the warm-up of a warm endpoint."""

ABSENCE_MEMORY = timedelta(minutes=10)
"""Time for which an incarnation that is no longer listed is remembered.  An entry that
the store lost and lists again within this time is not taken for a start."""


class WarmUps:
    """What is known of the warm-up of each endpoint.

    The entry, the answers and the time of the listing may disagree; the one that makes
    the endpoint cold for longest counts.  Times are those of the process's clock, so
    that another host's clock does not matter.

    Parameters
    ----------
    clock : Clock
        The process's clock.

    Attributes
    ----------
    began_at : dict of datetime
        When a warm-up of unstated length began, by the endpoint's incarnation: its
        listing during traffic, or the end of its data centre's evacuation.
    reported_until : dict of datetime
        Latest end of the warm-up that entries and answers have reported.
    absent_since : dict of datetime or None
        Known incarnations, with the time since which they are not listed; None while
        they are.
    """

    __slots__ = ("clock", "began_at", "reported_until", "absent_since")

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.began_at: dict[str, datetime] = {}
        self.reported_until: dict[str, datetime] = {}
        self.absent_since: dict[str, datetime | None] = {}

    def record_entry(
        self, name: str, remaining: timedelta, *, is_first_read: bool
    ) -> bool:
        """Record the entry of an endpoint; return whether it was listed during traffic.

        Parameters
        ----------
        name : str
            Incarnation of the endpoint.
        remaining : timedelta
            Remaining time of its warm-up according to the entry; 0 if it is warm.
        is_first_read : bool
            Whether the entry is in the first read of this process.  Such an endpoint
            may have served for long, so that only the reported time counts.
        """
        is_new = name not in self.absent_since
        self.absent_since[name] = None
        if is_new and not is_first_read:
            self.began_at[name] = self.clock()
        self.record_report(name, remaining)
        return is_new and not is_first_read

    def record_report(self, name: str, remaining: timedelta) -> bool:
        """Record that an endpoint reports how much longer it is cold.

        Returns
        -------
        bool
            Whether it was not known to be cold by a report before.
        """
        if remaining <= timedelta():
            return False
        now = self.clock()
        known = self.reported_until.get(name, now)
        self.reported_until[name] = max(known, now + remaining)
        return known <= now

    def record_revoked(self, name: str) -> None:
        """Record the end of an evacuation, after which an endpoint is cold.

        A reported time that is not over yet replaces the service's usual one.
        """
        now = self.clock()
        if self.reported_until.get(name, now) <= now:
            self.began_at[name] = now

    def time_left(self, name: str, cold_start: timedelta) -> timedelta:
        """Return how much longer an endpoint is cold; 0 if it is warm.

        Parameters
        ----------
        name : str
            Incarnation of the endpoint.
        cold_start : timedelta
            Length of a warm-up whose length is not stated.
        """
        if not self.may_be_cold(name):
            return NO_TIME
        now = self.clock()
        until = self.reported_until.get(name, now)
        began = self.began_at.get(name)
        if began is not None:
            until = max(until, began + cold_start)
        if until > now:
            return until - now
        self.began_at.pop(name, None)
        self.reported_until.pop(name, None)
        return NO_TIME

    def may_be_cold(self, name: str) -> bool:
        """Return whether a warm-up of an endpoint is recorded that may not be over."""
        return name in self.began_at or name in self.reported_until

    def keep(self, names: Collection[str]) -> None:
        """Forget the endpoints that have not been listed for `ABSENCE_MEMORY`.

        Parameters
        ----------
        names : collection of str
            Incarnations that are listed.
        """
        now = self.clock()
        for name, since in tuple(self.absent_since.items()):
            if name in names:
                self.absent_since[name] = None
            elif since is None:
                self.absent_since[name] = now
            elif now - since > ABSENCE_MEMORY:
                del self.absent_since[name]
                self.began_at.pop(name, None)
                self.reported_until.pop(name, None)
