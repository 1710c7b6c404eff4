"""Limits on requests to an HTTP application: their size and the memory for them."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from random import uniform

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
    responses,
)

from ..intake import FIELD_BYTES, Phase
from .bodies import (
    BodyBuffer,
    BodyReservation,
    RefusedBody,
    announced_length,
    is_chunked,
    keep_framing,
)
from .streams import MeteredStream

__all__ = [
    "UNLIMITED_BYTES",
    "BodyLimiter",
    "BodyPolicy",
    "Refusal",
    "RefusalAnswer",
    "draw_retry_seconds",
    "refuse_as_json",
]

UNLIMITED_BYTES = 2**62
"""Limit for the library, which closes a connection without an answer beyond it."""

MIN_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 2.0
"""Range of ``Retry-After`` when memory is short, in seconds.  It is drawn at random, so
that callers don't return together."""


class Refusal(Enum):
    """Why a request is refused before it is handled."""

    TOO_LARGE = "body-too-large"
    """Its body is over the limit."""

    MEMORY_SHORT = "memory-short"
    """There is no memory for it now."""


@dataclass(slots=True, kw_only=True, frozen=True)
class RefusalAnswer:
    """Answer to a request that is refused before it is handled.

    Parameters
    ----------
    status : int
        HTTP status.
    body : bytes
        JSON document.
    headers : dict of str
        Header fields beside those of the body.
    """

    status: int
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)


def draw_retry_seconds() -> float:
    """Return when a caller may come back that found no memory, in seconds."""
    return uniform(MIN_RETRY_SECONDS, MAX_RETRY_SECONDS)


def refuse_as_json(refusal: Refusal) -> RefusalAnswer:
    """Return the answer of listeners that are not for callers."""
    body = json.dumps({"error": {"code": refusal.value}}).encode()
    if refusal is Refusal.TOO_LARGE:
        return RefusalAnswer(status=413, body=body)
    retry_after = f"{draw_retry_seconds():.3f}"
    return RefusalAnswer(status=503, body=body, headers={"Retry-After": retry_after})


@dataclass(slots=True, kw_only=True, frozen=True)
class BodyPolicy:
    """How a listener limits its requests.

    Parameters
    ----------
    max_bytes : int
        Largest body.
    copies : int
        Number of times that a body is in memory while its request is handled.
    refuses_heads : bool
        Whether a request without a body is refused if there is no memory for it.  A
        health check must be answered at all times.
    phase : Phase
        What a connection waits for while its request is handled.
    refuse : callable
        Returns the answer to a request that is refused.
    """

    max_bytes: int
    copies: int = 1
    refuses_heads: bool = False
    phase: Phase = Phase.ANSWER
    refuse: Callable[[Refusal], RefusalAnswer] = refuse_as_json


class BodyLimiter(HTTPMessageDelegate):
    """Passes a request to its delegate once it is complete and within the limits.

    Parameters
    ----------
    delegate : HTTPMessageDelegate
        Handles the request.
    connection : HTTP1Connection
        Connection of the request.
    policy : BodyPolicy
        Limits of the listener.

    Attributes
    ----------
    reservation : BodyReservation
        Memory of the request while it is received.
    refused : RefusedBody or None
        What follows a refusal.
    has_ended : bool
        Whether the complete request was received.
    """

    def __init__(
        self,
        *,
        delegate: HTTPMessageDelegate,
        connection: HTTP1Connection,
        policy: BodyPolicy,
    ):
        self.delegate = delegate
        self.connection = connection
        self.policy = policy
        self.stream: MeteredStream = connection.stream
        self.stream.reader = self
        self.holder = self.stream.holder
        self.holder.end_run()
        if self.holder.phase is not Phase.HEAD:
            self.holder.enter(Phase.IDLE)
        self.body = BodyBuffer()
        self.reservation = BodyReservation(stream=self.stream, copies=policy.copies)
        self.refused: RefusedBody | None = None
        self.has_ended = False

    def headers_received(self, start_line: RequestStartLine, headers: HTTPHeaders):
        """Admit or refuse the request; the HTTP library calls this."""
        self.stream.settle()
        self.connection.set_max_body_size(UNLIMITED_BYTES)
        length = announced_length(headers)
        has_body = length > 0 or is_chunked(headers)
        refusal = None
        if length > self.policy.max_bytes:
            refusal = Refusal.TOO_LARGE
        elif not has_body and not self.policy.refuses_heads:
            self.holder.charge(FIELD_BYTES * len(headers))
        elif not self.reservation.begin(headers):
            refusal = Refusal.MEMORY_SHORT
        if refusal is not None:
            keep_framing(headers)
            self._refuse(refusal)
            return None
        self.body.expect(length)
        if has_body:
            self.holder.enter(Phase.BODY)
        return self.delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes):
        """Add a part of the body; the HTTP library calls this."""
        self.stream.settle()
        if self.refused is not None:
            return self.refused.discard(chunk)
        filled = self.body.filled + len(chunk)
        if filled > self.policy.max_bytes:
            self._refuse_started(Refusal.TOO_LARGE)
        elif not self.reservation.extend(filled):
            self._refuse_started(Refusal.MEMORY_SHORT)
        else:
            self.body.add(chunk)
        return None

    def finish(self) -> None:
        """Pass the complete request on; the HTTP library calls this."""
        self.has_ended = True
        if self.refused is not None:
            return
        self.reservation.end()
        self.holder.enter(self.policy.phase)
        body = self.body.take()
        if body:
            self.delegate.data_received(bytes(body))
        self.delegate.finish()

    def on_connection_close(self) -> None:
        """Drop the request; the HTTP library calls this."""
        self.body.drop()
        if self.refused is None:
            self.delegate.on_connection_close()

    def drop(self) -> None:
        """Refuse and free an incomplete body; its connection is about to be closed."""
        if self.refused is None:
            self.delegate.on_connection_close()
            self._write_refusal(Refusal.MEMORY_SHORT)

    def _refuse_started(self, refusal: Refusal) -> None:
        self.delegate.on_connection_close()
        self._refuse(refusal)

    def _refuse(self, refusal: Refusal) -> None:
        """Write a refusal, and close the connection when it may have been read."""
        self.holder.release()
        self.holder.enter(Phase.REFUSED)
        self._write_refusal(refusal).add_done_callback(self._end_refused)

    def _write_refusal(self, refusal: Refusal) -> asyncio.Future:
        self.body.drop()
        self.refused = RefusedBody(stream=self.stream, max_bytes=self.policy.max_bytes)
        answer = self.policy.refuse(refusal)
        headers = HTTPHeaders({"Content-Type": "application/json", **answer.headers})
        headers["Content-Length"] = str(len(answer.body))
        headers["Connection"] = "close"
        line = ResponseStartLine("HTTP/1.1", answer.status, responses[answer.status])
        return self.connection.write_headers(line, headers, answer.body)

    def _end_refused(self, written: asyncio.Future) -> None:
        if written.exception() is None:
            self.stream.close_slowly(is_read=lambda: self.has_ended)
