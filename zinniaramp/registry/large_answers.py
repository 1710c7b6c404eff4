"""What a process does while a large answer of the store is on its way."""

import asyncio
from collections.abc import Callable
from datetime import datetime, timedelta

from result import Ok

from ..observability import emit
from ..reads import Transfer
from .core import Registry
from .events import CHANGES_AHEAD, LARGE_ANSWER_BEGAN, LARGE_ANSWER_ENDED
from .items import NO_REVISION, Snapshot, StoreRevision
from .source import ReadEndpointChanges, WatchEndpoints

__all__ = ["LargeAnswers"]

HOLD_TIME = timedelta(milliseconds=400)
"""Time for which an answer is held until a peer has its content.

The links of such peers are several times as wide, and their copies are compressed, so
that the items are here long before the answer would be."""

POLL_INTERVAL = timedelta(milliseconds=20)
"""Interval at which the arrival of a peer's copy is checked."""

WATCH_WAIT = timedelta(seconds=20)
"""Long-poll timeout of a watch of the endpoints' entries."""

WATCH_DELAY = timedelta(milliseconds=100)
"""Time that an answer may take without a watch of the endpoints' entries beside it;
each call is billed."""

RETRY_PAUSE = timedelta(milliseconds=250)
"""Pause after an answer to such a watch, or after a failed one."""


class LargeAnswers:
    """Keeps changes of endpoints, and other traffic, from waiting for a large answer.

    While an answer arrives, changes of the endpoints' entries are watched on a
    connection of their own.  If it answers a watch and a peer has a much wider link, it
    is held at first, and dropped once that peer has sent a compressed copy.

    Parameters
    ----------
    registry : Registry
        Registry to update.
    transfer : Transfer
        Progress of the answers.
    watch_endpoints : callable or None
        Watches the endpoints' entries; None if that is not possible.
    read_endpoint_changes : callable or None
        Reads the changes of the endpoints' entries that have been made; None if that is
        not possible.
    has_wider_peer : callable
        Returns whether a connected peer has a much wider link than this process.
    on_replaced : callable
        Called when a peer has sent what a held answer has.

    Attributes
    ----------
    began_at : datetime or None
        Time at which the headers of the answer arrived; None if there is none.
    hold_until : datetime or None
        Time until which answers are held; None if none was since the last complete one.
    tasks : list of asyncio.Task
        The watch of the endpoints' entries, and the wait for a peer's copy.
    """

    __slots__ = (
        "registry",
        "transfer",
        "watch_endpoints",
        "read_endpoint_changes",
        "has_wider_peer",
        "on_replaced",
        "began_at",
        "hold_until",
        "tasks",
    )

    def __init__(
        self,
        *,
        registry: Registry,
        transfer: Transfer,
        watch_endpoints: WatchEndpoints | None,
        read_endpoint_changes: ReadEndpointChanges | None,
        has_wider_peer: Callable[[], bool],
        on_replaced: Callable[[], None],
    ):
        self.registry = registry
        self.transfer = transfer
        self.watch_endpoints = watch_endpoints
        self.read_endpoint_changes = read_endpoint_changes
        self.has_wider_peer = has_wider_peer
        self.on_replaced = on_replaced
        self.began_at: datetime | None = None
        self.hold_until: datetime | None = None
        self.tasks: list[asyncio.Task] = []

    def begin(self, watched: StoreRevision | None) -> None:
        """Record that the headers of a large answer have arrived.

        Parameters
        ----------
        watched : StoreRevision or None
            Revision of the watch that it answers; None if it is a page of all items.
        """
        self.began_at = self.transfer.clock()
        is_held = watched is not None and self._may_hold()
        emit(
            LARGE_ANSWER_BEGAN,
            era=watched.era if watched else 0,
            revision=watched.number if watched else 0,
            bytes=self.transfer.size,
            is_held=is_held,
        )
        known = watched or self.registry.cache.revision
        # Several pages of one read of all items may be large.
        is_first = not self.tasks
        if is_first and self.watch_endpoints and known != NO_REVISION:
            self.tasks.append(asyncio.create_task(self._follow_endpoints(known)))
        if is_held:
            self.transfer.hold()
            self.tasks.append(asyncio.create_task(self._hold(watched)))

    def end(self, problem: str) -> None:
        """Record that the call has ended; do nothing if its answer was not large."""
        for task in self.tasks:
            task.cancel()
        self.tasks.clear()
        began_at, self.began_at = self.began_at, None
        if not problem:
            self.hold_until = None
        if began_at is None:
            return
        emit(
            LARGE_ANSWER_ENDED,
            bytes=self.transfer.size,
            received=self.transfer.received,
            took_ms=(self.transfer.clock() - began_at) // timedelta(milliseconds=1),
            problem=problem,
        )

    def is_arriving(self) -> bool:
        """Return whether a large answer is on its way."""
        return self.began_at is not None

    async def update_endpoints(self) -> bool:
        """Apply the changes of endpoints that the store has now.

        Returns
        -------
        bool
            Whether all of them are known.  They are not if the store doesn't answer,
            its history doesn't reach back to what is known, or it was restored.
        """
        known = self.registry.cache.revision
        if self.read_endpoint_changes is None or known == NO_REVISION:
            return False
        match await self.read_endpoint_changes(known):
            case Ok(changes) if changes.revision.era == known.era:
                self._apply(changes)
                return True
            case _:
                return False

    def _may_hold(self) -> bool:
        """Return whether to hold an answer, which a peer may be about to replace."""
        if self.registry.copies.is_peer_sending:
            return True
        if not self.has_wider_peer():
            return False
        now = self.transfer.clock()
        if self.hold_until is None:
            self.hold_until = now + HOLD_TIME
        return now < self.hold_until

    async def _hold(self, watched: StoreRevision) -> None:
        """Hold the answer until a peer has sent the items, or none will in time."""
        while self.registry.cache.revision <= watched:
            is_over = self.hold_until is None or (
                self.transfer.clock() >= self.hold_until
            )
            if is_over and not self.registry.copies.is_peer_sending:
                self.transfer.release()
                return
            await asyncio.sleep(POLL_INTERVAL.total_seconds())
        self.hold_until = None
        self.on_replaced()

    async def _follow_endpoints(self, after: StoreRevision) -> None:
        """Apply the changes of endpoints that the answer would delay.

        The answer alone has them if the store's history doesn't reach back so far, or
        the store was restored.
        """
        await asyncio.sleep(WATCH_DELAY.total_seconds())
        while True:
            match await self.watch_endpoints(after, WATCH_WAIT):
                case Ok(Snapshot() as changes) if changes.revision.era == after.era:
                    self._apply(changes)
                    after = changes.revision
                case Ok(_):
                    return
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
