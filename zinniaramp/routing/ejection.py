"""Outlier ejection: endpoints that fail are excluded for a limited time."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from random import Random

from ..clock import Clock

__all__ = ["Ejections"]

BASE_EJECTION_TIME = timedelta(seconds=1)
"""Ejection time after the first failure."""

MAX_EJECTION_TIME = timedelta(seconds=60)
"""Maximum ejection time."""

MAX_DOUBLINGS = 6
"""Doublings after which `MAX_EJECTION_TIME` applies; bounds the exponent."""

MAX_EJECTED_SHARE = 0.5
"""Maximum share of the endpoints that is ejected at a time."""

PROBE_PROBABILITY = 0.1
"""Probability that an endpoint is probed in a decision after its ejection time."""


@dataclass(slots=True, kw_only=True)
class Ejection:
    """State of one ejected endpoint.

    Parameters
    ----------
    failures : int
        Consecutive failures that counted.
    until : datetime
        End of the ejection time.
    """

    failures: int
    until: datetime


class Ejections:
    """Ejected endpoints of one process.

    Parameters
    ----------
    clock : Clock
        The process's clock.
    random_source : random.Random
        Decides which requests probe.

    Attributes
    ----------
    ejections : dict of Ejection
        Endpoints that have failed since their last success, by name.
    """

    __slots__ = ("clock", "random_source", "ejections")

    def __init__(self, *, clock: Clock, random_source: Random):
        self.clock = clock
        self.random_source = random_source
        self.ejections: dict[str, Ejection] = {}

    def record_failure(self, name: str) -> timedelta | None:
        """Eject an endpoint, for twice as long after each consecutive failure.

        Returns
        -------
        timedelta or None
            Ejection time; None if the endpoint is ejected already.  Further failures
            during an ejection are of attempts that were in flight when the first one
            failed, so they do not count as consecutive failures.
        """
        previous = self.ejections.get(name)
        if previous is not None and self.clock() < previous.until:
            return None
        failures = previous.failures + 1 if previous else 1
        time = min(
            MAX_EJECTION_TIME,
            BASE_EJECTION_TIME * 2 ** min(failures - 1, MAX_DOUBLINGS),
        )
        self.ejections[name] = Ejection(failures=failures, until=self.clock() + time)
        return time

    def record_success(self, name: str) -> None:
        """End the ejection of an endpoint and reset its failures."""
        self.ejections.pop(name, None)

    def usable(self, names: Sequence[str]) -> list[str]:
        """Return the endpoints that are not ejected.

        Parameters
        ----------
        names : sequence of str
            Names of all endpoints.

        Returns
        -------
        list of str
            The names in the same order.  At most `MAX_EJECTED_SHARE` of them are
            left out.  An endpoint whose ejection time is over is included with
            `PROBE_PROBABILITY` until it succeeds.
        """
        now = self.clock()
        ejected = [one for one in names if self._is_ejected(one, now)]
        ejected.sort(key=lambda one: self.ejections[one].until, reverse=True)
        excluded = set(ejected[: math.floor(MAX_EJECTED_SHARE * len(names))])
        return [one for one in names if one not in excluded]

    def _is_ejected(self, name: str, now: datetime) -> bool:
        ejection = self.ejections.get(name)
        if ejection is None:
            return False
        if now < ejection.until:
            return True
        return self.random_source.random() >= PROBE_PROBABILITY
