"""Collection of request bodies, and the disposal of those that are refused."""

import asyncio

from tornado.httputil import HTTPHeaders

from ..intake import LARGE_BYTES
from .streams import MeteredStream

__all__ = [
    "CHUNKED_BYTES",
    "BodyBuffer",
    "RefusedBody",
    "announced_length",
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


def keep_framing(headers: HTTPHeaders) -> None:
    """Remove all fields of a refused request that the library does not need.

    The library keeps the headers until its next step, in which it may parse those of
    all connections: 535 refused requests held 270 MB.  Without ``Expect`` it also
    doesn't ask the caller to send the body.
    """
    framing = [(name, headers[name]) for name in FRAMING if name in headers]
    headers.__init__(framing)


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
