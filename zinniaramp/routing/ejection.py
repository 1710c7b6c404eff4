"""Endpoints that fail are left out for a while."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from random import Random

from ..clock import Clock

__all__ = ["Ejections"]

BASE_TIME = timedelta(seconds=1)
"""Time for which the first failure leaves an endpoint out."""

MAX_TIME = timedelta(seconds=60)
"""Longest time for which an endpoint is left out."""

MAX_DOUBLINGS = 6
"""Doublings of `BASE_TIME` until `MAX_TIME` holds."""

MAX_SHARE = 0.5
"""Largest share of the endpoints that is left out at a time."""

PROBE_PROBABILITY = 0.1
"""Share of decisions in which an endpoint that was left out is tried again."""


@dataclass(slots=True, kw_only=True)
class Ejection:
    """One endpoint's failures in a row, and until when it is left out."""

    failures: int
    until: datetime


class Ejections:
    """Which endpoints are left out now.

    Parameters
    ----------
    clock : Clock
        The process's clock.
    random_source : random.Random
        Decides which requests probe.
    """

    __slots__ = ("clock", "random_source", "ejections")

    def __init__(self, *, clock: Clock, random_source: Random):
        self.clock = clock
        self.random_source = random_source
        self.ejections: dict[str, Ejection] = {}

    def record_failure(self, name: str) -> timedelta | None:
        """Leave an endpoint out, for longer with each failure in a row.

        Returns
        -------
        timedelta or None
            For how long; None if it is left out already.  Failures meanwhile are of
            attempts that were under way when the first one failed, so they count as
            one with it.
        """
        previous = self.ejections.get(name)
        if previous is not None and self.clock() < previous.until:
            return None
        failures = previous.failures + 1 if previous else 1
        time = min(MAX_TIME, BASE_TIME * 2 ** min(failures - 1, MAX_DOUBLINGS))
        self.ejections[name] = Ejection(failures=failures, until=self.clock() + time)
        return time

    def record_success(self, name: str) -> None:
        """Use an endpoint again like any other."""
        self.ejections.pop(name, None)

    def usable(self, names: Sequence[str]) -> list[str]:
        """Return the names that may be chosen now.

        Parameters
        ----------
        names : sequence of str
            Endpoints that could be chosen.

        Returns
        -------
        list of str
            All but at most `MAX_SHARE` of them, in the same order.  Those whose
            time is over are tried again in `PROBE_PROBABILITY` of decisions.
        """
        now = self.clock()
        left_out = [one for one in names if self._is_left_out(one, now)]
        left_out.sort(key=lambda one: self.ejections[one].until, reverse=True)
        dropped = set(left_out[: math.floor(MAX_SHARE * len(names))])
        return [one for one in names if one not in dropped]

    def _is_left_out(self, name: str, now: datetime) -> bool:
        ejection = self.ejections.get(name)
        if ejection is None:
            return False
        if now < ejection.until:
            return True
        return self.random_source.random() >= PROBE_PROBABILITY
