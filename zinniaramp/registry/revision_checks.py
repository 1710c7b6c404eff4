"""Reads of the store's revision, which show changes that a watch has not delivered."""

import asyncio
from collections.abc import Callable
from datetime import datetime, timedelta
from random import Random

from result import Err

from ..clock import Clock
from ..reads import Backoff
from .follower import WATCH_GRACE, StoreFollower
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

ANSWER_WAIT = timedelta(milliseconds=500)
"""Time that a read may take before another one is sent beside it.

The first read after an outage must not wait until those of the outage time out; on a
link where packets wait, a read takes longer than this and is answered all the same."""

BACKOFF_FIRST = timedelta(milliseconds=200)
"""Upper bound of the first delay after a read without a confirmation."""

BACKOFF_LIMIT = timedelta(milliseconds=500)
"""Upper bound of every delay.

After an outage, changes are in force within 3 s of the store's return: `ANSWER_WAIT`,
this delay, a read that is answered, and then as without an outage."""


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

    Attributes
    ----------
    unanswered : set of datetime
        Times at which reads were sent that have no answer yet.
    """

    __slots__ = (
        "follower",
        "freshness",
        "on_confirmed",
        "clock",
        "random",
        "backoff",
        "unanswered",
    )

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
        self.unanswered: set[datetime] = set()

    async def run(self) -> None:
        """Check the revision until cancelled."""
        async with asyncio.TaskGroup() as checks:
            while True:
                await self._wait_until_due()
                check = checks.create_task(self._check())
                await asyncio.wait([check], timeout=ANSWER_WAIT.total_seconds())
                if check.done() and check.result():
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
        watch = self.follower.watch
        sent_at = self.clock()
        self.unanswered.add(sent_at)
        try:
            read = await self.follower.read_revision()
        finally:
            self.unanswered.discard(sent_at)
        if isinstance(read, Err):
            return False
        for earlier in [one for one in self.unanswered if one < sent_at]:
            self.follower.record_lost_call(earlier)
        if self._confirm(read.ok_value, self.clock() - sent_at):
            return True
        await asyncio.sleep(WATCH_GRACE.total_seconds())
        if self._confirm(read.ok_value, self.clock() - sent_at):
            return True
        if watch is not None and watch is self.follower.watch:
            self.follower.end_watch(read.ok_value)
        return False

    def _confirm(self, revision: StoreRevision, age: timedelta) -> bool:
        is_known = self.freshness.confirm(revision, age=age)
        if is_known:
            self.on_confirmed()
        return is_known
