"""Collection of request bodies, and the disposal of those that are refused."""

import asyncio

from tornado.httputil import HTTPHeaders

from ..buffers import (
    LARGE_BUFFER_BYTES,
    USUAL_BUFFER_BYTES,
    limit_receive_buffer,
    unread_capacity,
)
from ..intake import FIELD_BYTES, LARGE_BYTES
from .streams import MeteredStream

__all__ = [
    "BodyBuffer",
    "BodyReservation",
    "RefusedBody",
    "announced_length",
    "is_chunked",
    "keep_framing",
]

FRAMING = ("Content-Length", "Transfer-Encoding")
"""Header fields that the library needs to read the body of a refused request."""

CHUNKED_BYTES = 48 * 1024
"""Memory in which the library collects the chunks of one body, three times the size of
a read; it is free when the body is complete."""


def announced_length(headers: HTTPHeaders) -> int:
    """Return the length of a body in bytes; 0 if no valid one is announced."""
    value = headers.get("Content-Length", "0")
    return int(value) if value.isascii() and value.isdigit() else 0


def is_chunked(headers: HTTPHeaders) -> bool:
    """Return whether a body arrives in chunks, without an announced length."""
    return "Transfer-Encoding" in headers


def keep_framing(headers: HTTPHeaders) -> None:
    """Remove all fields of a refused request that the library does not need.

    The library keeps the headers until its next step, in which it may parse those of
    all connections: 535 refused requests held 270 MB.  Without ``Expect`` it also
    doesn't ask the caller to send the body.
    """
    framing = [(name, headers[name]) for name in FRAMING if name in headers]
    headers.__init__(framing)


class BodyReservation:
    """Memory of one request while its body is received.

    Beside the body it holds what the library collects of a chunked one, and a larger
    receive buffer for an announced one, which would otherwise arrive at two small
    buffers per round trip.

    Parameters
    ----------
    stream : MeteredStream
        Connection of the request.
    copies : int
        Number of times that the body is in memory while its request is handled.

    Attributes
    ----------
    body_bytes : int
        Bytes of the body for which memory is reserved.
    working_bytes : int
        Bytes that are reserved until the body is complete.
    is_widened : bool
        Whether the connection has a larger receive buffer.
    """

    __slots__ = ("stream", "copies", "body_bytes", "working_bytes", "is_widened")

    def __init__(self, *, stream: MeteredStream, copies: int = 1):
        self.stream = stream
        self.copies = copies
        self.body_bytes = 0
        self.working_bytes = 0
        self.is_widened = False

    def begin(self, headers: HTTPHeaders) -> bool:
        """Reserve memory for a request; return whether there is room for it."""
        length = announced_length(headers)
        buffer = min(length - self.stream.buffered, LARGE_BUFFER_BYTES)
        self.is_widened = buffer > USUAL_BUFFER_BYTES
        if self.is_widened:
            self.working_bytes = unread_capacity(buffer)
        elif is_chunked(headers):
            self.working_bytes = CHUNKED_BYTES
        held = FIELD_BYTES * len(headers) + self.working_bytes
        if not self.stream.holder.reserve(length * self.copies + held):
            return False
        self.body_bytes = length
        if self.is_widened:
            limit_receive_buffer(self.stream.socket, buffer)
        return True

    def extend(self, size: int) -> bool:
        """Reserve memory for a body of some size, if it was not announced."""
        missing = size - self.body_bytes
        if missing > 0:
            if not self.stream.holder.reserve(missing * self.copies):
                return False
            self.body_bytes = size
        return True

    def end(self) -> None:
        """Give back what is not needed once the body is complete."""
        holder = self.stream.holder
        holder.charge(-self.working_bytes)
        if self.is_widened and not self.stream.closed():
            size = holder.account.receive_buffer()
            limit_receive_buffer(self.stream.socket, size)


class BodyBuffer:
    """Collects the body of one request.

    Attributes
    ----------
    data : bytearray
        Body received so far; of a large one with a length, that length from the start,
        so that it is never copied.
    filled : int
        Bytes of the body received so far.
    """

    __slots__ = ("data", "filled")

    def __init__(self):
        self.data = bytearray()
        self.filled = 0

    def expect(self, length: int) -> None:
        """Allocate the memory of a large body.

        Parameters
        ----------
        length : int
            Bytes that were announced and that have been reserved.
        """
        if length > LARGE_BYTES:
            self.data = bytearray(length)

    def add(self, chunk: bytes) -> None:
        """Add a part of the body."""
        end = self.filled + len(chunk)
        if end > len(self.data):
            self.data += chunk
        else:
            self.data[self.filled : end] = chunk
        self.filled = end

    def take(self) -> bytes | bytearray:
        """Return the body and forget it; a large one is a bytearray."""
        data, self.data = self.data, bytearray()
        return data if self.filled > LARGE_BYTES else bytes(data)

    def drop(self) -> None:
        """Forget what was received."""
        self.data = bytearray()


class RefusedBody:
    """Discards what follows on the connection of a refused request.

    A connection that is closed with unread bytes is reset, and the caller may lose the
    refusal.  A body of legal size is therefore read to its end.  Of a longer one no
    more is read, so that it costs no processor time; its caller has the refusal unless
    it does not read at all.

    Parameters
    ----------
    stream : MeteredStream
        Connection of the request.
    max_bytes : int
        Bytes that are read at most.
    """

    __slots__ = ("stream", "left")

    def __init__(self, *, stream: MeteredStream, max_bytes: int):
        self.stream = stream
        self.left = max_bytes

    def discard(self, chunk: bytes) -> asyncio.Future | None:
        """Discard a part; wait for the future, if any, before the next is read."""
        self.left -= len(chunk)
        return None if self.left >= 0 else self.stream.closing()
