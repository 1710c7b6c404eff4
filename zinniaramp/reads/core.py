"""JSON reads over HTTP with timeouts, the backoff after failures, polling intervals."""

import asyncio
import json
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from random import Random
from typing import Any

from result import Err, Ok, Result
from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPResponse
from tornado.httputil import HTTPHeaders, HTTPInputError
from tornado.iostream import StreamClosedError

from .transfers import Transfer

__all__ = [
    "MAX_ANSWER_BYTES",
    "Backoff",
    "JsonAnswer",
    "ReadAnswer",
    "ReadError",
    "ReadJson",
    "make_answer_reader",
    "make_http_reader",
    "make_transfer_reader",
    "parse_retry_after",
    "polling_interval",
]

MAX_ANSWER_BYTES = 4 * 1024 * 1024
"""Largest answer that is parsed; a megabyte of content as JSON with digests fits."""

MAX_TRANSFER_TIME = timedelta(seconds=60)
"""Longest time that an answer may take once it has begun; the largest one takes 7 s at
5 Mbit/s."""

MAX_RETRY_AFTER_SECONDS = 24 * 3600
"""Largest ``Retry-After`` that is followed; a longer one is taken for an error."""

CONNECT_TIMEOUT = timedelta(seconds=2)
"""Timeout of connecting; a shorter timeout of the read takes precedence."""


class ReadError(Exception):
    """A service of the platform returned no usable answer.

    Attributes
    ----------
    status : int
        HTTP status of an error response, or Tornado's 599 for a timeout or a failed
        connection; 0 if there is neither.
    retry_after : timedelta or None
        Time for which the service asks not to be called; None if it asks for none.
    has_begun : bool
        Whether the headers of a successful answer arrived, and only its body could not
        be read, for example because it is too large.
    """

    def __init__(
        self,
        message: str,
        *,
        status: int = 0,
        retry_after: timedelta | None = None,
        has_begun: bool = False,
    ):
        super().__init__(message)
        self.status = status
        self.retry_after = retry_after
        self.has_begun = has_begun


@dataclass(slots=True, kw_only=True, frozen=True)
class JsonAnswer:
    """Parsed JSON of an answer, and its headers."""

    document: Any
    headers: HTTPHeaders


ReadAnswer = Callable[[str, timedelta], Awaitable[Result[JsonAnswer, ReadError]]]
"""Reads a URL with a timeout and returns the parsed JSON with the headers."""

ReadJson = Callable[[str, timedelta], Awaitable[Result[Any, ReadError]]]
"""Reads a URL with a timeout and returns the parsed JSON."""


def parse_retry_after(headers: HTTPHeaders) -> timedelta | None:
    """Return the ``Retry-After`` of an answer; None if it is absent or not a number.

    Parameters
    ----------
    headers : HTTPHeaders
        Headers of the answer.  Only a number of seconds is understood, which may have
        a fraction.

    References
    ----------
    RFC 9110, section 10.2.3.
    """
    try:
        seconds = float(headers.get("Retry-After", ""))
    except ValueError:
        return None
    if not math.isfinite(seconds) or not 0 < seconds <= MAX_RETRY_AFTER_SECONDS:
        return None
    return timedelta(seconds=seconds)


def make_answer_reader(client: AsyncHTTPClient) -> ReadAnswer:
    """Return a function that reads JSON with one GET, without retries or redirects.

    Parameters
    ----------
    client : AsyncHTTPClient
        Client that sends the requests.

    Returns
    -------
    ReadAnswer
        Coroutine function; it returns `ReadError` on failures instead of raising.
    """

    async def read_answer(
        url: str, timeout: timedelta
    ) -> Result[JsonAnswer, ReadError]:
        lines: list[str] = []
        fetching = client.fetch(
            url,
            connect_timeout=min(CONNECT_TIMEOUT, timeout).total_seconds(),
            request_timeout=timeout.total_seconds(),
            follow_redirects=False,
            header_callback=lines.append,
        )
        response = await _await_response(fetching, url, lines)
        return response.and_then(lambda one: _parse(url, one.body, one.headers))

    return read_answer


