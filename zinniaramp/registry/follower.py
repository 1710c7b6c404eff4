"""Following the store: one read of everything, then watches."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from random import Random

from result import Err, Ok, Result

from ..clock import Clock
from ..observability import emit
from ..reads import Backoff, ReadError
from .core import Registry
from .events import STORE_LOST, STORE_REGAINED
from .items import Snapshot

__all__ = ["Source", "StoreFollower"]

WATCH_WAIT = timedelta(seconds=10)
"""Wait of one watch: each call is priced, and a dead connection is found by
keep-alive probes, so that the wait need not be short."""

BACKOFF_FIRST = timedelta(milliseconds=200)
"""Bound of the first wait after a failed call; a call to a store that is away is
priced as well."""

BACKOFF_LIMIT = timedelta(seconds=1)
"""Bound of every wait: half of the time in which a version has to be in force."""

OUTAGE = timedelta(seconds=2)
"""Failures for so long count as an outage in which entries may have lapsed; they
lapse after three heartbeats of 1.2 s."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Source:
    """Calls to the store.

    Parameters
    ----------
    read_all : callable
        Returns all published items.
    watch : callable
        Returns what has changed after a revision, at the latest after a wait;
        `Ok(None)` if the history does not reach back so far.
    """

    read_all: Callable[[], Awaitable[Result[Snapshot, ReadError]]]
    watch: Callable[[int, timedelta], Awaitable[Result[Snapshot | None, ReadError]]]


class StoreFollower:
    """Keeps a registry up to date from the store.

    Parameters
    ----------
    source : Source
        The store's calls.
    registry : Registry
        What is kept up to date.
    clock : Clock
        The process's clock.
    random : Random
        Source of jitter.

    Attributes
    ----------
    unreachable_since : datetime or None
        Since when no call has succeeded; None while the store answers.
    """

    __slots__ = (
        "source",
        "registry",
        "clock",
        "backoff",
        "revision",
        "unreachable_since",
    )

    def __init__(
        self, *, source: Source, registry: Registry, clock: Clock, random: Random
    ):
        self.source = source
        self.registry = registry
        self.clock = clock
        self.backoff = Backoff(first=BACKOFF_FIRST, limit=BACKOFF_LIMIT, random=random)
        self.revision: int | None = None
        self.unreachable_since: datetime | None = None

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            match await self._next():
                case Ok(None):
                    self.revision = None
                case Ok(snapshot):
                    self._note_answer()
                    self.registry.apply(snapshot)
                    self.revision = snapshot.revision
                case Err(error):
                    self._note_failure(error)
                    await asyncio.sleep(self.backoff.next_wait().total_seconds())

    async def _next(self) -> Result[Snapshot | None, ReadError]:
        if self.revision is None:
            return await self.source.read_all()
        return await self.source.watch(self.revision, WATCH_WAIT)

    def _note_answer(self) -> None:
        self.backoff.reset()
        if self.unreachable_since is None:
            return
        away = self.clock() - self.unreachable_since
        self.unreachable_since = None
        if away > OUTAGE:
            self.registry.note_store_returned()
        emit(STORE_REGAINED, revision=self.revision, away_s=away.total_seconds())

    def _note_failure(self, error: ReadError) -> None:
        if self.unreachable_since is None:
            self.unreachable_since = self.clock()
            emit(STORE_LOST, revision=self.revision, problem=str(error))
