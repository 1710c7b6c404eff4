"""Reads of the store's revision, which show changes that a watch has not delivered."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from random import Random

from result import Err

from ..clock import Clock
from ..reads import Backoff
from .follower import StoreFollower
from .freshness import Freshness
from .items import StoreRevision

__all__ = ["RevisionChecker"]

MAX_CONFIRMATION_AGE = timedelta(milliseconds=700)
"""Age of the last confirmation at which the store's revision is read.

A change has to be in force 2 s after the store has it.  The rest of that time is for
the spread of the reads, the watch's grace, and the peers' requests for the items."""

READ_SPREAD = timedelta(milliseconds=200)
"""Time over which gateways spread their reads, so that one read confirms the revision
for all that hear of it."""

WATCH_GRACE = timedelta(milliseconds=150)
"""Time that a watch has for a revision that a read has already shown."""

BACKOFF_FIRST = timedelta(milliseconds=200)
"""Upper bound of the first delay after a read without a confirmation."""

BACKOFF_LIMIT = timedelta(milliseconds=500)
"""Upper bound of every delay.

After an outage, changes are in force within 3 s of the store's return: a read that
times out, this delay, one that is answered, and then as without an outage."""


class RevisionChecker:
    """Confirms the known revision with the store if nothing else has lately.

    Answers to watches confirm it too, and so do the heartbeats of peers; in a mesh of
    gateways one of them reads the revision at a time.

    Parameters
    ----------
    follower : StoreFollower
        Reads the store; its watch is ended if it doesn't deliver a change.
    freshness : Freshness
        Last confirmation.
    on_confirmed : callable
        Called after a read that has confirmed the known revision.
    clock : Clock
        The process's clock.
    random : Random
        Source of jitter.
    """

    __slots__ = ("follower", "freshness", "on_confirmed", "clock", "random", "backoff")

    def __init__(
        self,
        *,
        follower: StoreFollower,
        freshness: Freshness,
        on_confirmed: Callable[[], None],
        clock: Clock,
        random: Random,
    ):
        self.follower = follower
        self.freshness = freshness
        self.on_confirmed = on_confirmed
        self.clock = clock
        self.random = random
        self.backoff = Backoff(first=BACKOFF_FIRST, limit=BACKOFF_LIMIT, random=random)

    async def run(self) -> None:
        """Check the revision until cancelled."""
        while True:
            await self._wait_until_due()
            if await self._check():
                self.backoff.reset()
            else:
                await asyncio.sleep(self.backoff.next_wait().total_seconds())

    async def _wait_until_due(self) -> None:
        limit = MAX_CONFIRMATION_AGE + self.random.uniform(0, 1) * READ_SPREAD
        while (age := self.freshness.age()) is None or age < limit:
            left = limit if age is None else limit - age
            await asyncio.sleep(left.total_seconds())

    async def _check(self) -> bool:
        """Read the store's revision, and return whether it is known here."""
        began_at = self.clock()
        watch = self.follower.watch
        read = await self.follower.read_revision()
        if isinstance(read, Err):
            return False
        if self._confirm(read.ok_value, self.clock() - began_at):
            return True
        await asyncio.sleep(WATCH_GRACE.total_seconds())
        if self._confirm(read.ok_value, self.clock() - began_at):
            return True
        if watch is not None and watch is self.follower.watch:
            self.follower.end_watch(read.ok_value)
        return False

    def _confirm(self, revision: StoreRevision, age: timedelta) -> bool:
        is_known = self.freshness.confirm(revision, age=age)
        if is_known:
            self.on_confirmed()
        return is_known
