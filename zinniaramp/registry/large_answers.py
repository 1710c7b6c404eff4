"""What a process does while a large answer of the store is on its way."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import datetime, timedelta

from result import Ok, Result

from ..observability import emit
from ..reads import ReadError, Transfer
from .core import Registry
from .events import CHANGES_AHEAD, LARGE_ANSWER_BEGAN, LARGE_ANSWER_ENDED
from .items import Snapshot, StoreRevision

__all__ = ["LargeAnswers", "WatchEndpoints"]

WATCH_WAIT = timedelta(seconds=20)
"""Long-poll timeout of a watch of the endpoints' entries."""

RETRY_PAUSE = timedelta(milliseconds=250)
"""Pause after an answer to such a watch, or after a failed one."""

WatchEndpoints = Callable[
    [StoreRevision, timedelta], Awaitable[Result[Snapshot | None, ReadError]]
]
"""Like a watch, but for the changes of the endpoints' entries only."""


class LargeAnswers:
    """Keeps changes of endpoints from waiting for a large answer.

    While the answer to a watch arrives, changes of the endpoints' entries are watched
    on a connection of their own.

    Parameters
    ----------
    registry : Registry
        Registry to update.
    transfer : Transfer
        Progress of the answers.
    watch_endpoints : callable or None
        Watches the endpoints' entries; None if that is not possible.

    Attributes
    ----------
    began_at : datetime or None
        Time at which the headers of the answer arrived; None if there is none.
    endpoint_task : asyncio.Task or None
        The watch of the endpoints' entries; None if there is none.
    """

    __slots__ = (
        "registry",
        "transfer",
        "watch_endpoints",
        "began_at",
        "endpoint_task",
    )

    def __init__(
        self,
        *,
        registry: Registry,
        transfer: Transfer,
        watch_endpoints: WatchEndpoints | None,
    ):
        self.registry = registry
        self.transfer = transfer
        self.watch_endpoints = watch_endpoints
        self.began_at: datetime | None = None
        self.endpoint_task: asyncio.Task | None = None

    def begin(self, watched: StoreRevision | None) -> None:
        """Record that the headers of a large answer have arrived.

        Parameters
        ----------
        watched : StoreRevision or None
            Revision of the watch that it answers; None if it is a page of all items.
        """
        self.began_at = self.transfer.clock()
        emit(
            LARGE_ANSWER_BEGAN,
            era=watched.era if watched else 0,
            revision=watched.number if watched else 0,
            bytes=self.transfer.size,
        )
        if watched is not None and self.watch_endpoints is not None:
            following = self._follow_endpoints(watched)
            self.endpoint_task = asyncio.create_task(following)

    def end(self, problem: str) -> None:
        """Record that the call has ended; do nothing if its answer was not large."""
        if self.endpoint_task is not None:
            self.endpoint_task.cancel()
            self.endpoint_task = None
        began_at, self.began_at = self.began_at, None
        if began_at is None:
            return
        emit(
            LARGE_ANSWER_ENDED,
            bytes=self.transfer.size,
            received=self.transfer.received,
            took_ms=(self.transfer.clock() - began_at) // timedelta(milliseconds=1),
            problem=problem,
        )

    async def _follow_endpoints(self, after: StoreRevision) -> None:
        """Apply the changes of endpoints that the answer would delay."""
        while True:
            match await self.watch_endpoints(after, WATCH_WAIT):
                case Ok(Snapshot() as changes) if changes.revision.era == after.era:
                    self._apply(changes)
                    after = changes.revision
            await asyncio.sleep(RETRY_PAUSE.total_seconds())

    def _apply(self, changes: Snapshot) -> None:
        """Apply changes of endpoints; others up to their revision are not known yet."""
        if not changes.items:
            return
        known = self.registry.cache.revision
        emit(
            CHANGES_AHEAD,
            era=known.era,
            revision=known.number,
            ahead=changes.revision.number,
            items=len(changes.items),
        )
        self.registry.apply(
            Snapshot(revision=known, items=changes.items, is_complete=False)
        )
