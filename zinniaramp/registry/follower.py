"""Replication from the store: one full read, followed by watches."""

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
from .events import HISTORY_READ, STORE_LOST, STORE_REGAINED, WATCH_OVERDUE
from .items import NO_REVISION, History, Snapshot, StoreRevision

__all__ = ["Source", "StoreFollower"]

WATCH_TIMEOUT = timedelta(seconds=20)
"""Long-poll timeout of one watch.

Each call is billed, so the timeout is long.  A watch that the store doesn't answer is
ended earlier, when a read of the revision shows a change."""

WATCH_PAUSE = timedelta(milliseconds=250)
"""Pause before the next watch after one that returned changes.

Changes come in groups, when endpoints start for example, and a watch returns at the
first one.  The pause is short against the 2 s in which a change has to be in force."""

BACKOFF_FIRST = timedelta(milliseconds=200)
"""Upper bound of the first delay after a failed call.

A call to an unavailable store is billed as well."""

BACKOFF_LIMIT = timedelta(seconds=1)
"""Upper bound of every delay: half of the time limit for activating a version."""

FULL_REACH = timedelta(days=1)
"""Time to which a history reaches back that begins with the store; longer than streams
last."""

MILLISECOND = timedelta(milliseconds=1)
"""Unit of durations in the log."""

