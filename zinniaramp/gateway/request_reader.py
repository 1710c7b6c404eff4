"""Reading of callers' requests, and the account of what they hold meanwhile."""

from typing import TYPE_CHECKING

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine

from ..intake import LARGE_BYTES, Phase
from ..listeners import (
    UNLIMITED_BYTES,
    BodyBuffer,
    BodyReservation,
    MeteredStream,
    RefusedBody,
    announced_length,
    is_chunked,
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
    reservation : BodyReservation
        Memory of the request while it is received.
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
        self.reservation = BodyReservation(stream=self.stream)
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
        is_unannounced = is_chunked(self.headers)
        if is_unannounced or length > LARGE_BYTES:
            refusal = self.server.find_refusal(self.request(b""))
            if refusal is None and length > self.max_bytes:
                refusal = TOO_LARGE
            if refusal is not None:
                self._refuse(refusal)
                return
        if not self.reservation.begin(self.headers):
            if length or is_unannounced:
                self._refuse(MEMORY_SHORT)
            else:
                self._refuse_at_once()
            return
        self.body.expect(length)
        if is_unannounced or length > self.stream.buffered:
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
        if filled > self.max_bytes:
            self._refuse(TOO_LARGE)
        elif not self.reservation.extend(filled):
            self._refuse(MEMORY_SHORT)
        else:
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
        self.reservation.end()
        self.server.handle(self.request(self.body.take()), self.connection)
