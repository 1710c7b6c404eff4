"""The task that polls the platform's list of hosts."""

import asyncio
from datetime import timedelta
from random import Random

from result import Err, Ok

from ..observability import emit
from ..reads import Backoff, ReadJson, polling_interval
from .core import HostState, HostView
from .events import (
    HOST_DUPLICATE,
    HOST_MALFORMED,
    HOSTS_LOWER,
    HOSTS_REPLACED,
    HOSTS_UNREACHABLE,
)
from .listing import HostList, parse_host_list

__all__ = ["HostListFollower"]

SHORTEST_POLL = timedelta(seconds=2)
"""Time between two reads of a short list."""

LONGEST_POLL = timedelta(seconds=60)
"""Time between two reads of a long list."""

BYTES_PER_SECOND = 1000
"""Rate that polling may cost a host, between the two limits above."""

HOST_BYTES = 130
"""Bytes of one host in an answer."""

ANSWER_TIMEOUT = timedelta(seconds=3)
"""Longest wait for an answer."""

BACKOFF_FIRST = timedelta(seconds=0.5)
"""Bound of the wait after one failed read."""

BACKOFF_LIMIT = timedelta(seconds=10)
"""Bound of the wait after many failed reads."""


class HostListFollower:
    """Keeps a `HostView` up to date from the platform's list.

    Parameters
    ----------
    url : str
        Base URL of the host list.
    view : HostView
        What is kept up to date; it keeps the last list while the service is
        down.
    read_json : ReadJson
        Reads a URL.
    random : Random
        Source of jitter.
    shortest : timedelta
        Time between two reads of a short list.
    """

    def __init__(
        self,
        *,
        url: str,
        view: HostView,
        read_json: ReadJson,
        random: Random,
        shortest: timedelta = SHORTEST_POLL,
    ):
        self.url = f"{url.rstrip('/')}/v1/hosts"
        self.view = view
        self.read_json = read_json
        self.random = random
        self.shortest = shortest
        self.index = -1
        self.named: list[str] = []
        self.backoff = Backoff(first=BACKOFF_FIRST, limit=BACKOFF_LIMIT, random=random)

    async def run(self) -> None:
        """Follow the list for as long as the task lives."""
        while True:
            wait = await self.poll()
            await asyncio.sleep(wait.total_seconds())

    async def poll(self) -> timedelta:
        """Read once and return how long to wait before the next read."""
        answer = await self.read_json(self.url, ANSWER_TIMEOUT)
        match answer.and_then(parse_host_list):
            case Err(error):
                wait = self.backoff.next_wait()
                emit(
                    HOSTS_UNREACHABLE,
                    error=str(error),
                    wait_s=round(wait.total_seconds(), 3),
                )
                return wait
            case Ok(listed):
                self.backoff.reset()
                self.take(listed)
        longest = polling_interval(
            len(self.view.hosts) * HOST_BYTES,
            bytes_per_s=BYTES_PER_SECOND,
            shortest=self.shortest,
            longest=LONGEST_POLL,
        )
        return longest * self.random.uniform(0.5, 1)

    def take(self, listed: HostList) -> None:
        """Use a list, unless its index is lower than one seen before."""
        if listed.index < self.index:
            self.name_once(
                f"lower {listed.index}",
                lambda: emit(HOSTS_LOWER, index=listed.index, in_use=self.index),
            )
            return
        if listed.index > self.index:
            self.named.clear()
        self.index = listed.index
        self.name_mistakes(listed)
        if listed.hosts == self.view.hosts:
            return
        self.view.replace(listed.hosts)
        states = [host.state for host in listed.hosts.values()]
        emit(
            HOSTS_REPLACED,
            index=listed.index,
            live=states.count(HostState.LIVE),
            leaving=states.count(HostState.LEAVING),
        )

    def name_mistakes(self, listed: HostList) -> None:
        """Write one event for each wrong entry of a list."""
        for name, addresses in listed.duplicates.items():
            self.name_once(
                f"duplicate {name}",
                lambda name=name, addresses=addresses: emit(
                    HOST_DUPLICATE, index=listed.index, host=name, addresses=addresses
                ),
            )
        for one in listed.malformed:
            self.name_once(
                f"malformed {one.entry}",
                lambda one=one: emit(
                    HOST_MALFORMED, index=listed.index, entry=one.entry, error=one.error
                ),
            )

    def name_once(self, subject: str, write) -> None:
        """Write an event unless it was written for the same index."""
        if subject not in self.named:
            self.named.append(subject)
            write()
