"""One request on a connection of its own to an endpoint.

A connection carries one request: bytes after its answer can belong to no other
one, and no request meets a connection that its peer has just closed.
"""

import asyncio
from dataclasses import dataclass
from datetime import timedelta

from result import Err, Ok, Result
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

from ..sockets import Address, ConnectError, open_stream

__all__ = ["Answer", "AnswerEnd", "AnswerHead", "AnswerPart", "Outgoing", "start_send"]

MAX_HEADER_BYTES = 64 * 1024
"""Largest header block of an answer."""

MAX_BODY_BYTES = 64 * 1024 * 1024
"""Largest body of an answer; those of the sheets have a few kilobytes."""

QUEUED_PARTS = 8
"""Parts of an answer that wait for a slow caller before reading stops."""

CONTINUE_STATUS_LIMIT = 200
"""Statuses below this one precede the answer."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Outgoing:
    """One request as it is sent."""

    method: str
    target: str
    headers: HTTPHeaders
    body: bytes


@dataclass(slots=True, kw_only=True, frozen=True)
class AnswerHead:
    """Status line and headers of an answer."""

    status: int
    reason: str
    headers: HTTPHeaders


@dataclass(slots=True, kw_only=True, frozen=True)
class AnswerPart:
    """Some bytes of an answer's body."""

    data: bytes


@dataclass(slots=True, kw_only=True, frozen=True)
class AnswerEnd:
    """End of what the endpoint sent.

    Parameters
    ----------
    is_whole : bool
        Whether the body ended as its framing says.
    problem : str
        What went wrong otherwise.
    """

    is_whole: bool
    problem: str = ""


AnswerMessage = AnswerHead | AnswerPart | AnswerEnd


class _MessageQueue(HTTPMessageDelegate):
    """Turns what a connection reads into messages."""

    def __init__(self, *, queue: asyncio.Queue[AnswerMessage], stream: IOStream):
        self.queue = queue
        self.stream = stream
        self.is_framed = False
        self.ending: asyncio.Task | None = None

    def headers_received(self, start_line: ResponseStartLine, headers: HTTPHeaders):
        if start_line.code < CONTINUE_STATUS_LIMIT:
            return None
        self.is_framed = "Content-Length" in headers or "Transfer-Encoding" in headers
        head = AnswerHead(
            status=start_line.code, reason=start_line.reason, headers=headers
        )
        return self.queue.put(head)

    def data_received(self, chunk: bytes):
        return self.queue.put(AnswerPart(data=chunk))

    def finish(self) -> None:
        # Said here and not after the call, which goes on while the endpoint has
        # not read the whole request.  A body without a length ends with its
        # connection; a reset is no end.
        error = None if self.is_framed else self.stream.error
        end = AnswerEnd(is_whole=error is None, problem=repr(error) if error else "")
        self.ending = asyncio.create_task(self.queue.put(end))


class Answer:
    """The answer to one request, read as it comes.

    Parameters
    ----------
    stream : IOStream
        Connected stream; it is closed with the answer.
    """

    __slots__ = ("stream", "queue", "task")

    def __init__(self, *, stream: IOStream):
        self.stream = stream
        self.queue: asyncio.Queue[AnswerMessage] = asyncio.Queue(QUEUED_PARTS)
        self.task: asyncio.Task | None = None

    def start(self, outgoing: Outgoing) -> None:
        """Send the request and begin to read."""
        parameters = HTTP1ConnectionParameters(
            max_header_size=MAX_HEADER_BYTES, max_body_size=MAX_BODY_BYTES
        )
        connection = HTTP1Connection(self.stream, True, parameters)
        connection.write_headers(
            RequestStartLine(outgoing.method, outgoing.target, "HTTP/1.1"),
            outgoing.headers,
            outgoing.body,
        )
        connection.finish()
        self.task = asyncio.create_task(self._read(connection))

    async def next(self) -> AnswerMessage:
        """Return the next message; the last one is an `AnswerEnd`."""
        return await self.queue.get()

    def close(self) -> None:
        """End the connection, which makes the endpoint stop."""
        if self.task is not None:
            self.task.cancel()
        self.stream.close()

    async def _read(self, connection: HTTP1Connection) -> None:
        messages = _MessageQueue(queue=self.queue, stream=self.stream)
        problem = "not an answer in the protocol"
        try:
            await connection.read_response(messages)
        except (StreamClosedError, UnsatisfiableReadError, ValueError) as error:
            problem = repr(error)
        if messages.ending is None:
            await self.queue.put(AnswerEnd(is_whole=False, problem=problem))


async def start_send(
    address: Address, outgoing: Outgoing, *, connect_timeout: timedelta
) -> Result[Answer, ConnectError]:
    """Connect to an endpoint and send it one request.

    Returns
    -------
    Result
        The answer to read; or `ConnectError`, and then nothing was sent.
    """
    opened = await open_stream(address, timeout=connect_timeout)
    if isinstance(opened, Err):
        return opened
    answer = Answer(stream=opened.ok_value)
    answer.start(outgoing)
    return Ok(answer)
