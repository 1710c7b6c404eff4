"""Progress of answers that take long on a narrow link."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import datetime, timedelta

from ..clock import Clock

__all__ = ["LARGE_ANSWER_BYTES", "STALL_TIMEOUT", "Transfer"]

LARGE_ANSWER_BYTES = 64 * 1024
"""Size from which an answer is large: 0.1 s on a link of 5 Mbit/s."""

STALL_TIMEOUT = timedelta(seconds=1.5)
"""Time without further bytes after which an answer is given up.  On the link of a
machine that counts as reachable, packets wait up to 500 ms each way."""


class Transfer:
    """Progress of the answer to the latest call of a reader.

    An answer arrives as long as its bytes do, however many there are.  The receiver may
    hold it: the sender stops once the buffers are full.

    Parameters
    ----------
    clock : Clock
        The process's clock.

    Attributes
    ----------
    size : int or None
        Bytes in the answer's body, by its headers; None before these, or if they don't
        tell it.
    received : int
        Bytes of the body that have arrived.
    progressed_at : datetime or None
        Time at which the latest bytes of the answer arrived; None before the first, and
        after the end of the call.
    begun : asyncio.Event
        Set once an answer has begun to arrive.
    released : asyncio.Event
        Cleared while the answer is held.
    on_large : list of callable
        Called when the headers of a large answer have arrived.
    """

    __slots__ = (
        "clock",
        "size",
        "received",
        "progressed_at",
        "begun",
        "released",
        "on_large",
    )

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.size: int | None = None
        self.received = 0
        self.progressed_at: datetime | None = None
        self.begun = asyncio.Event()
        self.released = asyncio.Event()
        self.released.set()
        self.on_large: list[Callable[[], None]] = []

    def start(self) -> None:
        """Forget the answer to the call before."""
        self.size = None
        self.received = 0
        self.begun.clear()
        self.finish()

    def finish(self) -> None:
        """Record that the call has ended."""
        self.progressed_at = None
        self.released.set()

    def record_header(self, line: str) -> None:
        """Record a line of the answer's header block."""
        self.progressed_at = self.clock()
        self.begun.set()
        name, _, value = line.partition(":")
        value = value.strip()
        if name.lower() == "content-length" and value.isascii() and value.isdigit():
            self.size = int(value)
            if self.size >= LARGE_ANSWER_BYTES:
                for listener in self.on_large:
                    listener()

    def record_bytes(self, chunk: bytes) -> Awaitable | None:
        """Record bytes of the answer's body.

        Returns
        -------
        Awaitable or None
            What to wait for before more is read, if the answer is held.
        """
        self.progressed_at = self.clock()
        self.received += len(chunk)
        return self.released.wait() if self.is_held else None

    def hold(self) -> None:
        """Read no more of the answer until it is released."""
        self.released.clear()

    def release(self) -> None:
        """Go on to read the answer."""
        if self.is_held:
            self.progressed_at = self.clock()
            self.released.set()

    @property
    def is_held(self) -> bool:
        """Whether the answer is held."""
        return not self.released.is_set()

    @property
    def is_arriving(self) -> bool:
        """Whether an answer has begun to arrive and its call has not ended."""
        return self.progressed_at is not None

    def time_left(self) -> timedelta:
        """Return the time until the answer is given up if no more bytes arrive.

        It is 0 if the answer has not begun.
        """
        if self.progressed_at is None:
            return timedelta()
        if self.is_held:
            return STALL_TIMEOUT
        return self.progressed_at + STALL_TIMEOUT - self.clock()
