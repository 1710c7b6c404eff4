"""Requests to the peers for items of the store that this process misses."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from random import Random

from ..registry import Registry, StoreRevision
from .messages import ItemsRequest

__all__ = ["CatchUp"]

CATCH_UP_DELAY = timedelta(milliseconds=300)
"""Time for the local watch to deliver a revision that a peer already has.

A slow store answers within 400 ms, and a configuration has to be in force within 2 s.
"""

CATCH_UP_SPREAD = timedelta(milliseconds=200)
"""Time over which processes that miss the same change spread their requests."""

MAX_COPY_TIME = timedelta(seconds=6)
"""Longest time for which a peer may send the items; another one is asked after it.  A
copy of 4 MB takes as long at 5 Mbit/s."""

POLL_INTERVAL = timedelta(milliseconds=20)
"""Interval at which the arrival of requested items is checked."""


class CatchUp:
    """Requests missing items from one peer after another until all are known.

    None is requested while the store's answer arrives, and another peer is asked only
    when the one before has stopped sending.

    Parameters
    ----------
    registry : Registry
        Holds the items.
    random : Random
        Source of jitter.
    send : callable
        Sends a request to a peer.
    newer : callable
        Returns the connected peers that have a later revision.

    Attributes
    ----------
    task : asyncio.Task or None
        The requests in progress; None before the first one.
    """

    __slots__ = ("registry", "random", "send", "newer", "task")

    def __init__(
        self,
        *,
        registry: Registry,
        random: Random,
        send: Callable[[str, ItemsRequest], None],
        newer: Callable[[], list[str]],
    ):
        self.registry = registry
        self.random = random
        self.send = send
        self.newer = newer
        self.task: asyncio.Task | None = None

    def start_if_behind(self, revision: StoreRevision) -> None:
        """Start requests if a peer's revision is not known here yet."""
        is_idle = self.task is None or self.task.done()
        if revision > self.registry.cache.revision and is_idle:
            self.task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Cancel the requests in progress."""
        if self.task is not None:
            self.task.cancel()

    async def _run(self) -> None:
        spread = self.random.uniform(0, CATCH_UP_SPREAD.total_seconds())
        await self._wait_for_store(CATCH_UP_DELAY.total_seconds() + spread)
        copies = self.registry.copies
        asked: set[str] = set()
        while peers := self.newer():
            if copies.is_store_sending:
                await asyncio.sleep(POLL_INTERVAL.total_seconds())
                continue
            # A peer that has not answered is asked again only after all others.
            asked = asked if set(peers) - asked else set()
            name = self.random.choice([one for one in peers if one not in asked])
            asked.add(name)
            before = self.registry.cache.revision
            copies.expect(name)
            self.send(name, ItemsRequest(after=before))
            await self._wait_for_items(before)
            copies.end()

    async def _wait_for_store(self, seconds: float) -> None:
        """Wait for the store's own answer, unless it is held for a peer's copy."""
        deadline = asyncio.get_running_loop().time() + seconds
        while not self.registry.copies.is_store_held:
            left = deadline - asyncio.get_running_loop().time()
            if left <= 0:
                return
            await asyncio.sleep(min(left, POLL_INTERVAL.total_seconds()))

    async def _wait_for_items(self, before: StoreRevision) -> None:
        """Wait until the known revision rises, or the peer stops sending."""
        deadline = asyncio.get_running_loop().time() + MAX_COPY_TIME.total_seconds()
        while self.registry.cache.revision <= before:
            is_over = asyncio.get_running_loop().time() >= deadline
            if is_over or not self.registry.copies.is_peer_sending:
                return
            await asyncio.sleep(POLL_INTERVAL.total_seconds())
