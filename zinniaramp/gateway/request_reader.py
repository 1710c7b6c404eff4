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
from ..listeners import CHUNKED_BYTES, MeteredStream
from .hops import announced_length
from .matching import CallerRequest, RefusalError

if TYPE_CHECKING:
    from .server import CallerServer

__all__ = ["RequestReader"]

FRAMING = ("Content-Length", "Transfer-Encoding")
"""Header fields that the library needs to read the body of a refused request."""


class RequestReader(HTTPMessageDelegate):
    """Reads one complete request and starts its handler.

    Attributes
    ----------
    body : bytearray
        Body received so far; of a large one with a length, that length from the start,
        so that it is never copied.
    filled : int
        Bytes of the body received so far.
    working_bytes : int
        Bytes that are reserved beside the body while it is received.
    is_widened : bool
        Whether the connection has a large receive buffer for the body.
    is_refused : bool
        Whether the request was refused; the rest of its body is discarded.
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
        self.body = bytearray()
        self.filled = 0
        self.is_chunked = False
        self.working_bytes = 0
        self.is_widened = False
        self.is_refused = False
        self.has_ended = False

    def headers_received(self, start_line: RequestStartLine, headers: HTTPHeaders):
        """Begin a request; the HTTP library calls this."""
        self.server.idle.discard(self.connection)
        if self.server.limits is not None:
            # The connection has the limit that was in force when it began to wait.
            self.connection.set_max_body_size(self.server.limits.body_bytes)
        self.start_line = start_line
        self.headers = headers
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
        self.is_chunked = "Transfer-Encoding" in self.headers
        if self.is_chunked or length > LARGE_BYTES:
            refusal = self.server.find_refusal(self.request(b""))
            if refusal is not None:
                self._refuse(refusal)
                return
        # Without this a body arrives at two small buffers per round trip.
        buffer = min(length - self.stream.buffered, LARGE_BUFFER_BYTES)
        self.is_widened = buffer > USUAL_BUFFER_BYTES
        self.working_bytes = CHUNKED_BYTES if self.is_chunked else 0
        if self.is_widened:
            self.working_bytes = unread_capacity(buffer)
        held = FIELD_BYTES * len(self.headers) + self.working_bytes
        if not self.holder.reserve(length + held):
            if length or self.is_chunked:
                self._refuse(RefusalError(503, "memory-short"))
            else:
                self._refuse_at_once()
            return
        if length > LARGE_BYTES:
            self.body = bytearray(length)
        if self.is_widened:
            limit_receive_buffer(self.stream.socket, buffer)
        if self.is_chunked or length > self.stream.buffered:
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
        """Free what the request holds, and ignore the rest of it.

        The library keeps the headers until its next step, in which it may parse those
        of all connections: 535 refused requests held 270 MB.
        """
        self.is_refused = True
        self.body = bytearray()
        framing = [
            (name, self.headers[name]) for name in FRAMING if name in self.headers
        ]
        self.headers.__init__(framing)

    def request(self, body: bytes | bytearray) -> CallerRequest:
        """Return the request with a body."""
        return CallerRequest(
            start_line=self.start_line,
            headers=self.headers,
            body=body,
            received=self.received,
        )

    def data_received(self, chunk: bytes) -> None:
        """Add a part of the body; the HTTP library calls this."""
        self.stream.settle()
        if self.is_refused:
            return
        if self.is_chunked and not self.holder.reserve(len(chunk)):
            self._refuse(RefusalError(503, "memory-short"))
            return
        end = self.filled + len(chunk)
        if end > len(self.body):
            self.body += chunk
        else:
            self.body[self.filled : end] = chunk
        self.filled = end

    def finish(self) -> None:
        """Hand the complete request to the server; the HTTP library calls this."""
        self.has_ended = True
        if self.is_refused:
            return
        if self.connection.stream.closed():
            # The connection was closed as idle before the headers were parsed.  The
            # caller concludes that the request was not read, so it must not be sent.
            return
        if self.is_widened:
            size = self.server.account.receive_buffer()
            limit_receive_buffer(self.stream.socket, size)
        self.holder.charge(-self.working_bytes)
        is_large = self.filled > LARGE_BYTES
        body, self.body = self.body, bytearray()
        request = self.request(body if is_large else bytes(body))
        self.server.handle(request, self.connection)
