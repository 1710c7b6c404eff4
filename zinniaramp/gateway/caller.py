"""Writing of one answer to a caller's connection."""

import asyncio
import json
from collections.abc import Callable

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, ResponseStartLine, responses
from tornado.iostream import StreamClosedError

from ..buffers import SERVER_BUFFER_BYTES, unread_capacity
from ..intake import Phase
from .hops import end_to_end_headers
from .upstream import AnswerHead

__all__ = ["CallerConnection", "CallerGoneError", "UnfinishedCallerConnection"]

DEFAULT_REASON = "Unknown"
"""Reason phrase for a status that has no standard one."""


BLOCKED_BYTES = 128 * 1024 + unread_capacity(SERVER_BUFFER_BYTES)
"""Memory of an answer whose caller does not read, beside the part that is written: the
messages that are queued meanwhile, and the buffers of the endpoint's connection."""

ROOM_INTERVAL_SECONDS = 0.02
"""Interval at which an answer that found no room in memory is tried again."""


class CallerGoneError(Exception):
    """The caller closed its connection before the answer was complete."""


class CallerConnection:
    """Writes the answer to one request to the caller's connection.

    Parameters
    ----------
    connection : HTTP1Connection
        The caller's connection.
    is_closing : callable
        Returns whether the connection closes after this answer.

    Attributes
    ----------
    has_started : bool
        Whether the status line has been written; no other answer is possible then.
    is_done : bool
        Whether the answer was completed or aborted.
    event_bytes : int
        Bytes that are charged for the beginning of an event of a stream.
    """

    __slots__ = ("connection", "is_closing", "has_started", "is_done", "event_bytes")

    def __init__(self, *, connection: HTTP1Connection, is_closing: Callable[[], bool]):
        self.connection = connection
        self.is_closing = is_closing
        self.has_started = False
        self.is_done = False
        self.event_bytes = 0

    async def send_head(self, head: AnswerHead, length: int | None) -> None:
        """Write the status line and end-to-end headers of an endpoint's answer.

        Parameters
        ----------
        head : AnswerHead
            Status and headers from the endpoint.
        length : int or None
            Length of the body in bytes; None if it is not known yet.
        """
        headers = end_to_end_headers(head.headers, keep=frozenset())
        if length is not None:
            headers["Content-Length"] = str(length)
        await self._write_head(head.status, head.reason, headers)

    async def write(self, data: bytes) -> None:
        """Write a chunk of the body and wait until it is flushed to the socket."""
        try:
            await self._flush(self.connection.write(data))
        except StreamClosedError as error:
            raise CallerGoneError from error

    async def _flush(self, written: asyncio.Future) -> None:
        """Wait for a write; a caller that does not read may be evicted meanwhile."""
        if written.done():
            await written
            return
        holder = self.connection.stream.holder
        phase = holder.phase
        holder.enter(Phase.ANSWER)
        holder.charge(BLOCKED_BYTES)
        try:
            await written
        finally:
            holder.charge(-BLOCKED_BYTES)
            holder.enter(phase)

    async def hold(self, count: int) -> None:
        """Wait until there is room for a part of an answer, and charge it.

        Parameters
        ----------
        count : int
            Bytes of the part.
        """
        holder = self.connection.stream.holder
        while not holder.reserve(count):
            await asyncio.sleep(ROOM_INTERVAL_SECONDS)

    def send_buffer(self) -> int:
        """Return the size of the receive buffer for the answer of a send, in bytes."""
        return self.connection.stream.holder.account.send_buffer()

    def hold_event(self, count: int) -> bool:
        """Charge the beginning of an event, which is kept until the event is complete.

        Parameters
        ----------
        count : int
            Bytes of it; they replace those that were charged before.

        Returns
        -------
        bool
            Whether there is room for it.
        """
        holder = self.connection.stream.holder
        added = count - self.event_bytes
        if added > 0 and not holder.reserve(added):
            return False
        if added < 0:
            holder.charge(added)
        self.event_bytes = count
        return True

    def finish(self) -> None:
        """Mark the answer as complete."""
        self.is_done = True
        self.connection.finish()

    def abort(self) -> None:
        """Close the connection without completing the answer.

        The missing end of the body shows the caller that the answer is truncated.
        """
        self.is_done = True
        self.connection.close()

    async def answer(self, head: AnswerHead, body: bytes) -> None:
        """Write a complete answer of an endpoint."""
        has_body = head.status not in (204, 304)
        await self.send_head(head, len(body) if has_body else None)
        if body and has_body:
            await self.write(body)
        self.finish()

    async def refuse(self, status: int, reason: str, retry_after: float | None) -> None:
        """Write an error answer generated by the gateway.

        Parameters
        ----------
        status : int
            HTTP status.
        reason : str
            Error code for the JSON body and the log.
        retry_after : float or None
            Value of ``Retry-After`` in seconds; None omits the header.
        """
        body = json.dumps({"error": {"code": reason}}).encode()
        headers = HTTPHeaders({"Content-Type": "application/json"})
        headers["Content-Length"] = str(len(body))
        if retry_after is not None:
            headers["Retry-After"] = f"{retry_after:.3f}"
        await self._write_head(status, "", headers)
        await self.write(body)
        self.finish()

    async def _write_head(self, status: int, reason: str, headers: HTTPHeaders) -> None:
        if self.is_closing():
            headers["Connection"] = "close"
        phrase = reason or responses.get(status, DEFAULT_REASON)
        self.has_started = True
        line = ResponseStartLine("HTTP/1.1", status, phrase)
        try:
            await self._flush(self.connection.write_headers(line, headers))
        except StreamClosedError as error:
            raise CallerGoneError from error


class UnfinishedCallerConnection(CallerConnection):
    """Writes a refusal while the caller still sends the body of its request.

    The connection stays open after the answer, so that its owner can read the rest of
    the body.
    """

    __slots__ = ()

    def finish(self) -> None:
        """Mark the answer as complete."""
        self.is_done = True
