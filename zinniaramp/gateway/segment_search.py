"""Search for the engines that have a prompt segment in their KV cache."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import datetime, timedelta

from result import Ok, Result

from ..clock import Clock
from ..placement import PromptSegment
from ..reads import ReadError
from ..registry import Endpoint, Registry
from ..sockets import Address
from .restrictions import EndpointRestrictions

__all__ = ["ReadCachedSegments", "SegmentSearch"]

READ_TIMEOUT = timedelta(milliseconds=400)
"""Time for all engines to answer; each one takes a few milliseconds."""

MAX_READING_AGE = timedelta(seconds=1)
"""Age up to which a reading that has the segment is used again."""

MIN_READ_INTERVAL = timedelta(milliseconds=250)
"""Shortest time between two readings; each one delays the engines' work."""


ReadCachedSegments = Callable[
    [Address], Awaitable[Result[tuple[PromptSegment, ...], ReadError]]
]
"""Returns the prompt segments in the KV cache of the engine at an address."""


@dataclass(slots=True, kw_only=True)
class _Reading:
    """Segments in the KV caches of a service's engines.

    Parameters
    ----------
    began_at : datetime
        When the reading began.
    names : dict of frozenset
        Names of the cached segments by the engine's incarnation.
    """

    began_at: datetime
    names: dict[str, frozenset[str]]


class SegmentSearch:
    """Reads which prompt segments engines have, and finds engines by a segment.

    Parameters
    ----------
    registry : Registry
        Known endpoints.
    restrictions : EndpointRestrictions
        Engines that take no such call now are left out.
    read_cached_segments : callable
        Reads the prompt segments in an engine's KV cache.
    clock : Clock
        The process's clock.
    """

    __slots__ = (
        "registry",
        "restrictions",
        "read_cached_segments",
        "clock",
        "readings",
        "lock",
    )

    def __init__(
        self,
        *,
        registry: Registry,
        restrictions: EndpointRestrictions,
        read_cached_segments: ReadCachedSegments,
        clock: Clock,
    ):
        self.registry = registry
        self.restrictions = restrictions
        self.read_cached_segments = read_cached_segments
        self.clock = clock
        self.readings: dict[str, _Reading] = {}
        self.lock = asyncio.Lock()

    async def find(self, service: str, segment: str) -> list[Endpoint]:
        """Return the engines of a service that have a segment in their KV cache."""
        asked_at = self.clock()
        holders = self._find_in_reading(service, segment)
        if holders:
            return holders
        async with self.lock:
            reading = self.readings.get(service)
            if reading is None or reading.began_at < asked_at:
                await self._read(service)
        return self._find_in_reading(service, segment)

    def _find_in_reading(self, service: str, segment: str) -> list[Endpoint]:
        reading = self.readings.get(service)
        if reading is None or reading.began_at < self.clock() - MAX_READING_AGE:
            return []
        holders = [name for name, cached in reading.names.items() if segment in cached]
        registered = map(self.registry.by_incarnation, holders)
        return [endpoint for endpoint in registered if endpoint is not None]

    async def _read(self, service: str) -> None:
        """Read the KV caches of all engines that answer in time."""
        await self._wait_for_interval(service)
        began_at = self.clock()
        tasks = {
            endpoint.incarnation: asyncio.create_task(
                self.read_cached_segments(endpoint.address)
            )
            for endpoint in self.registry.endpoints.values()
            if endpoint.service == service
            and self.restrictions.may_probe(endpoint.incarnation)
        }
        if tasks:
            await asyncio.wait(tasks.values(), timeout=READ_TIMEOUT.total_seconds())
        names = {}
        for incarnation, task in tasks.items():
            if not task.done():
                task.cancel()
            elif isinstance(task.result(), Ok):
                segments = task.result().ok_value
                names[incarnation] = frozenset(segment.name for segment in segments)
        self.readings[service] = _Reading(began_at=began_at, names=names)

    async def _wait_for_interval(self, service: str) -> None:
        reading = self.readings.get(service)
        if reading is not None:
            left = reading.began_at + MIN_READ_INTERVAL - self.clock()
            await asyncio.sleep(max(0.0, left.total_seconds()))
