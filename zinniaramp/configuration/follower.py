"""The task that fetches revisions from the configuration service.

A few hosts of each data centre, the readers, watch the service by long polling.
The other hosts receive revisions from their peers and read the service rarely.
"""

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
"""Hosts of each data centre that watch the service; two may fail at the same time."""


MAX_WATCH_BYTES_PER_SECOND = 1500
"""Average rate that a host may spend on watches that end without a change."""


STARTUP_POLL_SECONDS = 0.02
"""Interval of the check whether a starting process has the newest revision."""


@dataclass(slots=True, kw_only=True, frozen=True)
class FollowerLimits:
    """Timeouts and intervals of a follower's reads.

    Parameters
    ----------
    watch_shortest, watch_longest : timedelta
        Bounds of the time for which the service may hold a watch open.  Every
        watch returns the whole content, so larger content is watched with longer
        waits.
    answer : timedelta
        Timeout of the answer, in addition to the wait of a watch.
    min_spacing : timedelta
        Minimum time between the starts of two reads.
    silence_limit : timedelta
        Time without a report from any peer, or without receiving the newer
        revision that a peer has, after which a host that is not a reader watches
        the service.
    refresh_interval : timedelta
        Time after which a host that does not watch the service reads it once,
        because none of its peers may be connected to a reader.
    backoff_first, backoff_limit : timedelta
        Upper bound of the wait after the first failed read, and after any failed
        read.
    check : timedelta
        Interval of the check whether this host must read the service.

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


def _rendezvous_rank(host: Host) -> bytes:
    return hashlib.sha256(f"{host.data_centre}/{host.name}".encode()).digest()


def is_reader(name: str, data_centre: str, hosts: Iterable[Host]) -> bool:
    """Return whether a host is one of the readers of its data centre.

    Parameters
    ----------
    name, data_centre : str
        This host; it counts as live even if the list differs.
    hosts : iterable of Host
        The list of hosts.  An outdated list only causes additional reads or a
        later one.

    Notes
    -----
    Hosts are ranked by a digest of data centre and name (rendezvous hashing).  All
    hosts with the same list agree without communication.  When a host leaves, the
    others move by at most one position.
    """
    ranks = {
        host.name: _rendezvous_rank(host)
        for host in hosts
        if host.data_centre == data_centre and host.state is HostState.LIVE
    }
    own_rank = _rendezvous_rank(
        Host(name=name, data_centre=data_centre, role="", address="")
    )
    lower_ranks = sum(
        1 for other, rank in ranks.items() if other != name and rank < own_rank
    )
    return lower_ranks < READERS_PER_DATA_CENTRE


def sections_url(base: str, *, index: int, wait: timedelta) -> str:
    """Return the URL of a read, or of a watch for changes if ``wait`` is not zero."""
    url = f"{base.rstrip('/')}/v1/sections"
    if not wait:
        return url
    return f"{url}?index={index}&wait_s={wait.total_seconds():.3f}"


class ConfigurationFollower:
    """Keeps a `RevisionStore` up to date by reading the configuration service.

    Parameters
    ----------
    url : str
        Base URL of the service.
    name, data_centre : str
        Name and data centre of this host.
    store : RevisionStore
        Store that receives the revisions.
    hosts : HostView
        Hosts of the fleet, from which the readers are determined.
    read_json : ReadJson
        Function that reads JSON from a URL.
    clock : Clock
        Clock of the process.
    random : Random
        Source of jitter.
    limits : FollowerLimits, optional
        Timeouts and intervals of the reads.
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
        self.last_read_at = self.next_read_at = clock()
        self.service_index = -1
        self.logged_lower_index: int | None = None
        self.has_valid_answer = asyncio.Event()
        self.has_finished_read = False
        self.silence_limit = self.limits.silence_limit * random.uniform(1, 2)
        self.refresh_interval = self.limits.refresh_interval * random.uniform(1, 2)

    async def wait_for_newest(self, *, timeout: timedelta) -> None:
        """Wait at startup until this process has the newest known revision.

        Parameters
        ----------
        timeout : timedelta
            Longest wait for the end of the first read and a peer's report, and
            again for a newer revision that a peer has.  After a timeout the process
            starts with the revision in force and updates later.

        Notes
        -----
        The service's answer alone is not enough because it may be stale.  A first
        read that failed counts as ended, so that a service which is down delays
        the start by at most one read once a peer has reported.
        """
        await self.wait_until(self.has_initial_reports, timeout)
        await self.wait_until(lambda: not self.store.is_behind(), timeout)

    def has_initial_reports(self) -> bool:
        """Return whether the first read has finished and a peer has reported."""
        return self.has_finished_read and self.store.has_peer_report

    async def wait_until(
        self, condition: Callable[[], bool], timeout: timedelta
    ) -> None:
        """Poll a condition until it holds, or until the timeout."""
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                while not condition():
                    await asyncio.sleep(STARTUP_POLL_SECONDS)
        except TimeoutError:
            return

    async def run(self) -> None:
        """Read and watch the service until the task is cancelled."""
        await self.read(wait=timedelta(0))
        while True:
            if self.should_watch():
                await self.read(wait=self.watch_wait())
            elif self.clock() - self.last_read_at > self.refresh_interval:
                await self.read(wait=timedelta(0))
            else:
                await asyncio.sleep(self.limits.check.total_seconds())

    def should_watch(self) -> bool:
        """Return whether this host must watch the service itself.

        True for readers, until the first valid answer, and while no peer supplies
        revisions.
        """
        if not self.has_valid_answer.is_set() or self.lacks_peer_updates():
            return True
        return is_reader(self.name, self.data_centre, self.hosts.hosts.values())

    def lacks_peer_updates(self) -> bool:
        """Return whether peers have been silent or withheld a newer revision too long.

        The limit is `FollowerLimits.silence_limit` with jitter.
        """
        silence = self.clock() - self.store.last_report_at
        return max(silence, self.store.time_behind()) > self.silence_limit

    def watch_wait(self) -> timedelta:
        """Return the wait of the next watch, with jitter to spread the readers."""
        size = sum(section.size() for section in self.store.sections)
        longest = polling_interval(
            size,
            bytes_per_s=MAX_WATCH_BYTES_PER_SECOND,
            shortest=self.limits.watch_shortest,
            longest=self.limits.watch_longest,
        )
        return longest * self.random.uniform(0.5, 1)

    async def read(self, *, wait: timedelta) -> None:
        """Read or watch once; after a failure, back off before returning."""
        await self.wait_for_min_spacing()
        url = sections_url(self.url, index=self.watch_index(), wait=wait)
        answered = await self.read_json(url, wait + self.limits.answer)
        self.has_finished_read = True
        match answered:
            case Err(error):
                await self.back_off(str(error))
                return
            case Ok(answer):
                verified = verify_published(answer)
        match verified:
            case Err(error):
                emit(SECTIONS_UNUSABLE, index=-1, source="service", error=str(error))
                await self.back_off(str(error))
            case Ok(published):
                self.backoff.reset()
                self.accept_published(published)
                self.has_valid_answer.set()

    def watch_index(self) -> int:
        """Return the index to watch from; the service answers at once above it."""
        return max(self.store.revision().index, self.service_index)

    def accept_published(self, published: PublishedRevision) -> None:
        """Put a newer revision in force; a repeated lower index is logged once."""
        index, in_force = published.revision.index, self.store.revision().index
        self.service_index = index
        if index >= in_force:
            self.logged_lower_index = None
        elif index == self.logged_lower_index:
            return
        else:
            self.logged_lower_index = index
        accept_revision(self.store, published, source="service")

    async def wait_for_min_spacing(self) -> None:
        """Wait until `FollowerLimits.min_spacing` has passed since the last read."""
        left = self.next_read_at - self.clock()
        if left > timedelta(0):
            await asyncio.sleep(left.total_seconds())
        self.last_read_at = self.clock()
        self.next_read_at = self.last_read_at + self.limits.min_spacing

    async def back_off(self, error: str) -> None:
        """Log a failed read and wait before the next one."""
        wait = self.backoff.next_wait().total_seconds()
        emit(CONFIGURATION_UNREACHABLE, error=error, wait_s=round(wait, 3))
        await asyncio.sleep(wait)
