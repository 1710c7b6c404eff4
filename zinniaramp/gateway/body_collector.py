"""Collection of a complete answer, for which memory is charged before it is read."""

from collections.abc import Awaitable, Callable

from ..listeners import BodyBuffer

__all__ = ["BodyCollector"]


class BodyCollector:
    """Collects the body of an answer in one buffer.

    Parameters
    ----------
    hold : callable
        Waits until there is room for some more bytes, and charges them.

    Attributes
    ----------
    body : BodyBuffer
        Body received so far.
    held : int
        Bytes that are charged for it.
    """

    __slots__ = ("hold", "body", "held")

    def __init__(self, *, hold: Callable[[int], Awaitable[None]]):
        self.hold = hold
        self.body = BodyBuffer()
        self.held = 0

    async def expect(self, length: int) -> None:
        """Charge an announced length in bytes, which may be 0, as a whole."""
        if length:
            await self.hold(length)
            self.held = length
            self.body.expect(length)

    async def add(self, data: bytes) -> None:
        """Add a part of the body, and charge what was not announced."""
        size = self.body.filled + len(data)
        if size > self.held:
            await self.hold(size - self.held)
            self.held = size
        self.body.add(data)
