"""HTTP client for sends to endpoints: one request on a connection of its own.

Connections are not reused.  Excess bytes after an answer can't be mistaken for another
answer, and no request is written to a connection that the endpoint has just closed.
"""

import asyncio
import re
from dataclasses import dataclass
from datetime import timedelta

from result import Err, Ok, Result
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

from ..buffers import SERVER_BUFFER_BYTES
from ..sockets import Address, ConnectError, count_unacknowledged, open_stream

__all__ = [
    "Answer",
    "AnswerEnd",
    "AnswerHead",
    "AnswerChunk",
    "AnswerMessage",
    "UpstreamRequest",
    "send_request",
]

MAX_HEADER_BYTES = 64 * 1024
"""Limit on the header block of an answer, in bytes."""

MAX_HEADER_FIELDS = 200
"""Limit on the header fields of an answer.  Ordinary answers have a dozen; 12,000 short
ones fit into `MAX_HEADER_BYTES` and take some 400 bytes of memory each."""

MAX_BODY_BYTES = 64 * 1024 * 1024
"""Limit on the body of an answer with a length or chunks, in bytes."""

MAX_QUEUED_MESSAGES = 4
"""Messages of an answer that are buffered for a slow caller before reading pauses."""

READ_BYTES = 16 * 1024
"""Largest message of an answer, and size of one read.  `MAX_QUEUED_MESSAGES` of them
are held for a caller that does not read; an event has a few hundred bytes."""

LARGE_BODY_BYTES = 64 * 1024
"""Size from which a body is not copied into one write with the headers."""

MIN_FINAL_STATUS = 200
"""Lowest final status; lower ones are interim responses."""

LOW_STATUS = re.compile(rb"[\r\n]*HTTP/1\.\d (0\d\d)\b")
"""Start of a header block whose status is below 100."""


@dataclass(slots=True, kw_only=True, frozen=True)
class UpstreamRequest:
    """A request as it is sent to an endpoint."""

    method: str
    target: str
    headers: HTTPHeaders
    body: bytes | bytearray


@dataclass(slots=True, kw_only=True, frozen=True)
class AnswerHead:
    """Status line and headers of an answer."""

    status: int
    reason: str
    headers: HTTPHeaders


@dataclass(slots=True, kw_only=True, frozen=True)
class AnswerChunk:
    """A chunk of an answer's body."""

    data: bytes


@dataclass(slots=True, kw_only=True, frozen=True)
class AnswerEnd:
    """End of an answer, or of a connection that broke during one.

    Parameters
    ----------
    is_complete : bool
        Whether the body is complete according to its framing.
    problem : str
        Why the answer is incomplete; empty otherwise.
    is_closed : bool
        Whether the endpoint closed the connection before the end of a framed answer, or
        at the end of one without a length.
    """

    is_complete: bool
    problem: str = ""
    is_closed: bool = False


AnswerMessage = AnswerHead | AnswerChunk | AnswerEnd


class _AnswerStream(IOStream):
    """Connection to an endpoint, which checks header blocks before they are parsed.

    Attributes
    ----------
    head_problem : str
        Why a header block was refused; empty if none was.
    ends_body : bool
        Whether the end of the connection is the end of the answer's body.
    had_unsent_bytes : bool
        Whether a part of the request had not reached the endpoint's host at that end.
    """

    head_problem = ""
    ends_body = False
    had_unsent_bytes = False

    def close(self, exc_info=False) -> None:
        """Close the connection; the HTTP library also calls this at its end."""
        if self.ends_body and not self.closed():
            self.had_unsent_bytes = (
                self.writing() or count_unacknowledged(self.socket) > 0
            )
        super().close(exc_info)

    def find_end_problem(self) -> str:
        """Return why the end of the connection does not complete a body, or nothing."""
        if self.error is not None:
            # A reset, unlike a close, is no end of a body.
            return repr(self.error)
        if self.had_unsent_bytes:
            # An endpoint that fails while it receives the request ends the connection
            # like this.  It resets it only when more of the request arrives.
            return "connection closed before the end of the request"
        return ""

    async def read_until_regex(
        self, regex: bytes, max_bytes: int | None = None
    ) -> bytes:
        """Read a header block; the HTTP library calls this before it parses one.

        Raises
        ------
        HTTPInputError
            The block has more than `MAX_HEADER_FIELDS` lines, or a status below 100,
            which the HTTP library takes for that of a final response.
        """
        block = await super().read_until_regex(regex, max_bytes)
        if block.count(b"\n") > MAX_HEADER_FIELDS:
            self.head_problem = f"more than {MAX_HEADER_FIELDS} header fields"
        elif found := LOW_STATUS.match(block):
            self.head_problem = f"status {found[1].decode()}"
        if self.head_problem:
            raise HTTPInputError(self.head_problem)
        return block


