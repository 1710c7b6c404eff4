"""Progress of answers that take long on a narrow link."""

from collections.abc import Callable
from datetime import datetime

from ..clock import Clock

__all__ = ["LARGE_ANSWER_BYTES", "Transfer"]

LARGE_ANSWER_BYTES = 64 * 1024
"""Size from which an answer is large: 0.1 s on a link of 5 Mbit/s."""


class Transfer:
    """Progress of the answer to the latest call of a reader.

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
        Time at which the latest bytes of the answer arrived; None before the first.
    on_large : list of callable
        Called when the headers of a large answer have arrived.
    """

    __slots__ = ("clock", "size", "received", "progressed_at", "on_large")

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.size: int | None = None
        self.received = 0
        self.progressed_at: datetime | None = None
        self.on_large: list[Callable[[], None]] = []

    def start(self) -> None:
        """Forget the answer to the call before."""
        self.size = None
        self.received = 0
        self.progressed_at = None

    def record_header(self, line: str) -> None:
        """Record a line of the answer's header block."""
        self.progressed_at = self.clock()
        name, _, value = line.partition(":")
        value = value.strip()
        if name.lower() == "content-length" and value.isascii() and value.isdigit():
            self.size = int(value)
            if self.is_large:
                for listener in self.on_large:
                    listener()

    def record_bytes(self, chunk: bytes) -> None:
        """Record bytes of the answer's body."""
        self.progressed_at = self.clock()
        self.received += len(chunk)

    @property
    def is_large(self) -> bool:
        """Whether the answer is known to be large."""
        return self.size is not None and self.size >= LARGE_ANSWER_BYTES
