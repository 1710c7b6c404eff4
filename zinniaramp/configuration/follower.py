"""The task that reads and watches the configuration service."""

import asyncio
import hashlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from result import Err, Ok

from ..clock import Clock
from ..hosts import Host, HostState, HostView
from ..observability import emit
from ..reads import Backoff, ReadJson, polling_interval
from .core import RevisionStore
from .events import CONFIGURATION_UNREACHABLE, SECTIONS_UNUSABLE
from .exchange import accept_revision
from .sections import PublishedRevision, verify_published

__all__ = ["ConfigurationFollower", "FollowerLimits", "is_reader", "sections_url"]

READERS_PER_DATA_CENTRE = 3
"""Hosts of one data centre that watch the service; two may fail together."""


BYTES_PER_SECOND = 1500
"""Rate that watches which end without a change may cost a host."""


SETTLE_CHECK_SECONDS = 0.02
"""Time between two looks at whether a starting process knows the newest."""


@dataclass(slots=True, kw_only=True, frozen=True)
class FollowerLimits:
    """Times that bound what a follower asks of the service.

    Parameters
    ----------
    watch_shortest, watch_longest : timedelta
        Limits of one watch's wait at the service.  A watch ends with the whole
        content, so large content is watched for longer.
    answer : timedelta
        Longest wait for an answer beyond that.
    min_spacing : timedelta
        Least time between the starts of two reads.
    silence_limit : timedelta
        Time without word from any peer, or without the sections that a peer
        has, after which a host that is no reader watches the service.
    refresh_interval : timedelta
        Time after which every host reads the service, whatever its peers say,
        in case that no reader is among those it hears of.
    backoff_first, backoff_limit : timedelta
        Bounds of the wait after a failed read.
    check : timedelta
        Time between two looks at whether this host has to read.

    Notes
    -----
    ``silence_limit`` and ``refresh_interval`` are jittered up to twice their value.
    """

    watch_shortest: timedelta = timedelta(seconds=5)
    watch_longest: timedelta = timedelta(seconds=60)
    answer: timedelta = timedelta(seconds=3)
    min_spacing: timedelta = timedelta(seconds=1)
    silence_limit: timedelta = timedelta(seconds=4)
    refresh_interval: timedelta = timedelta(minutes=10)
    backoff_first: timedelta = timedelta(seconds=0.5)
    backoff_limit: timedelta = timedelta(seconds=10)
    check: timedelta = timedelta(seconds=1)


def _rank(host: Host) -> bytes:
    return hashlib.sha256(f"{host.data_centre}/{host.name}".encode()).digest()


def is_reader(name: str, data_centre: str, hosts: Iterable[Host]) -> bool:
    """Tell whether a host is one of its data centre's readers.

    Parameters
    ----------
    name, data_centre : str
        The host that asks; it counts as live whatever the list says.
    hosts : iterable of Host
        The list of hosts; a wrong one costs an extra read or a later one.

    Notes
    -----
    Hosts are ranked by a digest of their name (rendezvous hashing), so that
    all agree without a word, and one host's leaving moves no other's place by
    more than one.
    """
    ranks = {
        one.name: _rank(one)
        for one in hosts
        if one.data_centre == data_centre and one.state is HostState.LIVE
    }
    own = _rank(Host(name=name, data_centre=data_centre, role="", address=""))
    lower = sum(1 for other, rank in ranks.items() if other != name and rank < own)
    return lower < READERS_PER_DATA_CENTRE


def sections_url(base: str, *, index: int, wait: timedelta) -> str:
    """Return the URL of a read, or of a watch if ``wait`` is above zero."""
    url = f"{base.rstrip('/')}/v1/sections"
    if not wait:
        return url
    return f"{url}?index={index}&wait_s={wait.total_seconds():.3f}"


