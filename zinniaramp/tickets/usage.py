"""One bit for each ticket that was ever issued: used or not."""

__all__ = ["UsageBits"]

MAX_BYTES = 2 * 1024 * 1024
"""Size of the window in bytes; 16.8 million tickets."""

TRIM_BYTES = 64 * 1024
"""Bytes by which a full window moves on."""


class UsageBits:
    """Which of the newest tickets have been used, by their numbers from 0.

    Parameters
    ----------
    max_bytes : int
        Size of the window.
    """

    __slots__ = ("bits", "first", "max_bytes")

    def __init__(self, *, max_bytes: int = MAX_BYTES):
        self.bits = bytearray()
        self.first = 0
        self.max_bytes = max_bytes

    def extend_to(self, number: int) -> None:
        """Make room for a ticket's bit, forgetting the oldest if need be."""
        while (number - self.first) // 8 >= len(self.bits):
            if len(self.bits) >= self.max_bytes:
                trimmed = min(TRIM_BYTES, max(1, self.max_bytes // 2))
                del self.bits[:trimmed]
                self.first += 8 * trimmed
            self.bits.append(0)

    def mark(self, number: int) -> None:
        """Note that a ticket was used; one before the window is unknown anyway."""
        offset = number - self.first
        if offset >= 0:
            self.bits[offset // 8] |= 1 << offset % 8

    def is_known_unused(self, number: int) -> bool:
        """Tell whether a ticket is known not to have been used."""
        offset = number - self.first
        if not 0 <= offset < 8 * len(self.bits):
            return False
        return not self.bits[offset // 8] >> offset % 8 & 1
