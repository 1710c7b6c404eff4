"""Asking the engines what they hold, after a start."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import datetime, timedelta

from result import Err, Ok, Result

from ..observability import emit
from ..placement import PromptSegment
from ..reads import ReadError
from ..registry import Endpoint
from ..sockets import Address
from .events import HOLDINGS_READ, HOLDINGS_UNKNOWN
from .pool import EndpointPool

__all__ = ["HoldingsLearner", "ReadHeld"]

ASKED_AFTER_START = timedelta(seconds=3)
"""Time after the start in which engines that are found are asked; one that is listed
later has just started and holds nothing."""

ReadHeld = Callable[[Address], Awaitable[Result[tuple[PromptSegment, ...], ReadError]]]
"""Asks the engine at an address for the parts that it holds."""


class HoldingsLearner:
    """Asks each engine that was there before the process, once.

    Parameters
    ----------
    pool : EndpointPool
        Where the answers go.
    read_held : callable
        Asks an engine.

    Attributes
    ----------
    asked : set of str
        Engines that have been asked.
    """

    __slots__ = ("pool", "read_held", "asked", "tasks", "started_at")

    def __init__(self, *, pool: EndpointPool, read_held: ReadHeld):
        self.pool = pool
        self.read_held = read_held
        self.asked: set[str] = set()
        self.tasks: set[asyncio.Task] = set()
        self.started_at: datetime = pool.clock()

    def look(self) -> None:
        """Ask the engines that are listed and have not been asked."""
        if self.pool.clock() > self.started_at + ASKED_AFTER_START:
            return
        for endpoint in self.pool.registry.endpoints.values():
            memory = self.pool.kv_capacity_tokens(endpoint.service)
            if memory and endpoint.incarnation not in self.asked:
                self.asked.add(endpoint.incarnation)
                task = asyncio.create_task(self._ask(endpoint, memory))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

    async def _ask(self, endpoint: Endpoint, memory: int) -> None:
        name = endpoint.incarnation
        match await self.read_held(endpoint.address):
            case Ok(parts):
                self.pool.placement.record_cached(
                    name, parts, kv_capacity_tokens=memory
                )
                emit(HOLDINGS_READ, endpoint=name, parts=len(parts))
            case Err(error):
                emit(HOLDINGS_UNKNOWN, endpoint=name, problem=str(error))