class ConfigurationFollower:
    """Keeps a `RevisionStore` up to date from the configuration service.

    Parameters
    ----------
    url : str
        Base URL of the service.
    name, data_centre : str
        This host.
    store : RevisionStore
        What is kept up to date.
    hosts : HostView
        Decides whether this host is a reader.
    read_json : ReadJson
        Reads a URL.
    clock : Clock
        The process's clock.
    random : Random
        Source of jitter.
    limits : FollowerLimits
        Bounds on what is asked of the service.
    """

    def __init__(
        self,
        *,
        url: str,
        name: str,
        data_centre: str,
        store: RevisionStore,
        hosts: HostView,
        read_json: ReadJson,
        clock: Clock,
        random: Random,
        limits: FollowerLimits | None = None,
    ):
        self.url = url
        self.name = name
        self.data_centre = data_centre
        self.store = store
        self.hosts = hosts
        self.read_json = read_json
        self.clock = clock
        self.random = random
        self.limits = limits or FollowerLimits()
        self.backoff = Backoff(
            first=self.limits.backoff_first,
            limit=self.limits.backoff_limit,
            random=random,
        )
        self.read_at = self.next_read_at = clock()
        self.shown_index = -1
        self.named_lower: int | None = None
        self.has_answer = asyncio.Event()
        self.has_read = False
        self.quiet_limit = self.limits.silence_limit * random.uniform(1, 2)
        self.refresh_limit = self.limits.refresh_interval * random.uniform(1, 2)

    async def wait_for_newest(self, *, timeout: timedelta) -> None:
        """Wait until service and peers are heard, and no newer revision is due.

        Parameters
        ----------
        timeout : timedelta
            Longest wait for both, and then for a newer revision that a peer
            has; what is in force by then stays until something newer is found.

        Notes
        -----
        An answer of the service alone is not enough, for it may be stale.  When
        a peer was heard, a service that does not answer is not waited for.
        """
        await self.wait_until(self.has_asked_all, timeout)
        await self.wait_until(lambda: not self.store.is_behind(), timeout)

    def has_asked_all(self) -> bool:
        """Tell whether the first read is over and a peer was heard."""
        return self.has_read and self.store.has_peer_report

    async def wait_until(
        self, condition: Callable[[], bool], timeout: timedelta
    ) -> None:
        """Wait for a condition, for a bounded time."""
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                while not condition():
                    await asyncio.sleep(SETTLE_CHECK_SECONDS)
        except TimeoutError:
            return

    async def run(self) -> None:
        """Follow the service for as long as the task lives."""
        await self.read(wait=timedelta(0))
        while True:
            if self.must_watch():
                await self.read(wait=self.watch_wait())
            elif self.clock() - self.read_at > self.refresh_limit:
                await self.read(wait=timedelta(0))
            else:
                await asyncio.sleep(self.limits.check.total_seconds())

    def must_watch(self) -> bool:
        """Tell whether this host is a reader, or has nobody to learn from."""
        if not self.has_answer.is_set() or self.is_quiet():
            return True
        return is_reader(self.name, self.data_centre, self.hosts.hosts.values())

    def is_quiet(self) -> bool:
        """Tell whether peers are silent, or do not hand over what they have."""
        silent_for = self.clock() - self.store.last_report_at
        return max(silent_for, self.store.time_behind()) > self.quiet_limit

    def watch_wait(self) -> timedelta:
        """Return how long the next watch waits; jittered, so readers take turns."""
        size = sum(section.size() for section in self.store.sections)
        longest = polling_interval(
            size,
            bytes_per_s=BYTES_PER_SECOND,
            shortest=self.limits.watch_shortest,
            longest=self.limits.watch_longest,
        )
        return longest * self.random.uniform(0.5, 1)

    async def read(self, *, wait: timedelta) -> None:
        """Read or watch once; after a failure, wait before returning."""
        await self.keep_spacing()
        url = sections_url(self.url, index=self.watch_index(), wait=wait)
        answered = await self.read_json(url, wait + self.limits.answer)
        self.has_read = True
        match answered:
            case Err(error):
                await self.wait_after(str(error))
                return
            case Ok(answer):
                found = verify_published(answer)
        match found:
            case Err(error):
                emit(SECTIONS_UNUSABLE, index=-1, source="service", error=str(error))
                await self.wait_after(str(error))
            case Ok(published):
                self.backoff.reset()
                self.take(published)
                self.has_answer.set()

    def watch_index(self) -> int:
        """Return the index above which the service has something to tell."""
        return max(self.store.revision().index, self.shown_index)

    def take(self, published: PublishedRevision) -> None:
        """Put a newer revision in force; a lower one is named once."""
        index, in_force = published.revision.index, self.store.revision().index
        self.shown_index = index
        if index >= in_force:
            self.named_lower = None
        elif index == self.named_lower:
            return
        else:
            self.named_lower = index
        accept_revision(self.store, published, source="service")

    async def keep_spacing(self) -> None:
        """Wait until the next read may start."""
        left = self.next_read_at - self.clock()
        if left > timedelta(0):
            await asyncio.sleep(left.total_seconds())
        self.read_at = self.clock()
        self.next_read_at = self.read_at + self.limits.min_spacing

    async def wait_after(self, error: str) -> None:
        """Note a failed read and wait before the next."""
        wait = self.backoff.next_wait().total_seconds()
        emit(CONFIGURATION_UNREACHABLE, error=error, wait_s=round(wait, 3))
        await asyncio.sleep(wait)
