"""Reading of callers' requests, and the account of what they hold meanwhile."""

from typing import TYPE_CHECKING

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine

from ..buffers import (
    LARGE_BUFFER_BYTES,
    USUAL_BUFFER_BYTES,
    limit_receive_buffer,
    unread_capacity,
)
from ..intake import FIELD_BYTES, LARGE_BYTES, Phase
from ..listeners import (
    CHUNKED_BYTES,
    UNLIMITED_BYTES,
    BodyBuffer,
    MeteredStream,
    RefusedBody,
    announced_length,
    keep_framing,
)
from .matching import CallerRequest, RefusalError

if TYPE_CHECKING:
    from .server import CallerServer

__all__ = ["RequestReader"]
TOO_LARGE = RefusalError(413, "body-too-large")
"""Refusal of a body over the limit."""

MEMORY_SHORT = RefusalError(503, "memory-short")
"""Refusal of a request for which there is no memory now."""


class RequestReader(HTTPMessageDelegate):
    """Reads one complete request and starts its handler.

    Attributes
    ----------
    max_bytes : int
        Limit on the body that was in force when the headers arrived.
    body : BodyBuffer
        Body received so far.
    reserved : int
        Bytes of the body for which memory is reserved.
    working_bytes : int
        Bytes that are reserved beside these while the body is received.
    is_widened : bool
        Whether the connection has a large receive buffer for the body.
    refused : RefusedBody or None
        The rest of the body, once the request was refused.
    has_ended : bool
        Whether the complete request was received.
    """

    def __init__(self, *, server: "CallerServer", connection: HTTP1Connection):
        self.server = server
        self.connection = connection
        server.idle.add(connection)
        self.stream: MeteredStream = connection.stream
        self.stream.reader = self
        self.holder = self.stream.holder
        if self.holder.phase is not Phase.HEAD:
            self.holder.enter(Phase.IDLE)
        self.start_line: RequestStartLine | None = None
        self.headers = HTTPHeaders()
        self.received = server.clock()
        self.max_bytes = 0
        self.body = BodyBuffer()
        self.reserved = 0
        self.working_bytes = 0
        self.is_widened = False
        self.refused: RefusedBody | None = None
        self.has_ended = False

    def headers_received(self, start_line: RequestStartLine, headers: HTTPHeaders):
        """Begin a request; the HTTP library calls this."""
        self.server.idle.discard(self.connection)
        # The library closes a connection without an answer beyond its limit.
        self.connection.set_max_body_size(UNLIMITED_BYTES)
        self.start_line = start_line
        self.headers = headers
        self.max_bytes = self.server.max_body_bytes
        self.received = self.server.clock()
        self.stream.settle()
        if self.stream.closed():
            # Evicted after its headers had arrived, and before they were parsed.
            self.drop()
        else:
            self._admit()

    def _admit(self) -> None:
        """Charge the request, or refuse it before any of its body is read."""
        length = announced_length(self.headers)
        is_chunked = "Transfer-Encoding" in self.headers
        if is_chunked or length > LARGE_BYTES:
            refusal = self.server.find_refusal(self.request(b""))
            if refusal is None and length > self.max_bytes:
                refusal = TOO_LARGE
            if refusal is not None:
                self._refuse(refusal)
                return
        # Without this a body arrives at two small buffers per round trip.
        buffer = min(length - self.stream.buffered, LARGE_BUFFER_BYTES)
        self.is_widened = buffer > USUAL_BUFFER_BYTES
        self.working_bytes = CHUNKED_BYTES if is_chunked else 0
        if self.is_widened:
            self.working_bytes = unread_capacity(buffer)
        held = FIELD_BYTES * len(self.headers) + self.working_bytes
        if not self.holder.reserve(length + held):
            if length or is_chunked:
                self._refuse(MEMORY_SHORT)
            else:
                self._refuse_at_once()
            return
        self.reserved = length
        self.body.expect(length)
        if self.is_widened:
            limit_receive_buffer(self.stream.socket, buffer)
        if is_chunked or length > self.stream.buffered:
            self.holder.enter(Phase.BODY)

    def _refuse(self, refusal: RefusalError) -> None:
        self.drop()
        self.holder.release()
        self.holder.enter(Phase.REFUSED)
        self.server.refuse(self, refusal)

    def _refuse_at_once(self) -> None:
        """Refuse a request without a body, and close its connection.

        Header fields take up to a megabyte, which is free as soon as this returns.
        """
        self.drop()
        self.server.record_refusal()
        self.server.write_not_run(self.connection)
        self.connection.close()

    def drop(self) -> None:
        """Free what the request holds, and ignore the rest of it."""
        self.refused = RefusedBody(stream=self.stream, max_bytes=self.max_bytes)
        self.body.drop()
        keep_framing(self.headers)

    def request(self, body: bytes | bytearray) -> CallerRequest:
        """Return the request with a body."""
        return CallerRequest(
            start_line=self.start_line,
            headers=self.headers,
            body=body,
            received=self.received,
        )

    def data_received(self, chunk: bytes):
        """Add a part of the body; the HTTP library calls this."""
        self.stream.settle()
        if self.refused is not None:
            return self.refused.discard(chunk)
        filled = self.body.filled + len(chunk)
        missing = filled - self.reserved
        if filled > self.max_bytes:
            self._refuse(TOO_LARGE)
        elif missing > 0 and not self.holder.reserve(missing):
            self._refuse(MEMORY_SHORT)
        else:
            self.reserved = max(self.reserved, filled)
            self.body.add(chunk)
        return None

    def finish(self) -> None:
        """Hand the complete request to the server; the HTTP library calls this."""
        self.has_ended = True
        if self.refused is not None:
            return
        if self.connection.stream.closed():
            # The connection was closed as idle before the headers were parsed.  The
            # caller concludes that the request was not read, so it must not be sent.
            return
        if self.is_widened:
            size = self.server.account.receive_buffer()
            limit_receive_buffer(self.stream.socket, size)
        self.holder.charge(-self.working_bytes)
        self.server.handle(self.request(self.body.take()), self.connection)
