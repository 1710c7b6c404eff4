"""Replication from the store: one full read, followed by watches."""

import asyncio
from collections.abc import Callable
from datetime import datetime, timedelta
from random import Random

from result import Err, Ok, Result

from ..clock import Clock
from ..observability import emit
from ..reads import Backoff, ReadError
from .core import Registry
from .events import (
    HISTORY_READ,
    STORE_LOST,
    STORE_REGAINED,
    WATCH_OVERDUE,
    WATCH_RENEWED,
)
from .items import NO_REVISION, History, Snapshot, StoreRevision
from .large_answers import LargeAnswers
from .source import Source

__all__ = ["StoreFollower"]

WATCH_TIMEOUT = timedelta(seconds=20)
"""Long-poll timeout of one watch.

Each call is billed, so the timeout is long.  A watch that the store doesn't answer is
ended earlier: after an outage, or when a report of a change shows it."""

WATCH_GRACE = timedelta(milliseconds=150)
"""Time that a watch has for a revision of which a report has already arrived."""

MAX_ROUND_TRIP = timedelta(seconds=1.2)
"""Longest time from a call of the store to its answer.

On the link of a machine that counts as reachable, packets wait up to 500 ms each way;
the store takes some milliseconds."""

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

NO_ANSWER = 599
"""Status of a `ReadError` for a call that timed out or whose connection failed."""