def make_transfer_reader(
    client: AsyncHTTPClient,
    *,
    transfer: Transfer,
    close: Callable[[], None],
    prepare: Callable[[Any], None] | None = None,
) -> ReadAnswer:
    """Return a function like that of `make_answer_reader`, for answers of any size.

    Its timeout is the one of the answer's beginning.  An answer that has begun is given
    up when no more bytes arrive for `STALL_TIMEOUT`, or after `MAX_TRANSFER_TIME`.

    Parameters
    ----------
    client : AsyncHTTPClient
        Client that sends the requests, one at a time.
    transfer : Transfer
        Progress of the answers.
    close : callable
        Closes the connection of the current call.
    prepare : callable, optional
        Receives the handle of each call of a client that uses libcurl.
    """

    async def read_answer(
        url: str, timeout: timedelta
    ) -> Result[JsonAnswer, ReadError]:
        lines: list[str] = []
        body = bytearray()
        has_ended = False

        def receive_header(line: str) -> None:
            lines.append(line)
            if not has_ended:
                transfer.record_header(line)

        def receive_body(chunk: bytes) -> Awaitable | None:
            if has_ended:
                # What is left of a call that was ended must not count for the next one.
                return None
            body.extend(chunk)
            if len(body) > MAX_ANSWER_BYTES:
                close()
            return transfer.record_bytes(chunk)

        transfer.start()
        fetching = client.fetch(
            url,
            connect_timeout=min(CONNECT_TIMEOUT, timeout).total_seconds(),
            request_timeout=(timeout + MAX_TRANSFER_TIME).total_seconds(),
            follow_redirects=False,
            header_callback=receive_header,
            streaming_callback=receive_body,
            prepare_curl_callback=prepare,
        )
        call = asyncio.ensure_future(_await_response(fetching, url, lines))
        try:
            await _wait_for_progress(call, transfer, timeout, close)
        finally:
            if not call.done():
                # The client has no other way to end a call before its timeout.
                close()
            has_ended = True
            transfer.finish()
        return (await call).and_then(lambda one: _parse(url, body, one.headers))

    return read_answer


async def _wait_for_progress(
    call: asyncio.Future,
    transfer: Transfer,
    timeout: timedelta,
    close: Callable[[], None],
) -> None:
    """Wait for the end of a call; close its connection if nothing arrives in time."""
    beginning = asyncio.ensure_future(transfer.begun.wait())
    try:
        await asyncio.wait(
            [call, beginning],
            timeout=timeout.total_seconds(),
            return_when=asyncio.FIRST_COMPLETED,
        )
    finally:
        beginning.cancel()
    while not call.done():
        left = transfer.time_left()
        if left <= timedelta():
            close()
            await asyncio.wait([call])
        else:
            await asyncio.wait([call], timeout=left.total_seconds())


async def _await_response(
    fetching: Awaitable[HTTPResponse], url: str, lines: list[str]
) -> Result[HTTPResponse, ReadError]:
    """Return the response to a call, whose header lines are collected beside it."""
    try:
        return Ok(await fetching)
    except HTTPError as error:
        wait = parse_retry_after(error.response.headers) if error.response else None
        return Err(
            ReadError(
                f"{url}: {error}",
                status=error.code,
                retry_after=wait,
                has_begun=_has_begun(lines),
            )
        )
    except (OSError, HTTPInputError, StreamClosedError) as error:
        return Err(ReadError(f"{url}: {error!r}", has_begun=_has_begun(lines)))


def _parse(
    url: str, body: bytes | bytearray, headers: HTTPHeaders
) -> Result[JsonAnswer, ReadError]:
    if len(body) > MAX_ANSWER_BYTES:
        problem = f"{url}: more than {MAX_ANSWER_BYTES} bytes"
        return Err(ReadError(problem, has_begun=True))
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        return Err(ReadError(f"{url}: not JSON: {error}"))
    return Ok(JsonAnswer(document=document, headers=headers))


def _has_begun(header_lines: list[str]) -> bool:
    """Return whether the lines of a header block begin with a status of success."""
    return bool(header_lines) and header_lines[0].split()[1:2] == ["200"]


def make_http_reader(client: AsyncHTTPClient) -> ReadJson:
    """Return a function like that of `make_answer_reader`, without the headers."""
    read_answer = make_answer_reader(client)

    async def read_json(url: str, timeout: timedelta) -> Result[Any, ReadError]:
        answer = await read_answer(url, timeout)
        return answer.map(lambda one: one.document)

    return read_json


class Backoff:
    """Exponential backoff between attempts, with jitter.

    The upper bound of the wait doubles with each failure up to a limit.  Each wait
    is drawn from 10 % to 100 % of the bound.

    Parameters
    ----------
    first : timedelta
        Upper bound of the first wait.
    limit : timedelta
        Upper bound of every wait.
    random : Random
        Source of jitter.

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
        """Reset the number of failures after a successful attempt."""
        self.failures = 0

    def next_wait(self) -> timedelta:
        """Record one more failure and return the wait before the next attempt."""
        bound = min(self.limit, self.first * 2 ** min(self.failures, 20))
        self.failures += 1
        return bound * self.random.uniform(0.1, 1)


def polling_interval(
    size: int, *, bytes_per_s: float, shortest: timedelta, longest: timedelta
) -> timedelta:
    """Return the interval of reads that limits their average byte rate.

    Parameters
    ----------
    size : int
        Bytes of one answer.
    bytes_per_s : float
        Average rate of the reads; the two bounds take precedence.
    shortest, longest : timedelta
        Bounds of the interval.
    """
    interval = timedelta(seconds=size / bytes_per_s)
    return min(longest, max(shortest, interval))
