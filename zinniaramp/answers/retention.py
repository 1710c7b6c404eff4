"""In-memory retention of answers, so that they survive the loss of a stream."""

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from zlib import crc32

from ..clock import Clock
from ..contracts import Head, Outcome

__all__ = ["AnswerStore", "Ending", "Piece", "RetainedAnswer"]


@dataclass(slots=True, kw_only=True, frozen=True)
class Piece:
    """The content of one chunk.

    Parameters
    ----------
    payload : bytes
        Events, or a part of the body.
    tokens : int
        Number of tokens in the payload.
    """

    payload: bytes
    tokens: int


@dataclass(slots=True, kw_only=True, frozen=True)
class Ending:
    """How an attempt ended.

    Parameters
    ----------
    outcome : Outcome
        Outcome of the attempt.
    detail : str
        Why the outcome is not ``done``; empty otherwise.
    ended_at : datetime
        Time at which the attempt ended.
    retry_after : timedelta
        Retry delay, if the attempt was shed or expired while queued.
    """

    outcome: Outcome
    detail: str
    ended_at: datetime
    retry_after: timedelta = timedelta(0)


@dataclass(slots=True, kw_only=True, eq=False)
class RetainedAnswer:
    """The answer of an attempt, as received from the engine so far.

    Parameters
    ----------
    attempt_id : str
        Id of the attempt.

    Attributes
    ----------
    head : Head or None
        Status and headers, once they have arrived.
    pieces : list of Piece
        The content so far, in order.
    size : int
        Size of the retained content, in bytes.
    tokens : int
        Number of tokens received, including those of discarded content.
    checksum : int
        CRC-32 of the payloads in order.
    ending : Ending or None
        How the attempt ended, once it has.
    is_discarded : bool
        Whether the content was discarded to limit memory use.
    """

    attempt_id: str
    head: Head | None = None
    pieces: list[Piece] = field(default_factory=list)
    size: int = 0
    tokens: int = 0
    checksum: int = 0
    ending: Ending | None = None
    is_discarded: bool = False

    def discard(self) -> None:
        """Discard the content; the outcome of the attempt is kept."""
        self.pieces.clear()
        self.size = 0
        self.is_discarded = True


class AnswerStore:
    """The answers that one endpoint process retains.

    Parameters
    ----------
    memory_limit : int
        Maximum size of retained content, in bytes.
    retention : timedelta
        Time for which a finished answer is retained.
    clock : Clock
        The process's clock.

    Notes
    -----
    Finished answers are discarded first, oldest first, then unfinished answers,
    largest first.  A caller that does not read its answer therefore uses at most
    the memory limit of the store and never displaces a smaller unfinished answer of
    another caller.
    """

    def __init__(self, *, memory_limit: int, retention: timedelta, clock: Clock):
        self.memory_limit = memory_limit
        self.retention = retention
        self.clock = clock
        self.size = 0
        self.unfinished: dict[str, RetainedAnswer] = {}
        self.finished: dict[str, RetainedAnswer] = {}

    def open(self, attempt_id: str) -> RetainedAnswer:
        """Create an empty answer and add it to the unfinished ones."""
        answer = RetainedAnswer(attempt_id=attempt_id)
        self.unfinished[attempt_id] = answer
        return answer

    def append(self, answer: RetainedAnswer, piece: Piece) -> None:
        """Append a piece to an unfinished answer; drop it if discarded."""
        answer.tokens += piece.tokens
        if answer.is_discarded:
            return
        answer.pieces.append(piece)
        answer.checksum = crc32(piece.payload, answer.checksum)
        answer.size += len(piece.payload)
        self.size += len(piece.payload)
        self.enforce_memory_limit()

    def finish(
        self,
        answer: RetainedAnswer,
        outcome: Outcome,
        detail: str,
        *,
        retry_after: timedelta = timedelta(0),
    ) -> None:
        """Record how an answer ended and start its retention time."""
        answer.ending = Ending(
            outcome=outcome,
            detail=detail,
            ended_at=self.clock(),
            retry_after=retry_after,
        )
        self.unfinished.pop(answer.attempt_id, None)
        self.finished[answer.attempt_id] = answer

    def enforce_memory_limit(self) -> None:
        """Discard content until the retained size is within the memory limit."""
        if self.size <= self.memory_limit:
            return
        running = sorted(self.unfinished.values(), key=lambda answer: -answer.size)
        for answer in [*self.finished.values(), *running]:
            if self.size <= self.memory_limit:
                return
            self.size -= answer.size
            answer.discard()

    def remove_expired(self) -> list[str]:
        """Remove the answers whose retention time is over; return their attempt ids."""
        cutoff = self.clock() - self.retention
        expired = []
        for attempt_id, answer in self.finished.items():
            if answer.ending.ended_at > cutoff:
                break
            expired.append(attempt_id)
        for attempt_id in expired:
            self.size -= self.finished.pop(attempt_id).size
        return expired
