"""Limits on the request rate of endpoints, kept by all gateways together."""

import math
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from random import Random

from ..clock import Clock

__all__ = ["LimitReport", "SharedLimits"]

MIN_RATE = 0.1
"""Lowest rate, in requests per second, also if an endpoint names a lower one.

An answer has to show from time to time whether the limit is still in force."""

BURST = timedelta(seconds=1)
"""Time over which requests at the limit may come at once."""

MAX_DEBT = timedelta(seconds=4)
"""Longest time that requests beyond the limit delay the next one, if the interval
between requests is shorter.  Endpoints judge the rate over 4 s."""

SPREAD = 0.5
"""Largest random delay of a request, as a share of the interval between requests.

Gateways learn of each other's requests some milliseconds late, so those that wait for
the same moment must not all use it."""


@dataclass(slots=True, kw_only=True, frozen=True)
class LimitReport:
    """What a gateway knows of the limit of an endpoint.

    Parameters
    ----------
    name : str
        Name of the endpoint.
    rate : float or None
        Requests per second from all gateways together; None without a limit.
    version : int
        Number of changes of the limit that led to this one; 0 if none is known.
    """

    name: str
    rate: float | None
    version: int

    def supersedes(self, other: "LimitReport") -> bool:
        """Return whether this report replaces another one of the same endpoint.

        Of two changes with the same version, the one with the lower rate does.
        """
        return self._rank() > other._rank()

    def _rank(self) -> tuple[int, float]:
        return self.version, -math.inf if self.rate is None else -self.rate


@dataclass(slots=True, kw_only=True)
class SharedLimit:
    """Limit of one endpoint.

    Parameters
    ----------
    rate : float
        Requests per second that the endpoint takes from all gateways together.
    due : datetime
        Time at which the requests so far are used up at the limited rate.
    spread : float
        Random delay of this gateway's next request, from 0 to 1.
    """

    rate: float
    due: datetime
    spread: float


class SharedLimits:
    """Request rates that endpoints have named for all gateways together.

    Answers the load on an endpoint in need: what it does not take goes to others, or
    its callers learn when to come back.  Each gateway counts its own requests and those
    that it hears of.  If it does not hear of all gateways, it uses a share of the rate
    that corresponds to the gateways that it hears of, so that groups of gateways that
    are cut off from each other keep to the limit together.

    Reports about changes arrive in any order, also after answers that contradict them.
    Gateways that have exchanged them know the same limits, since each applies the one
    that supersedes all others.

    Parameters
    ----------
    clock : Clock
        The process's clock.
    random : Random
        Source of the random delays.
    visible_share : callable
        Returns the share of all gateways whose requests this one hears of, itself
        included; above 0, at most 1.

    Attributes
    ----------
    limits : dict of SharedLimit
        Limits in force, by the endpoint's name.
    versions : dict of int
        Number of changes of each limit, also of those that are no longer in force.
    """

    __slots__ = ("clock", "random", "visible_share", "limits", "versions")

    def __init__(
        self, *, clock: Clock, random: Random, visible_share: Callable[[], float]
    ):
        self.clock = clock
        self.random = random
        self.visible_share = visible_share
        self.limits: dict[str, SharedLimit] = {}
        self.versions: dict[str, int] = {}

    def apply(self, name: str, rate: float | None) -> bool:
        """Apply the limit that an endpoint's answer names; return if it is new.

        Parameters
        ----------
        name : str
            Name of the endpoint.
        rate : float or None
            Requests per second from all gateways together; None if there is no limit.
        """
        known = self.report(name)
        if known.rate == rate:
            return False
        self.versions[name] = known.version + 1
        self._set(name, rate)
        return True

    def apply_report(self, report: LimitReport) -> bool:
        """Apply another gateway's report if it is new; return whether it is.

        A new report has to be sent on, because not every pair of gateways is connected.
        """
        if not report.supersedes(self.report(report.name)):
            return False
        self.versions[report.name] = report.version
        self._set(report.name, report.rate)
        return True

    def report(self, name: str) -> LimitReport:
        """Return what is known of the limit of an endpoint."""
        limit = self.limits.get(name)
        return LimitReport(
            name=name,
            rate=limit.rate if limit else None,
            version=self.versions.get(name, 0),
        )

    def reports(self) -> Iterator[LimitReport]:
        """Yield what is known of all endpoints that have or had a limit."""
        return map(self.report, self.versions)

    def _set(self, name: str, rate: float | None) -> None:
        if rate is None:
            self.limits.pop(name, None)
            return
        if name in self.limits:
            self.limits[name].rate = rate
            return
        limit = SharedLimit(rate=rate, due=self.clock(), spread=self.random.random())
        # Gateways that don't hear of each other must not all begin at once.
        limit.due += self.random.random() * self._interval(limit)
        self.limits[name] = limit

    def keep(self, names: Sequence[str]) -> None:
        """Remove the limits of all endpoints except the named ones."""
        listed = set(names)
        for name in self.versions.keys() - listed:
            del self.versions[name]
            self.limits.pop(name, None)

    def is_limited(self, name: str) -> bool:
        """Return whether an endpoint has a limit."""
        return name in self.limits

    def record(self, name: str) -> None:
        """Count a request of this or another gateway to an endpoint."""
        limit = self.limits.get(name)
        if limit is not None:
            now, interval = self.clock(), self._interval(limit)
            latest = now + max(MAX_DEBT, interval)
            limit.due = min(max(limit.due, now) + interval, latest)
            limit.spread = self.random.random()

    def usable(self, names: Sequence[str]) -> list[str]:
        """Return the endpoints that may get a request now, in the same order."""
        if not self.limits:
            return list(names)
        now = self.clock()
        return [name for name in names if self._opens_at(name, now) <= now]

    def time_left(self, names: Sequence[str]) -> timedelta | None:
        """Return the time until the first of the endpoints may get a request.

        It is None if one may get a request now, or if there are no endpoints.
        """
        now = self.clock()
        opening = min((self._opens_at(name, now) for name in names), default=now)
        return opening - now if opening > now else None

    def _interval(self, limit: SharedLimit) -> timedelta:
        share = max(limit.rate, MIN_RATE) * self.visible_share()
        return timedelta(seconds=1 / share)

    def _opens_at(self, name: str, now: datetime) -> datetime:
        limit = self.limits.get(name)
        if limit is None:
            return now
        interval = self._interval(limit)
        burst = max(timedelta(), BURST - interval)
        return limit.due - burst + SPREAD * limit.spread * interval
