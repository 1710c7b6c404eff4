"""Bitmap of the tickets that were used, for the most recently issued tickets."""

__all__ = ["UsageBits"]

MAX_BYTES = 2 * 1024 * 1024
"""Default limit on the size of the bitmap in bytes; it covers 16.8 million tickets."""

TRIM_BYTES = 64 * 1024
"""Number of bytes, for the oldest tickets, removed when the bitmap is full."""


class UsageBits:
    """Bitmap that records which tickets were used, by number.

    It covers a sliding window of the most recently issued tickets, which are
    numbered from 0.

    Parameters
    ----------
    max_bytes : int
        Limit on the size of the bitmap in bytes.
    """

    __slots__ = ("bits", "first_number", "max_bytes")

    def __init__(self, *, max_bytes: int = MAX_BYTES):
        self.bits = bytearray()
        self.first_number = 0
        self.max_bytes = max_bytes

    def extend_to(self, number: int) -> None:
        """Extend the window to a ticket, removing the oldest tickets if it is full."""
        while (number - self.first_number) // 8 >= len(self.bits):
            if len(self.bits) >= self.max_bytes:
                trimmed = min(TRIM_BYTES, max(1, self.max_bytes // 2))
                del self.bits[:trimmed]
                self.first_number += 8 * trimmed
            self.bits.append(0)

    def mark(self, number: int) -> None:
        """Record that a ticket was used; no effect if it is older than the window."""
        offset = number - self.first_number
        if offset >= 0:
            self.bits[offset // 8] |= 1 << offset % 8

    def is_known_unused(self, number: int) -> bool:
        """Return whether a ticket is in the window and was not used."""
        offset = number - self.first_number
        if not 0 <= offset < 8 * len(self.bits):
            return False
        return not self.bits[offset // 8] >> offset % 8 & 1
