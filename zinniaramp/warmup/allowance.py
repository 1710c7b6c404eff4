"""What the gateways may send to a cold endpoint, divided without communication."""

import math
from collections.abc import Callable, Collection
from dataclasses import dataclass
from datetime import datetime, timedelta
from random import Random

from ..clock import Clock
from ..routing.rendezvous import rank
from ..routing.shared_limits import SharedLimits

__all__ = ["ColdAllowance", "ColdBounds"]

INTERVAL = timedelta(seconds=1.1)
"""Shortest time between two requests of one gateway to the same cold endpoint.  It
exceeds the second that the bound is about by the usual variation of the time that a
request takes to arrive; a request that is retransmitted varies by more."""

VIEWS = 2
"""Number of disjoint views of the gateways that may use the allowance at once, such as
the two sides of a partition after one of them was restarted.  The same reserve covers a
delayed request of each gateway that arrives in the same second as its next one."""

MAX_RANKINGS = 20
"""Number of endpoints whose rank is computed within `RANKING_WINDOW`.  One takes 0.7 ms
with 330 gateways, and all 600 endpoints at once would stop the process for 0.4 s."""

RANKING_WINDOW = timedelta(milliseconds=50)
"""Time over which computed ranks are counted; an endpoint without one gets nothing."""


@dataclass(slots=True, kw_only=True, frozen=True)
class ColdBounds:
    """Requests that a cold endpoint gets at most in any second.

    Parameters
    ----------
    overshoot : float
        Factor on the rate that it bears.
    slack : float
        Number of requests that is added.
    """

    overshoot: float = 1.0
    slack: float = 0.0

    def most_gateways(self, per_s: float) -> int:
        """Return how many gateways may send to an endpoint that bears `per_s` a second.

        Each of them sends at most one request a second.
        """
        limit = math.floor(per_s * self.overshoot + self.slack)
        return max(1, limit // VIEWS) if limit >= 1 else 0


class ColdAllowance:
    """Decides which requests this gateway may send to cold endpoints.

    Of the known gateways, those of highest rendezvous rank for the endpoint may send to
    it, each once in `INTERVAL`.  That bounds the sum whoever hears of whom.  Gateways
    that hear of each other also keep to the rate that the endpoint bears.

    Parameters
    ----------
    clock : Clock
        The process's clock.
    random : Random
        Source of the random delays.
    own_address : str
        Address of this gateway among the members.
    members : callable
        Returns the addresses of the known gateways; None if too few may be known.
    bounds : callable
        Returns the bounds in force.

    Attributes
    ----------
    rates : SharedLimits
        Rate that each cold endpoint bears, counted with the sends of other gateways.
    pending : dict of str
        Endpoints of the sends that are not written yet, by the number of the send.
    next_at : dict of datetime
        When this gateway may send to an endpoint again.
    """

    __slots__ = (
        "clock",
        "own_address",
        "members",
        "bounds",
        "rates",
        "pending",
        "next_at",
        "_positions",
        "_rankings",
        "_rankings_since",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        random: Random,
        own_address: str,
        members: Callable[[], frozenset[str] | None],
        bounds: Callable[[], ColdBounds],
    ):
        self.clock = clock
        self.own_address = own_address
        self.members = members
        self.bounds = bounds
        # The number of gateways is bounded, so the rate needs no division by those
        # that are not heard.
        self.rates = SharedLimits(clock=clock, random=random, visible_share=lambda: 1.0)
        self.pending: dict[object, str] = {}
        self.next_at: dict[str, datetime] = {}
        self._positions: dict[str, tuple[frozenset[str], int]] = {}
        self._rankings = 0
        self._rankings_since = clock()

    def opens_in(self, name: str, per_s: float) -> timedelta | None:
        """Return the time until this gateway may send to a cold endpoint; 0 is now.

        It is None if it may not at all, or waits for the end of another send.

        Parameters
        ----------
        name : str
            Incarnation of the endpoint.
        per_s : float
            Requests per second that it bears.
        """
        if not self._is_entitled(name, per_s) or name in self.pending.values():
            return None
        self.rates.apply(name, per_s)
        now = self.clock()
        own = max(timedelta(), self.next_at.get(name, now) - now)
        return max(own, self.rates.time_left([name]) or timedelta())

    def _is_entitled(self, name: str, per_s: float) -> bool:
        members = self.members()
        if members is None:
            return False
        known = self._positions.get(name)
        if known is None or known[0] is not members:
            if not self._may_rank():
                return False
            ranked = rank(name.encode(), members)
            known = self._positions[name] = members, ranked.index(self.own_address)
        return known[1] < self.bounds().most_gateways(per_s)

    def _may_rank(self) -> bool:
        """Count the computation of a rank; return whether it is within the limit."""
        now = self.clock()
        if now - self._rankings_since >= RANKING_WINDOW:
            self._rankings, self._rankings_since = 0, now
        self._rankings += 1
        return self._rankings <= MAX_RANKINGS

    def begin(self, number: object, name: str) -> None:
        """Record that a send has been assigned to a cold endpoint.

        The endpoint gets nothing more until `finish`, so that a process that is stopped
        in between does not send two requests at once when it continues.

        Parameters
        ----------
        number : object
            Key of the send.
        name : str
            Incarnation of the endpoint.
        """
        self.pending[number] = name
        self.record_call(name)

    def finish(self, number: object) -> None:
        """Record that a send is written or has failed; unknown numbers are ignored."""
        name = self.pending.pop(number, None)
        if name is not None:
            self.next_at[name] = self.clock() + INTERVAL

    def record_call(self, name: str) -> None:
        """Count a call of this gateway to a cold endpoint, whatever it is for."""
        self.rates.record(name)
        self.next_at[name] = self.clock() + INTERVAL

    def record_heard(self, name: str) -> None:
        """Count a send that another gateway has told of."""
        self.rates.record(name)

    def keep(self, names: Collection[str]) -> None:
        """Forget all endpoints except the cold ones.

        Parameters
        ----------
        names : collection of str
            Incarnations of the cold endpoints.
        """
        self.rates.keep(tuple(names))
        now = self.clock()
        self.next_at = {
            name: at for name, at in self.next_at.items() if name in names or at > now
        }
        self._positions = {
            name: value for name, value in self._positions.items() if name in names
        }
