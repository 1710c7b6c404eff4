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

ITEMS_TIMEOUT = timedelta(seconds=1)
"""Time after which missing items are requested from another peer.

A configuration of 1,700 routes has about 0.5 MB, which take 0.4 s at 10 Mbit/s.
"""

ITEMS_POLL_INTERVAL = timedelta(milliseconds=20)
"""Interval at which the arrival of requested items is checked."""


class CatchUp:
    """Requests missing items from one peer after another until all are known.

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
        await asyncio.sleep(CATCH_UP_DELAY.total_seconds() + spread)
        asked: set[str] = set()
        while peers := self.newer():
            # A peer that has not answered is asked again only after all others.
            asked = asked if set(peers) - asked else set()
            name = self.random.choice([one for one in peers if one not in asked])
            asked.add(name)
            before = self.registry.cache.revision
            self.send(name, ItemsRequest(after=before))
            await self._wait_for_items(before)

    async def _wait_for_items(self, before: StoreRevision) -> None:
        """Wait until the known revision rises or the time for an answer is over."""
        deadline = asyncio.get_running_loop().time() + ITEMS_TIMEOUT.total_seconds()
        while self.registry.cache.revision <= before:
            if asyncio.get_running_loop().time() >= deadline:
                return
            await asyncio.sleep(ITEMS_POLL_INTERVAL.total_seconds())
