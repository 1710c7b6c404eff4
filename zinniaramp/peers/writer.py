"""Writing of answers to a peer, beside the reading of its messages."""

import asyncio
from collections import deque
from datetime import timedelta

from tornado.iostream import IOStream, StreamClosedError

from .codec import MessageError

__all__ = ["ReplyWriter"]

PIECE_BYTES = 64 * 1024
"""Bytes that are written at once."""

PIECE_TIMEOUT = timedelta(seconds=3)
"""Time within which a peer has to read a piece: three heartbeat intervals."""

MAX_QUEUED_BYTES = 64 * 1024
"""Limit on the bytes of other answers that wait behind a copy of the items."""


class ReplyWriter:
    """Writes the answers on one connection, one after the other.

    A large one takes as long as the peer's link needs for it.

    Parameters
    ----------
    stream : IOStream
        Connection that the peer opened; it is closed if the peer doesn't read.

    Attributes
    ----------
    items : bytes
        Copy of the store's items that waits or is being written; empty if there is
        none.
    replies : deque of bytes
        Answers that wait.
    has_data : asyncio.Event
        Set while answers wait.
    """

    __slots__ = ("stream", "items", "replies", "has_data")

    def __init__(self, *, stream: IOStream):
        self.stream = stream
        self.items = b""
        self.replies: deque[bytes] = deque()
        self.has_data = asyncio.Event()

    def send(self, data: bytes) -> None:
        """Queue an answer.

        Raises
        ------
        MessageError
            Too many answers wait; the peer requests them and doesn't read.
        """
        if sum(map(len, self.replies)) + len(data) > MAX_QUEUED_BYTES:
            raise MessageError("the peer does not read its answers")
        self.replies.append(data)
        self.has_data.set()

    def send_items(self, data: bytes) -> None:
        """Queue a copy of the store's items."""
        self.items = data
        self.has_data.set()

    async def run(self) -> None:
        """Write the answers until the connection closes or the peer doesn't read."""
        try:
            while True:
                await self.has_data.wait()
                while self.replies:
                    await self._write(self.replies.popleft())
                self.has_data.clear()
                await self._write(self.items)
                self.items = b""
                if self.replies:
                    self.has_data.set()
        except (StreamClosedError, TimeoutError):
            self.stream.close()

    async def _write(self, data: bytes) -> None:
        for start in range(0, len(data), PIECE_BYTES):
            async with asyncio.timeout(PIECE_TIMEOUT.total_seconds()):
                await self.stream.write(data[start : start + PIECE_BYTES])
