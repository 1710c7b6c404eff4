"""Reading the contents of the engines' KV caches after a start."""

import asyncio
from datetime import datetime, timedelta

from result import Err, Ok

from ..observability import emit
from ..placement import EngineTraits
from ..registry import Endpoint
from .events import HOLDINGS_READ, HOLDINGS_UNKNOWN
from .pool import EndpointPool
from .segment_search import ReadCachedSegments

__all__ = ["CachedSegmentLoader"]

QUERY_WINDOW = timedelta(seconds=3)
"""Time after the process's start in which newly listed engines are queried.  An engine
that is listed later has just started, and its KV cache is empty."""


class CachedSegmentLoader:
    """Queries once each engine that is listed soon after the start of this process.

    With the answers, a restarted process immediately places prompts by the segments
    that the engines have cached.

    Parameters
    ----------
    pool : EndpointPool
        Pool whose placement model receives the cached segments.
    read_cached_segments : callable
        Reads the prompt segments in an engine's KV cache.

    Attributes
    ----------
    queried : set of str
        Incarnations of the engines that have been queried.
    """

    __slots__ = ("pool", "read_cached_segments", "queried", "tasks", "started_at")

    def __init__(self, *, pool: EndpointPool, read_cached_segments: ReadCachedSegments):
        self.pool = pool
        self.read_cached_segments = read_cached_segments
        self.queried: set[str] = set()
        self.tasks: set[asyncio.Task] = set()
        self.started_at: datetime = pool.clock()

    def query_new_engines(self) -> None:
        """Start a query for each listed engine that was not queried yet."""
        if self.pool.clock() > self.started_at + QUERY_WINDOW:
            return
        for endpoint in self.pool.registry.endpoints.values():
            traits = self.pool.engine_traits(endpoint.service)
            name = endpoint.incarnation
            is_pending = name not in self.queried
            if traits and is_pending and self.pool.restrictions.may_probe(name):
                self.queried.add(name)
                task = asyncio.create_task(self._query(endpoint, traits))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

    async def _query(self, endpoint: Endpoint, traits: EngineTraits) -> None:
        name = endpoint.incarnation
        match await self.read_cached_segments(endpoint.address):
            case Ok(parts):
                self.pool.placement.record_cached(name, parts, traits=traits)
                emit(HOLDINGS_READ, endpoint=name, parts=len(parts))
            case Err(error):
                emit(HOLDINGS_UNKNOWN, endpoint=name, problem=str(error))
                if error.retry_after is not None:
                    self.pool.restrictions.start_cooldown(name, error.retry_after)
