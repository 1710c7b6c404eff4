"""Accepted connections whose received bytes are charged to the account."""

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import Callable

from tornado.httputil import HTTPMessageDelegate
from tornado.iostream import IOStream

from ..intake import Holder

__all__ = ["LINGER_SECONDS", "MeteredStream", "ParseQueue"]

MANY_FIELDS = 200
"""Header fields above which a block waits for its turn; ordinary ones have a dozen."""

FIELD_PAUSE_SECONDS = 20e-6
"""Pause for each field of such a block, about four times what its parsing takes."""

LINGER_SECONDS = 5.0
"""Longest time for which the connection of a refused request stays open.  Under
pressure it is closed earlier."""


class ParseQueue:
    """Spreads the parsing of header blocks with very many fields over time.

    The library parses a block in one step.  2,600 fields take 12 ms on a whole core,
    and 600 such blocks at once would stop the process for seconds.  One block is parsed
    at a time, and ordinary requests and peers are served in between.
    """

    __slots__ = ("waiting", "is_paused")

    def __init__(self):
        self.waiting: deque[tuple[MeteredStream, int]] = deque()
        self.is_paused = False

    def add(self, stream: "MeteredStream", lines: int) -> None:
        """Let a stream go on when it is its turn."""
        self.waiting.append((stream, lines))
        if not self.is_paused:
            self._go_on()

    def _go_on(self) -> None:
        self.is_paused = False
        while self.waiting and not self.is_paused:
            stream, lines = self.waiting.popleft()
            if not stream.closed():
                self.is_paused = True
                pause = lines * FIELD_PAUSE_SECONDS
                asyncio.get_running_loop().call_later(pause, self._go_on)
                stream.pass_block()


class MeteredStream(IOStream):
    """Connection whose received bytes are charged until they are used.

    Attributes
    ----------
    holder : Holder or None
        Account of the connection.
    reader : HTTPMessageDelegate or None
        Reader of the request that is awaited or in progress, if its owner sets it.
    parse_queue : ParseQueue
        Queue for header blocks with very many fields.
    delayed_bytes : int
        Length of such a block while it waits for its turn; else 0.
    closed_future : asyncio.Future or None
        Done once the connection is closed, if something waits for that.
    """

    holder: Holder | None = None
    parse_queue: ParseQueue
    delayed_bytes = 0
    reader: HTTPMessageDelegate | None = None
    closed_future: asyncio.Future | None = None

    def closing(self) -> asyncio.Future:
        """Return a future that is done once the connection is closed."""
        if self.closed_future is None:
            self.closed_future = asyncio.get_running_loop().create_future()
            if self.closed():
                self.closed_future.set_result(None)
        return self.closed_future

    def close(self, exc_info=False) -> None:
        """Close the connection."""
        super().close(exc_info)
        if self.closed_future is not None and not self.closed_future.done():
            self.closed_future.set_result(None)

    def close_slowly(self, *, is_read: Callable[[], bool]) -> None:
        """End the answers, and close the connection once the caller may have read them.

        A connection that is closed with unread bytes is reset, and the caller may lose
        the last answer.

        Parameters
        ----------
        is_read : callable
            Returns whether the complete request was received.
        """
        if self.closed():
            return
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)
        delay = 0 if is_read() else LINGER_SECONDS
        asyncio.get_running_loop().call_later(delay, self.close)

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket, and charge what was read."""
        count = super().read_from_fd(buf)
        if count and self.holder is not None:
            self.holder.receive(count)
        return count

    def _read_from_buffer(self, pos: int) -> None:
        # Tornado calls this when a read can be completed with `pos` bytes; there is no
        # public place between the end of a header block and its parsing.  A future of
        # our own costs each request a step of the event loop, 0.2 ms.
        if self.delayed_bytes:
            return
        if pos > MANY_FIELDS and self._read_regex is not None:
            lines = self._read_buffer.count(b"\n", 0, pos)
            if lines > MANY_FIELDS:
                self.delayed_bytes = pos
                self.parse_queue.add(self, lines)
                return
        super()._read_from_buffer(pos)

    def pass_block(self) -> None:
        """Give a delayed header block to the library."""
        pos, self.delayed_bytes = self.delayed_bytes, 0
        super()._read_from_buffer(pos)

    @property
    def buffered(self) -> int:
        """Received bytes that were not used yet."""
        return self._read_buffer_size

    def settle(self) -> None:
        """Charge only the received bytes that are still buffered."""
        if self.holder is not None:
            self.holder.set_buffered(self.buffered)
