"""One bounded HTTP read, and the time to wait after a failed one."""

import json
from collections.abc import Awaitable, Callable
from datetime import timedelta
from random import Random
from typing import Any

from result import Err, Ok, Result
from tornado.httpclient import AsyncHTTPClient, HTTPError
from tornado.httputil import HTTPInputError
from tornado.iostream import StreamClosedError

__all__ = ["Backoff", "ReadError", "ReadJson", "make_http_reader", "polling_interval"]

MAX_ANSWER_BYTES = 4 * 1024 * 1024
"""Largest answer that is parsed: a megabyte of content in JSON and its digests."""

CONNECT_TIMEOUT = timedelta(seconds=2)
"""Longest wait for a connection."""


class ReadError(Exception):
    """A service of the platform gave no usable answer.

    Attributes
    ----------
    status : int
        HTTP status of the answer; 0 if there was none.
    """

    def __init__(self, message: str, *, status: int = 0):
        super().__init__(message)
        self.status = status


ReadJson = Callable[[str, timedelta], Awaitable[Result[Any, ReadError]]]
"""Reads a URL within a time and returns the JSON that it answered."""


def make_http_reader(client: AsyncHTTPClient) -> ReadJson:
    """Return a function that reads JSON by GET, without a retry.

    Parameters
    ----------
    client : AsyncHTTPClient
        Client of the task that reads.
    """

    async def read_json(url: str, timeout: timedelta) -> Result[Any, ReadError]:
        try:
            response = await client.fetch(
                url,
                connect_timeout=min(CONNECT_TIMEOUT, timeout).total_seconds(),
                request_timeout=timeout.total_seconds(),
                follow_redirects=False,
            )
        except HTTPError as error:
            return Err(ReadError(f"{url}: {error}", status=error.code))
        except (OSError, HTTPInputError, StreamClosedError) as error:
            return Err(ReadError(f"{url}: {error!r}"))
        if len(response.body) > MAX_ANSWER_BYTES:
            return Err(ReadError(f"{url}: more than {MAX_ANSWER_BYTES} bytes"))
        try:
            return Ok(json.loads(response.body))
        except (ValueError, RecursionError) as error:
            return Err(ReadError(f"{url}: not JSON: {error}"))

    return read_json


class Backoff:
    """Time to wait between tries: doubles to a limit, with full jitter.

    Parameters
    ----------
    first, limit : timedelta
        Bound of the first wait, and of every wait.
    random : Random
        Source of the jitter.

    References
    ----------
    .. [1] M. Brooker, "Exponential backoff and jitter", AWS Architecture Blog,
       2015.
    """

    __slots__ = ("first", "limit", "random", "failures")

    def __init__(self, *, first: timedelta, limit: timedelta, random: Random):
        self.first = first
        self.limit = limit
        self.random = random
        self.failures = 0

    def reset(self) -> None:
        """Forget the failures; the last try succeeded."""
        self.failures = 0

    def next_wait(self) -> timedelta:
        """Return how long to wait after one more failure."""
        bound = min(self.limit, self.first * 2 ** min(self.failures, 20))
        self.failures += 1
        return bound * self.random.uniform(0.1, 1)


def polling_interval(
    size: int, *, bytes_per_s: float, shortest: timedelta, longest: timedelta
) -> timedelta:
    """Return the time between reads of one size that keeps to a byte rate.

    Parameters
    ----------
    size : int
        Bytes of one answer.
    bytes_per_s : float
        What the reads may cost on average, within the two limits.
    shortest, longest : timedelta
        Limits of the result.
    """
    wanted = timedelta(seconds=size / bytes_per_s)
    return min(longest, max(shortest, wanted))
