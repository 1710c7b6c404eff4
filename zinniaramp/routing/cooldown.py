"""Cooldowns: times for which endpoints have asked to be left alone."""

from collections.abc import Sequence
from datetime import datetime, timedelta

from ..clock import Clock

__all__ = ["Cooldowns"]


class Cooldowns:
    """Endpoints that asked this process to send nothing for some time.

    Answers the load that exceeds an endpoint's capacity: it is sent elsewhere, or its
    callers learn when the first endpoint accepts requests again.  Unlike an ejection a
    cooldown is never cut short, not even if it leaves no endpoint.

    Parameters
    ----------
    clock : Clock
        The process's clock.

    Attributes
    ----------
    ends : dict of datetime
        End of each cooldown by the endpoint's name.
    """

    __slots__ = ("clock", "ends")

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.ends: dict[str, datetime] = {}

    def start(self, name: str, duration: timedelta) -> bool:
        """Start or extend a cooldown; return whether it ends later than before."""
        now = self.clock()
        self.ends = {one: end for one, end in self.ends.items() if end > now}
        end = now + duration
        if name in self.ends and self.ends[name] >= end:
            return False
        self.ends[name] = end
        return True

    def is_active(self, name: str) -> bool:
        """Return whether an endpoint is in its cooldown."""
        end = self.ends.get(name)
        return end is not None and self.clock() < end

    def usable(self, names: Sequence[str]) -> list[str]:
        """Return the endpoints that are not in a cooldown, in the same order."""
        return [name for name in names if not self.is_active(name)]

    def time_left(self, names: Sequence[str]) -> timedelta | None:
        """Return the time until the first of the endpoints is usable.

        It is None if one is usable now, or if there are no endpoints.
        """
        if not names or not all(self.is_active(name) for name in names):
            return None
        return min(self.ends[name] for name in names) - self.clock()