MIN_OUTAGE = timedelta(seconds=2)
"""Time without a successful call above which entries may have expired in the outage.

Entries expire after three heartbeat intervals of 1.2 s."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Source:
    """Calls to the store.

    Parameters
    ----------
    read_all : callable
        Returns all items.
    watch : callable
        Takes a revision and a timeout; returns the changes after the revision, at
        the latest after the timeout.  Returns `Ok(None)` if the store's history no
        longer covers the revision.
    read_revision : callable
        Returns the store's current revision.
    read_history : callable
        Returns the changes of the endpoints' entries that the store still has.
    """

    read_all: Callable[[], Awaitable[Result[Snapshot, ReadError]]]
    watch: Callable[
        [StoreRevision, timedelta], Awaitable[Result[Snapshot | None, ReadError]]
    ]
    read_revision: Callable[[], Awaitable[Result[StoreRevision, ReadError]]]
    read_history: Callable[[], Awaitable[Result[History, ReadError]]]


class StoreFollower:
    """Keeps a registry up to date from the store.

    Parameters
    ----------
    source : Source
        Calls to the store.
    registry : Registry
        Registry to update.
    clock : Clock
        The process's clock.
    random : Random
        Source of jitter.
    history_length : timedelta
        Time for which the store keeps its changes.

    Attributes
    ----------
    revision : StoreRevision or None
        Revision after which the next watch continues; None if a full read is needed.
    unreachable_since : datetime or None
        Time of the first failed call since the last successful one; None if the
        last call succeeded.
    watch : asyncio.Task or None
        The watch that waits for an answer; None between two watches.
    watch_sent_at : datetime or None
        Time at which the latest watch was sent; None before the first one.
    """

    __slots__ = (
        "source",
        "registry",
        "clock",
        "history_length",
        "backoff",
        "revision",
        "unreachable_since",
        "watch",
        "watch_sent_at",
    )

    def __init__(
        self,
        *,
        source: Source,
        registry: Registry,
        clock: Clock,
        random: Random,
        history_length: timedelta = timedelta(),
    ):
        self.source = source
        self.history_length = history_length
        self.registry = registry
        self.clock = clock
        self.backoff = Backoff(first=BACKOFF_FIRST, limit=BACKOFF_LIMIT, random=random)
        self.revision: StoreRevision | None = None
        self.unreachable_since: datetime | None = None
        self.watch: asyncio.Task | None = None
        self.watch_sent_at: datetime | None = None

    async def run(self) -> None:
        """Replicate the store until cancelled."""
        while True:
            match await self._read_next():
                case Ok(None):
                    self.revision = None
                case Ok(snapshot) if self._is_old(snapshot):
                    self.registry.apply(snapshot)
                    self.revision = None
                    await asyncio.sleep(self.backoff.next_wait().total_seconds())
                case Ok(snapshot):
                    self.backoff.reset()
                    self._record_success()
                    self._apply(snapshot)
                    await self._pause(snapshot)
                case Err(error):
                    self._record_failure(error)
                    if error.has_begun:
                        # All changes since the last answer may be too large for one
                        # answer, and the same watch would fail again.
                        self.revision = None
                    await asyncio.sleep(self.backoff.next_wait().total_seconds())

    async def _read_next(self) -> Result[Snapshot | None, ReadError]:
        if self.revision is None:
            return await self.source.read_all()
        watching = self.source.watch(self.revision, WATCH_TIMEOUT)
        self.watch_sent_at = self.clock()
        self.watch = asyncio.ensure_future(watching)
        try:
            await asyncio.wait([self.watch])
            return Ok(None) if self.watch.cancelled() else self.watch.result()
        finally:
            self.watch.cancel()
            self.watch = None

    async def read_revision(self) -> Result[StoreRevision, ReadError]:
        """Return the store's current revision, beside a watch that may be waiting."""
        read = await self.source.read_revision()
        match read:
            case Ok():
                self._record_success()
            case Err(error):
                self._record_failure(error)
        return read

    async def read_history(self) -> None:
        """Learn which software versions have served before this process started."""
        began_at = self.clock()
        match await self.source.read_history():
            case Err(error):
                emit(HISTORY_READ, changes=0, is_known=False, problem=str(error))
            case Ok(history):
                is_known = self._add_history(history, began_at)
                changes = len(history.items)
                emit(HISTORY_READ, changes=changes, is_known=is_known, problem="")

    def _add_history(self, history: History, began_at: datetime) -> bool:
        """Add a history to the registry, and return whether its reach is known.

        A history without changes may have been dropped just before.
        """
        if history.is_full:
            return self.registry.add_history(history, since=began_at - FULL_REACH)
        if history.is_empty:
            return False
        since = began_at - self.history_length
        return self.registry.add_history(history, since=since)

    def end_watch(self, revision: StoreRevision) -> None:
        """End the waiting watch, so that all items are read.

        Parameters
        ----------
        revision : StoreRevision
            Revision of the store that the watch has not delivered.
        """
        emit(
            WATCH_OVERDUE,
            era=self._last_revision.era,
            revision=self._last_revision.number,
            store_era=revision.era,
            store_revision=revision.number,
            waited_ms=(self.clock() - self.watch_sent_at) // MILLISECOND,
        )
        self.watch.cancel()

    def _is_old(self, snapshot: Snapshot) -> bool:
        return snapshot.revision.era < self.registry.cache.revision.era

    def _apply(self, snapshot: Snapshot) -> None:
        """Apply an answer, and determine where the next call continues.

        The changes of another era than that of the watch don't continue the items that
        are known, so all items are read again.
        """
        is_continued = (
            snapshot.is_complete or snapshot.revision.era == self.revision.era
        )
        self.registry.apply(snapshot)
        self.registry.freshness.confirm(snapshot.revision, age=timedelta())
        self.revision = snapshot.revision if is_continued else None

    async def _pause(self, snapshot: Snapshot) -> None:
        """Let further changes arrive before the next watch."""
        if snapshot.items and not snapshot.is_complete:
            await asyncio.sleep(WATCH_PAUSE.total_seconds())

    def _record_success(self) -> None:
        if self.unreachable_since is None:
            return
        outage = self.clock() - self.unreachable_since
        self.unreachable_since = None
        if outage > MIN_OUTAGE:
            self.registry.start_lapse_grace()
        emit(
            STORE_REGAINED,
            era=self._last_revision.era,
            revision=self._last_revision.number,
            away_s=outage.total_seconds(),
        )

    def _record_failure(self, error: ReadError) -> None:
        if self.unreachable_since is None:
            self.unreachable_since = self.clock()
            confirmed = self.registry.freshness.age()
            emit(
                STORE_LOST,
                era=self._last_revision.era,
                revision=self._last_revision.number,
                confirmed_ms=None if confirmed is None else confirmed // MILLISECOND,
                problem=str(error),
            )

    @property
    def _last_revision(self) -> StoreRevision:
        return self.revision or NO_REVISION