class _AnswerReader(HTTPMessageDelegate):
    """Queues the head, chunks and end of the answer that a connection receives."""

    def __init__(self, *, queue: asyncio.Queue[AnswerMessage], stream: _AnswerStream):
        self.queue = queue
        self.stream = stream
        self.end_task: asyncio.Task | None = None

    def headers_received(self, start_line: ResponseStartLine, headers: HTTPHeaders):
        if start_line.code < MIN_FINAL_STATUS:
            return None
        is_framed = "Content-Length" in headers or "Transfer-Encoding" in headers
        self.stream.ends_body = not is_framed
        head = AnswerHead(
            status=start_line.code, reason=start_line.reason, headers=headers
        )
        return self.queue.put(head)

    def data_received(self, chunk: bytes):
        return self.queue.put(AnswerChunk(data=chunk))

    def finish(self) -> None:
        # The end is queued here because `read_response` returns only after the
        # endpoint has read the whole request.
        ends_body = self.stream.ends_body
        problem = self.stream.find_end_problem() if ends_body else ""
        end = AnswerEnd(is_complete=not problem, problem=problem, is_closed=ends_body)
        self.end_task = asyncio.create_task(self.queue.put(end))


class Answer:
    """The answer to one request, read as it arrives.

    Parameters
    ----------
    stream : _AnswerStream
        Connected stream; `close` closes it.
    """

    __slots__ = ("stream", "queue", "task")

    def __init__(self, *, stream: _AnswerStream):
        self.stream = stream
        self.queue: asyncio.Queue[AnswerMessage] = asyncio.Queue(MAX_QUEUED_MESSAGES)
        self.task: asyncio.Task | None = None

    def start(self, request: UpstreamRequest) -> None:
        """Send the request and start reading the answer."""
        parameters = HTTP1ConnectionParameters(
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
            chunk_size=READ_BYTES,
        )
        self.stream.read_chunk_size = READ_BYTES
        connection = HTTP1Connection(self.stream, True, parameters)
        is_large = len(request.body) > LARGE_BODY_BYTES
        connection.write_headers(
            RequestStartLine(request.method, request.target, "HTTP/1.1"),
            request.headers,
            None if is_large else request.body,
        )
        if is_large:
            connection.write(request.body)
        connection.finish()
        self.task = asyncio.create_task(self._read(connection))

    async def next(self) -> AnswerMessage:
        """Return the next message; the last one is an `AnswerEnd`."""
        return await self.queue.get()

    def close(self) -> None:
        """Close the connection, which makes the endpoint cancel the request."""
        if self.task is not None:
            self.task.cancel()
        self.stream.close()

    async def _read(self, connection: HTTP1Connection) -> None:
        messages = _AnswerReader(queue=self.queue, stream=self.stream)
        problem = "malformed HTTP response"
        is_closed = False
        try:
            await connection.read_response(messages)
            problem = self.stream.head_problem or problem
        except (StreamClosedError, UnsatisfiableReadError, ValueError) as error:
            problem = repr(error)
            is_closed = isinstance(error, StreamClosedError)
        if messages.end_task is None:
            end = AnswerEnd(is_complete=False, problem=problem, is_closed=is_closed)
            await self.queue.put(end)


async def send_request(
    address: Address,
    request: UpstreamRequest,
    *,
    connect_timeout: timedelta,
    receive_buffer: int = SERVER_BUFFER_BYTES,
) -> Result[Answer, ConnectError]:
    """Connect to an endpoint and send one request to it.

    Parameters
    ----------
    address : Address
        Address of the endpoint.
    request : UpstreamRequest
        The request.
    connect_timeout : timedelta
        Timeout of the connection attempt; reading the answer has no timeout.
    receive_buffer : int
        Size of the connection's receive buffer, in bytes.

    Returns
    -------
    Result
        The answer to read; or `ConnectError`, in which case nothing was sent.
    """
    opened = await open_stream(
        address,
        timeout=connect_timeout,
        stream_class=_AnswerStream,
        receive_buffer=receive_buffer,
    )
    if isinstance(opened, Err):
        return opened
    answer = Answer(stream=opened.ok_value)
    try:
        answer.start(request)
    except BaseException:
        answer.close()
        raise
    return Ok(answer)
