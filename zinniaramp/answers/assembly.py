"""Assembly of an attempt's answer from its chunks."""

import zlib
from enum import StrEnum

from ..contracts import Chunk, End, Outcome

__all__ = ["Assembly", "AssemblyResult"]


class AssemblyResult(StrEnum):
    """Result of adding a message to an `Assembly`."""

    NEXT = "next"
    DUPLICATE = "duplicate"
    GAP = "gap"
    KNOWN_GAP = "known-gap"
    WHOLE = "whole"
    WRONG = "wrong"
    OTHER_ATTEMPT = "other-attempt"


class Assembly:
    """Tracks the order, gaps and checksum of an attempt's answer.

    It stores no payloads.

    Parameters
    ----------
    attempt_id : str
        Id of the attempt; messages of other attempts are ignored.
    start : int
        Sequence number of the first expected chunk.

    Attributes
    ----------
    next_sequence : int
        Sequence number of the next expected chunk.
    checksum : int
        CRC-32 of the payloads added so far.
    resend_requested_from : int or None
        Sequence number from which a resend was last requested.
    """

    __slots__ = (
        "attempt_id",
        "start",
        "next_sequence",
        "checksum",
        "resend_requested_from",
    )

    def __init__(self, *, attempt_id: str, start: int = 0):
        self.attempt_id = attempt_id
        self.start = start
        self.next_sequence = start
        self.checksum = 0
        self.resend_requested_from: int | None = None

    def add(self, chunk: Chunk) -> AssemblyResult:
        """Add a chunk if it is the next one in order.

        Returns
        -------
        AssemblyResult
            ``NEXT`` if the payload can be delivered now; ``GAP`` if a resend from
            `next_sequence` must be requested, and ``KNOWN_GAP`` if it already
            was.  A chunk after a gap is dropped.
        """
        if chunk.attempt_id != self.attempt_id:
            return AssemblyResult.OTHER_ATTEMPT
        if chunk.sequence < self.next_sequence:
            return AssemblyResult.DUPLICATE
        if chunk.sequence > self.next_sequence:
            return self._record_gap()
        self.next_sequence += 1
        self.checksum = zlib.crc32(chunk.payload, self.checksum)
        return AssemblyResult.NEXT

    def end(self, end: End) -> AssemblyResult:
        """Check the complete answer against its chunk count and checksum.

        Returns
        -------
        AssemblyResult
            ``WHOLE``, ``WRONG``, or a gap.  The checksum covers the answer from
            its start, so it is not checked if `start` is not 0.  An answer
            resumed from beyond its end is ``WRONG``, never ``WHOLE``.
        """
        if end.attempt_id != self.attempt_id:
            return AssemblyResult.OTHER_ATTEMPT
        if end.count > self.next_sequence:
            return self._record_gap()
        is_from_start = self.start == 0
        is_beyond_end = end.count < self.next_sequence
        if is_beyond_end and (is_from_start or end.outcome == Outcome.DONE):
            return AssemblyResult.WRONG
        if is_from_start and end.checksum != self.checksum:
            return AssemblyResult.WRONG
        return AssemblyResult.WHOLE

    def _record_gap(self) -> AssemblyResult:
        if self.resend_requested_from == self.next_sequence:
            return AssemblyResult.KNOWN_GAP
        self.resend_requested_from = self.next_sequence
        return AssemblyResult.GAP
