"""Putting one attempt's answer together from its chunks."""

import zlib
from enum import StrEnum

from ..contracts import Chunk, End, Outcome

__all__ = ["Addition", "Assembly"]


class Addition(StrEnum):
    """What became of a message that was added to an answer."""

    NEXT = "next"
    DUPLICATE = "duplicate"
    GAP = "gap"
    KNOWN_GAP = "known-gap"
    WHOLE = "whole"
    WRONG = "wrong"
    OTHER_ATTEMPT = "other-attempt"


class Assembly:
    """One attempt's answer so far; keeps no payloads.

    Parameters
    ----------
    attempt_id : str
        The attempt; messages of others are not taken.
    start : int
        First sequence number that is wanted.

    Attributes
    ----------
    next_sequence : int
        Sequence number of the chunk that is wanted next.
    checksum : int
        CRC-32 of the payloads taken so far.
    asked_from : int or None
        Where the answer was last asked for again.
    """

    __slots__ = ("attempt_id", "start", "next_sequence", "checksum", "asked_from")

    def __init__(self, *, attempt_id: str, start: int = 0):
        self.attempt_id = attempt_id
        self.start = start
        self.next_sequence = start
        self.checksum = 0
        self.asked_from: int | None = None

    def add(self, chunk: Chunk) -> Addition:
        """Take a chunk if it is the next one.

        Returns
        -------
        Addition
            ``NEXT`` if its payload is to be delivered now; ``GAP`` if the
            answer must be asked for again from `next_sequence`, and
            ``KNOWN_GAP`` if it already was.  A chunk behind a gap is dropped.
        """
        if chunk.attempt_id != self.attempt_id:
            return Addition.OTHER_ATTEMPT
        if chunk.sequence < self.next_sequence:
            return Addition.DUPLICATE
        if chunk.sequence > self.next_sequence:
            return self._gap()
        self.next_sequence += 1
        self.checksum = zlib.crc32(chunk.payload, self.checksum)
        return Addition.NEXT

    def end(self, end: End) -> Addition:
        """Check the whole answer against its count and checksum.

        Returns
        -------
        Addition
            ``WHOLE``, ``WRONG``, or a gap.  The checksum covers the answer from
            its start, so it is not checked for an answer taken from the middle.
            An answer taken from beyond its end is ``WRONG``, never whole.
        """
        if end.attempt_id != self.attempt_id:
            return Addition.OTHER_ATTEMPT
        if end.count > self.next_sequence:
            return self._gap()
        is_checked = self.start == 0
        is_beyond = end.count < self.next_sequence
        if is_beyond and (is_checked or end.outcome == Outcome.DONE):
            return Addition.WRONG
        if is_checked and end.checksum != self.checksum:
            return Addition.WRONG
        return Addition.WHOLE

    def _gap(self) -> Addition:
        if self.asked_from == self.next_sequence:
            return Addition.KNOWN_GAP
        self.asked_from = self.next_sequence
        return Addition.GAP