MILLISECOND = timedelta(milliseconds=1)
"""Unit of durations in the log."""


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
    has_wider_peer : callable, optional
        Returns whether a connected peer has a much wider link than this process.

    Attributes
    ----------
    revision : StoreRevision or None
        Revision after which the next watch continues; None if a full read is needed.
    unreachable_since : datetime or None
        Time at which the first read of the revision was sent, or another call failed,
        since the last call that succeeded; None if the last call succeeded.
    watch : asyncio.Task or None
        The watch that waits for an answer; None between two watches.
    watch_sent_at : datetime or None
        Time at which the latest watch was sent; None before the first one.
    lost_call_sent_at : datetime or None
        Time at which the latest call was sent that the store has not answered; None
        once the waiting watch was sent after the outage.
    settled_at : datetime or None
        Calls that were sent before this time make no watch doubtful any more.
    answered_at : datetime or None
        Time of the latest answer to a read of the revision.
    overdue_timer : asyncio.TimerHandle or None
        Ends the waiting watch unless it delivers a reported revision by then.
    large_answers : LargeAnswers
        What is done while a large answer is on its way.
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
        "lost_call_sent_at",
        "settled_at",
        "answered_at",
        "overdue_timer",
        "large_answers",
    )

    def __init__(
        self,
        *,
        source: Source,
        registry: Registry,
        clock: Clock,
        random: Random,
        history_length: timedelta = timedelta(),
        has_wider_peer: Callable[[], bool] = lambda: False,
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
        self.lost_call_sent_at: datetime | None = None
        self.settled_at: datetime | None = None
        self.answered_at: datetime | None = None
        self.overdue_timer: asyncio.TimerHandle | None = None
        self.large_answers = LargeAnswers(
            registry=registry,
            transfer=source.transfer,
            watch_endpoints=source.watch_endpoints,
            read_endpoint_changes=source.read_endpoint_changes,
            has_wider_peer=has_wider_peer,
            on_replaced=self._end_replaced_watch,
        )
        registry.copies.transfer = source.transfer
        registry.freshness.on_report.append(self._check_watch)
        source.transfer.on_large.append(lambda: self.large_answers.begin(self.revision))

    async def run(self) -> None:
        """Replicate the store until cancelled."""
        while True:
            read = await self._read_next()
            self._end_answer(read)
            match read:
                case None:
                    continue
                case Ok(None):
                    self.revision = None
                case Ok(snapshot) if self._is_old(snapshot):
                    self.registry.apply(snapshot)
                    self.revision = None
                    await asyncio.sleep(self.backoff.next_wait().total_seconds())
                case Ok(snapshot):
                    self.backoff.reset()
                    self._record_success()
                    await self.registry.prepare(snapshot)
                    self._apply(snapshot)
                    await self._pause(snapshot)
                case Err(error):
                    self._record_failure(error, self.clock())
                    if error.has_begun:
                        # All changes since the last answer may be too large for one
                        # answer, and the same watch would fail again.
                        self.revision = None
                    await asyncio.sleep(self.backoff.next_wait().total_seconds())

    async def _read_next(self) -> Result[Snapshot | None, ReadError] | None:
        """Return the answer to the next call; None if it was a watch that was ended."""
        if self.revision is None:
            return await self.source.read_all()
        self.watch_sent_at = self.clock()
        watch = asyncio.ensure_future(self.source.watch(self.revision, WATCH_TIMEOUT))
        self.watch = watch
        try:
            await asyncio.wait([watch])
            return None if watch.cancelled() else watch.result()
        finally:
            watch.cancel()
            self._forget_watch()

    def _end_answer(self, read: Result[Snapshot | None, ReadError] | None) -> None:
        """Record how the answer to the last call ended."""
        match read:
            case None:
                self.large_answers.end("the watch was ended")
            case Err(error):
                self.large_answers.end(str(error))
            case Ok():
                self.large_answers.end("")

    def _forget_watch(self) -> None:
        self.watch = None
        if self.overdue_timer is not None:
            self.overdue_timer.cancel()
            self.overdue_timer = None

    async def read_revision(self) -> Result[StoreRevision, ReadError]:
        """Return the store's current revision, beside a watch that may be waiting."""
        sent_at = self.clock()
        read = await self.source.read_revision()
        match read:
            case Ok():
                self.answered_at = self.clock()
                self._record_success()
            case Err(error):
                self._record_failed_read(error, sent_at)
        return read

    def _record_failed_read(self, error: ReadError, sent_at: datetime) -> None:
        if error.status == NO_ANSWER:
            self.record_lost_call(sent_at)
        if self.answered_at is None or self.answered_at < sent_at:
            self._record_failure(error, sent_at)

    def record_lost_call(self, sent_at: datetime) -> None:
        """Record that the store has not answered a call.

        It may have lost the waiting watch as well.  Once it is known to answer again,
        another watch is sent.

        Parameters
        ----------
        sent_at : datetime
            Time at which the call was sent.
        """
        if self.settled_at is not None and sent_at < self.settled_at:
            return
        if self.lost_call_sent_at is None or sent_at > self.lost_call_sent_at:
            self.lost_call_sent_at = sent_at
        self._renew_doubtful_watch()

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

    def _check_watch(self, revision: StoreRevision) -> None:
        """Check whether the watch that waits is alive, as the store has a revision."""
        self._renew_doubtful_watch()
        if not self._is_silent() or self.overdue_timer or revision <= self.revision:
            return
        earliest = self.watch_sent_at + MAX_ROUND_TRIP - self.clock()
        wait = max(WATCH_GRACE, earliest)
        self.overdue_timer = asyncio.get_running_loop().call_later(
            wait.total_seconds(), self.end_watch, revision
        )

    def _renew_doubtful_watch(self) -> None:
        """Send the watch again if it may have been lost in an outage that has ended."""
        lost, confirmed = self.lost_call_sent_at, self.registry.freshness.confirmed_at
        if lost is None or confirmed is None or confirmed <= lost:
            return
        self.lost_call_sent_at = None
        self.settled_at = confirmed
        if not self._is_silent() or self.watch_sent_at > confirmed:
            return
        age = self.clock() - self.watch_sent_at
        emit(
            WATCH_RENEWED,
            era=self.revision.era,
            revision=self.revision.number,
            waited_ms=age // MILLISECOND,
        )
        self._cancel_watch(self.registry.cache.revision)

    def end_watch(self, revision: StoreRevision) -> None:
        """End the waiting watch, because it has not delivered a revision.

        One whose answer arrives is not ended, however long that takes.  If the revision
        is known here from a peer, another watch follows; else all items are read.

        Parameters
        ----------
        revision : StoreRevision
            Revision that the store has.
        """
        if not self._is_silent():
            return
        age = self.clock() - self.watch_sent_at
        emit(
            WATCH_OVERDUE,
            era=self.revision.era,
            revision=self.revision.number,
            store_era=revision.era,
            store_revision=revision.number,
            waited_ms=age // MILLISECOND,
        )
        known = self.registry.cache.revision
        self._cancel_watch(known if revision <= known else None)

    def _end_replaced_watch(self) -> None:
        """End the watch whose answer a peer has replaced, and watch on from there."""
        if self._is_waiting():
            self._cancel_watch(self.registry.cache.revision)

    def _cancel_watch(self, revision: StoreRevision | None) -> None:
        """Cancel the waiting watch, and determine where the next call continues."""
        self.watch.cancel()
        self._forget_watch()
        self.revision = revision

    def _is_waiting(self) -> bool:
        """Return whether a watch waits; one whose answer is here does not."""
        return self.watch is not None and not self.watch.done()

    def _is_silent(self) -> bool:
        """Return whether a watch waits of whose answer nothing has arrived."""
        return self._is_waiting() and not self.source.transfer.is_arriving

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
        # Before the answer is applied, which may lack entries that have expired.
        self.registry.freshness.record_answer(age=timedelta())
        if self.unreachable_since is None:
            return
        outage = self.clock() - self.unreachable_since
        self.unreachable_since = None
        emit(
            STORE_REGAINED,
            era=self._last_revision.era,
            revision=self._last_revision.number,
            away_s=outage.total_seconds(),
        )

    def _record_failure(self, error: ReadError, since: datetime) -> None:
        if self.unreachable_since is None:
            self.unreachable_since = since
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
