"""Read barrier: wait until all endpoints are known that the store has had so far."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from result import Err, Result

from ..reads import ReadError
from .items import ItemCache, StoreRevision
from .large_answers import LargeAnswers

__all__ = ["ReadBarrier"]

BARRIER_TIMEOUT = timedelta(milliseconds=700)
"""Longest wait.  A slow store takes about 400 ms to answer, and a watch that has just
returned changes is sent again after 250 ms."""

POLL_INTERVAL = timedelta(milliseconds=10)
"""Interval at which the arrival of the store's revision is checked."""


class ReadBarrier:
    """Waits until a process knows all endpoints that the store had at a certain time.

    What the process has heard before doesn't show that: answers and peers' messages may
    have been on their way, or unread, for as long as the process stood still or was cut
    off.  Only a call to the store that begins afterwards does.

    Parameters
    ----------
    cache : ItemCache
        Items that the process has.
    read_revision : callable
        Returns the store's current revision.
    large_answers : LargeAnswers
        What is done while a large answer is on its way, for which nobody waits.

    Attributes
    ----------
    next_read : asyncio.Task or None
        A read that has not begun, which all share who ask meanwhile.
    lock : asyncio.Lock
        Held during a read, so that one runs at a time.
    """

    __slots__ = ("cache", "read_revision", "large_answers", "next_read", "lock")

    def __init__(
        self,
        *,
        cache: ItemCache,
        read_revision: Callable[[], Awaitable[Result[StoreRevision, ReadError]]],
        large_answers: LargeAnswers,
    ):
        self.cache = cache
        self.read_revision = read_revision
        self.large_answers = large_answers
        self.next_read: asyncio.Task | None = None
        self.lock = asyncio.Lock()

    async def wait(self) -> bool:
        """Return whether all changes of endpoints made before this call are known.

        It is false if the store can't be read, or the changes don't arrive in time.
        """
        if self.next_read is None:
            self.next_read = asyncio.create_task(self._read())
        try:
            async with asyncio.timeout(BARRIER_TIMEOUT.total_seconds()):
                # Others may wait for the same read.
                read = await asyncio.shield(self.next_read)
                return not isinstance(read, Err) and await self._arrival(read.ok_value)
        except TimeoutError:
            return False

    async def _read(self) -> Result[StoreRevision, ReadError]:
        async with self.lock:
            # A read that has begun doesn't cover the changes made since.
            self.next_read = None
            return await self.read_revision()

    async def _arrival(self, revision: StoreRevision) -> bool:
        """Wait until a revision is known, or all endpoints up to it are.

        Returns
        -------
        bool
            Whether they are known.
        """
        while self.cache.revision < revision:
            if self.large_answers.is_arriving():
                return await self.large_answers.update_endpoints()
            await asyncio.sleep(POLL_INTERVAL.total_seconds())
        return True
