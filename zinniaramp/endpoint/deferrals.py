"""Offers that wait because their revision is not in force yet."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from ..contracts import Offer
from ..links import Connection

__all__ = ["DeferredOffers"]

MAX_DEFERRAL = timedelta(seconds=0.5)
"""Longest time that an offer waits for its revision.

This is half of the time that an entry process waits for a response to its offer."""


@dataclass(slots=True, kw_only=True, frozen=True, eq=False)
class DeferredOffer:
    """An offer that waits because its revision is not in force here yet."""

    connection: Connection
    offer: Offer


class DeferredOffers:
    """Holds offers until their revision is in force, for at most `MAX_DEFERRAL`.

    Parameters
    ----------
    place : callable
        Places an offer that arrived on a stream.

    Attributes
    ----------
    waiting : list of DeferredOffer
        Offers that wait, in the order of their arrival.
    """

    __slots__ = ("place", "waiting")

    def __init__(self, *, place: Callable[[Connection, Offer], None]):
        self.place = place
        self.waiting: list[DeferredOffer] = []

    def add(self, connection: Connection, offer: Offer) -> None:
        """Hold an offer."""
        deferred = DeferredOffer(connection=connection, offer=offer)
        self.waiting.append(deferred)
        loop = asyncio.get_running_loop()
        loop.call_later(MAX_DEFERRAL.total_seconds(), self._release, deferred)

    def release(self, revision_index: int) -> None:
        """Place the offers whose revision is in force.

        Parameters
        ----------
        revision_index : int
            Index of the revision in force.
        """
        for deferred in list(self.waiting):
            if deferred.offer.revision_index <= revision_index:
                self._release(deferred)

    def _release(self, deferred: DeferredOffer) -> None:
        """Place an offer unless already placed or its stream is closed."""
        if deferred not in self.waiting:
            return
        self.waiting.remove(deferred)
        if not deferred.connection.is_closed:
            self.place(deferred.connection, deferred.offer)
