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

MIN_POLL_INTERVAL = timedelta(seconds=2)
"""Interval between two reads of a short list."""

MAX_POLL_INTERVAL = timedelta(seconds=60)
"""Interval between two reads of a long list."""

MAX_POLL_BYTES_PER_SECOND = 1000
"""Average rate that a host may spend on polling, within the two limits above."""

HOST_BYTES = 130
"""Estimated bytes of one host in an answer."""

ANSWER_TIMEOUT = timedelta(seconds=3)
"""Timeout of one read."""

BACKOFF_FIRST = timedelta(seconds=0.5)
"""Upper bound of the wait after the first failed read."""

BACKOFF_LIMIT = timedelta(seconds=10)
"""Upper bound of the wait after any number of failed reads."""


class HostListFollower:
    """Keeps a `HostView` up to date from the platform's list.

    Parameters
    ----------
    url : str
        Base URL of the host list.
    view : HostView
        View that receives each new list; it keeps the last list while the service
        is unavailable.
    read_json : ReadJson
        Function that reads JSON from a URL.
    random : Random
        Source of jitter.
    shortest : timedelta
        Interval between two reads of a short list.
    """

    def __init__(
        self,
        *,
        url: str,
        view: HostView,
        read_json: ReadJson,
        random: Random,
        shortest: timedelta = MIN_POLL_INTERVAL,
    ):
        self.url = f"{url.rstrip('/')}/v1/hosts"
        self.view = view
        self.read_json = read_json
        self.random = random
        self.shortest = shortest
        self.index = -1
        self.logged_subjects: list[str] = []
        self.backoff = Backoff(first=BACKOFF_FIRST, limit=BACKOFF_LIMIT, random=random)

    async def run(self) -> None:
        """Poll the list until the task is cancelled."""
        while True:
            wait = await self.poll()
            await asyncio.sleep(wait.total_seconds())

    async def poll(self) -> timedelta:
        """Read the list once and return the wait before the next read."""
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
            case Ok(host_list):
                self.backoff.reset()
                self.apply_list(host_list)
        longest = polling_interval(
            len(self.view.hosts) * HOST_BYTES,
            bytes_per_s=MAX_POLL_BYTES_PER_SECOND,
            shortest=self.shortest,
            longest=MAX_POLL_INTERVAL,
        )
        return longest * self.random.uniform(0.5, 1)

    def apply_list(self, host_list: HostList) -> None:
        """Put a list into use unless its index is below the last one accepted."""
        if host_list.index < self.index:
            self.log_once(
                f"lower {host_list.index}",
                lambda: emit(HOSTS_LOWER, index=host_list.index, in_use=self.index),
            )
            return
        if host_list.index > self.index:
            self.logged_subjects.clear()
        self.index = host_list.index
        self.log_invalid_entries(host_list)
        if host_list.hosts == self.view.hosts:
            return
        self.view.replace(host_list.hosts)
        states = [host.state for host in host_list.hosts.values()]
        emit(
            HOSTS_REPLACED,
            index=host_list.index,
            live=states.count(HostState.LIVE),
            leaving=states.count(HostState.LEAVING),
        )

    def log_invalid_entries(self, host_list: HostList) -> None:
        """Log each duplicate or malformed entry of a list, once for each index."""
        for name, addresses in host_list.duplicates.items():
            self.log_once(
                f"duplicate {name}",
                lambda name=name, addresses=addresses: emit(
                    HOST_DUPLICATE,
                    index=host_list.index,
                    host=name,
                    addresses=addresses,
                ),
            )
        for malformed in host_list.malformed:
            self.log_once(
                f"malformed {malformed.entry}",
                lambda malformed=malformed: emit(
                    HOST_MALFORMED,
                    index=host_list.index,
                    entry=malformed.entry,
                    error=malformed.error,
                ),
            )

    def log_once(self, subject: str, log_event) -> None:
        """Log an event unless the subject was logged before for the same index."""
        if subject not in self.logged_subjects:
            self.logged_subjects.append(subject)
            log_event()
