"""A caller's connection: one answer, written once."""

import json
from collections.abc import Callable

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, ResponseStartLine, responses
from tornado.iostream import StreamClosedError

from .hops import end_to_end
from .upstream import AnswerHead

__all__ = ["CallerConnection", "CallerGoneError"]

DEFAULT_REASON = "Unknown"
"""Reason phrase of a status that has none."""


class CallerGoneError(Exception):
    """The caller closed its connection."""


class CallerConnection:
    """Writes the answer to one request.

    Parameters
    ----------
    connection : HTTP1Connection
        The caller's connection.
    is_closing : callable
        Whether connections are to be closed after the answer under way.

    Attributes
    ----------
    has_begun : bool
        Whether the caller has been sent any part of an answer.
    is_done : bool
        Whether the answer has ended.
    """

    __slots__ = ("connection", "is_closing", "has_begun", "is_done")

    def __init__(self, *, connection: HTTP1Connection, is_closing: Callable[[], bool]):
        self.connection = connection
        self.is_closing = is_closing
        self.has_begun = False
        self.is_done = False

    async def begin(self, head: AnswerHead, length: int | None) -> None:
        """Send status and headers of an endpoint's answer.

        Parameters
        ----------
        head : AnswerHead
            What the endpoint sent.
        length : int or None
            Bytes of the body; None if they are not known yet.
        """
        headers = end_to_end(head.headers, keep=frozenset())
        if length is not None:
            headers["Content-Length"] = str(length)
        await self._write_head(head.status, head.reason, headers)

    async def write(self, data: bytes) -> None:
        """Send a part of the body and wait until it has left."""
        try:
            await self.connection.write(data)
        except StreamClosedError as error:
            raise CallerGoneError from error

    def finish(self) -> None:
        """End the answer as complete."""
        self.is_done = True
        self.connection.finish()

    def abort(self) -> None:
        """End the connection, so that the answer does not look complete."""
        self.is_done = True
        self.connection.close()

    async def answer(self, head: AnswerHead, body: bytes) -> None:
        """Send a whole answer of an endpoint."""
        has_body = head.status not in (204, 304)
        await self.begin(head, len(body) if has_body else None)
        if body and has_body:
            await self.write(body)
        self.finish()

    async def refuse(self, status: int, reason: str, retry_after: float | None) -> None:
        """Send an answer of our own.

        Parameters
        ----------
        status : int
            HTTP status.
        reason : str
            Code that says why, for people and logs.
        retry_after : float or None
            Seconds after which to come back.
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
        self.has_begun = True
        line = ResponseStartLine("HTTP/1.1", status, phrase)
        try:
            await self.connection.write_headers(line, headers)
        except StreamClosedError as error:
            raise CallerGoneError from error
