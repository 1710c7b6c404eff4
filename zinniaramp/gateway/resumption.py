"""Resumption of callers' streams at the software version that began them."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from ..clock import Clock
from ..peers import LoadEvent, StreamBegan
from ..registry import Registry
from ..resumption import OriginRecord, StreamOrigin, StreamOrigins, origin_key
from ..resumption.core import ORIGIN_LIFETIME
from ..routes import RetryPolicy
from .matching import MatchedRequest
from .segment_search import SegmentSearch

__all__ = ["KnownBy", "FoundOrigin", "StreamResumption"]

STREAM_AGE_TIMEOUTS = 2
"""Longest age of a stream that is resumed, as a multiple of the route's timeout.
Callers give up after about one; the configuration may have changed it meanwhile."""


class KnownBy(Enum):
    """How the origin of a stream is known.

    Attributes
    ----------
    OWN
        This process has forwarded the stream.
    PEER
        Another gateway told so, before or when it was asked.
    ONLY_VERSION
        No other version has served for as long as the stream may last.
    ENGINE_CACHE
        Only engines of one version have the request's own prompt segment.
    NOBODY
        It is not known.
    """

    OWN = "own"
    PEER = "peer"
    ONLY_VERSION = "only-version"
    ENGINE_CACHE = "engine-cache"
    NOBODY = "nobody"


@dataclass(slots=True, kw_only=True, frozen=True)
class FoundOrigin:
    """Where a stream began, as far as it can be found out.

    Parameters
    ----------
    known_by : KnownBy
        How it is known.
    origin : StreamOrigin or None
        Where it began; None if it is not known.
    age : timedelta or None
        Time since the origin was recorded here; None if there is no record.
    """

    known_by: KnownBy
    origin: StreamOrigin | None = None
    age: timedelta | None = None


class StreamResumption:
    """Finds out where the streams began that callers resume.

    The gateways tell each other where streams begin as long as endpoints of several
    versions serve.  What none of them knows any more, the engines' KV caches may show.

    Parameters
    ----------
    registry : Registry
        Known endpoints and their versions.
    clock : Clock
        The process's clock.
    broadcast : callable
        Sends a load event to the other gateway processes.
    ask_peers : callable
        Returns the origin of a stream that another gateway knows, by its key, or None.
    search : SegmentSearch
        Finds engines by a prompt segment.
    read_history : callable
        Lets the registry learn which versions served before this process started.
    wait_until_current : callable
        Returns whether the registry has everything that the store had at the call.

    Attributes
    ----------
    origins : StreamOrigins
        Known origins.
    mixed_services : set of str
        Services of which several versions serve or have lately served.
    """

    __slots__ = (
        "registry",
        "clock",
        "broadcast",
        "ask_peers",
        "search",
        "read_history",
        "wait_until_current",
        "origins",
        "mixed_services",
        "history_lock",
    )

    def __init__(
        self,
        *,
        registry: Registry,
        clock: Clock,
        broadcast: Callable[[LoadEvent], None],
        ask_peers: Callable[[bytes], Awaitable[StreamOrigin | None]],
        search: SegmentSearch,
        read_history: Callable[[], Awaitable[None]],
        wait_until_current: Callable[[], Awaitable[bool]],
    ):
        self.registry = registry
        self.clock = clock
        self.broadcast = broadcast
        self.ask_peers = ask_peers
        self.search = search
        self.read_history = read_history
        self.wait_until_current = wait_until_current
        self.origins = StreamOrigins(clock=clock)
        self.mixed_services: set[str] = set()
        self.history_lock = asyncio.Lock()

    def record_began(self, matched: MatchedRequest, version: str) -> None:
        """Record that the first event of a resumable stream is forwarded."""
        if matched.route.repeat is not RetryPolicy.RESUME:
            return
        key = _key(matched, matched.metadata.id)
        origin = StreamOrigin(service=matched.service, version=version)
        self.origins.record(key, origin, is_own=True)
        if matched.service in self.mixed_services:
            self.broadcast(StreamBegan(key=key, origin=origin))

    def record_told(self, event: StreamBegan) -> None:
        """Record the origin of a stream that another gateway has forwarded."""
        self.origins.record(event.key, event.origin, is_own=False)

    def find_known(self, key: bytes) -> StreamOrigin | None:
        """Return the origin of a stream if it is recorded here, for a peer."""
        record = self.origins.find(key)
        return record.origin if record else None

    def update_mixed_services(self) -> None:
        """Tell the peers of this process's streams once several versions serve."""
        versions = self.registry.versions
        mixed = {
            service
            for service in versions.present
            if len(versions.lately(service, ORIGIN_LIFETIME)) > 1
        }
        new = mixed - self.mixed_services
        self.mixed_services = mixed
        for event in self._own_streams(new):
            self.broadcast(event)

    def own_streams(self) -> Iterator[StreamBegan]:
        """Yield the events about this process's streams, for a new peer."""
        return self._own_streams(self.mixed_services)

    def _own_streams(self, services: set[str]) -> Iterator[StreamBegan]:
        for service in services:
            for key, origin in self.origins.own(service):
                yield StreamBegan(key=key, origin=origin)

    async def find(self, matched: MatchedRequest) -> FoundOrigin:
        """Return where the stream began that a caller resumes."""
        resumes = matched.metadata.resumes
        key = _key(matched, resumes) if resumes else None
        record = self.origins.find(key) if key else None
        if record is not None and record.origin is not None:
            age = self.clock() - record.at
            known_by = KnownBy.OWN if record.is_own else KnownBy.PEER
            return FoundOrigin(known_by=known_by, origin=record.origin, age=age)
        if (told := await self._ask_peers(key, record)) is not None:
            return told
        found = await self._find_without_gateways(matched)
        if found.origin is None:
            # A peer may have been connected in the meantime.
            found = await self._ask_peers(key, record) or found
        return found

    async def _ask_peers(
        self, key: bytes | None, record: OriginRecord | None
    ) -> FoundOrigin | None:
        """Return what the peers know of a stream of which there is no record here."""
        if key is None or record is not None:
            return None
        told = await self.ask_peers(key)
        if told is None:
            return None
        self.origins.record(key, told, is_own=False)
        return FoundOrigin(known_by=KnownBy.PEER, origin=told)

    async def _find_without_gateways(self, matched: MatchedRequest) -> FoundOrigin:
        """Conclude where a stream began from the versions that serve.

        The stream began before its caller resumed it, so what the store had at that
        time has to be known.
        """
        if not await self.wait_until_current():
            return FoundOrigin(known_by=KnownBy.NOBODY)
        if (only := self._only_version(matched)) is not None:
            return FoundOrigin(known_by=KnownBy.ONLY_VERSION, origin=only)
        versions = await self._versions_of_holders(matched)
        if len(versions) == 1:
            origin = StreamOrigin(service=matched.service, version=versions.pop())
            return FoundOrigin(known_by=KnownBy.ENGINE_CACHE, origin=origin)
        if not versions:
            async with self.history_lock:
                if not self._is_history_known(matched):
                    await self.read_history()
            if (only := self._only_version(matched)) is not None:
                return FoundOrigin(known_by=KnownBy.ONLY_VERSION, origin=only)
        return FoundOrigin(known_by=KnownBy.NOBODY)

    async def _versions_of_holders(self, matched: MatchedRequest) -> set[str]:
        """Return the versions of the engines that have the request's own segment."""
        demand = matched.metadata.demand
        if demand is None or not demand.parts:
            return set()
        holders = await self.search.find(matched.service, demand.parts[-1].name)
        return {endpoint.version for endpoint in holders}

    def _only_version(self, matched: MatchedRequest) -> StreamOrigin | None:
        """Return the one version that has served for as long as the stream may last."""
        if not self._is_history_known(matched):
            return None
        max_age = matched.route.timeout * STREAM_AGE_TIMEOUTS
        versions = self.registry.versions.lately(matched.service, max_age)
        if len(versions) != 1:
            return None
        return StreamOrigin(service=matched.service, version=versions.pop())

    def _is_history_known(self, matched: MatchedRequest) -> bool:
        max_age = matched.route.timeout * STREAM_AGE_TIMEOUTS
        return self.registry.versions.is_known(max_age)


def _key(matched: MatchedRequest, request_id: str) -> bytes:
    workspace = matched.workspace.name if matched.workspace else ""
    return origin_key(workspace, request_id)
