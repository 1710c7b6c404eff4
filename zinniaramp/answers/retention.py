"""Answers retained in memory, so that a lost stream does not lose an answer."""

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
        Events or a part of the body.
    tokens : int
        Tokens in the payload.
    """

    payload: bytes
    tokens: int


@dataclass(slots=True, kw_only=True, frozen=True)
class Ending:
    """How an attempt ended.

    Parameters
    ----------
    outcome : Outcome
        What became of it.
    detail : str
        Why the outcome is not ``done``; empty otherwise.
    at : datetime
        When it ended.
    retry_after : timedelta
        When to come back, if it was shed or expired while it waited.
    """

    outcome: Outcome
    detail: str
    at: datetime
    retry_after: timedelta = timedelta(0)


@dataclass(slots=True, kw_only=True, eq=False)
class RetainedAnswer:
    """The answer of one attempt, as far as the engine has given it.

    Parameters
    ----------
    attempt_id : str
        The attempt.

    Attributes
    ----------
    head : Head or None
        Status and headers, once they have arrived.
    pieces : list of Piece
        The content, in order.
    size : int
        Bytes of the content.
    tokens : int
        Tokens of the content.
    checksum : int
        CRC-32 of the payloads in order.
    ending : Ending or None
        How the attempt ended, once it has.
    is_discarded : bool
        Whether the content was given up to bound memory.
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
        """Give up the content; how the attempt ended stays known."""
        self.pieces.clear()
        self.size = 0
        self.is_discarded = True


class AnswerStore:
    """The answers that one endpoint process retains.

    Parameters
    ----------
    memory : int
        Bytes of content retained at most.
    retention : timedelta
        How long a finished answer is retained.
    clock : Clock
        The process's clock.

    Notes
    -----
    Finished answers are given up first, the oldest before the others, and after
    them the largest unfinished one.  So one caller that reads nothing costs at
    most the memory of the store and never another caller's unfinished answer
    that is smaller.
    """

    def __init__(self, *, memory: int, retention: timedelta, clock: Clock):
        self.memory = memory
        self.retention = retention
        self.clock = clock
        self.size = 0
        self.unfinished: dict[str, RetainedAnswer] = {}
        self.finished: dict[str, RetainedAnswer] = {}

    def open(self, attempt_id: str) -> RetainedAnswer:
        """Return a new, empty answer."""
        answer = RetainedAnswer(attempt_id=attempt_id)
        self.unfinished[attempt_id] = answer
        return answer

    def append(self, answer: RetainedAnswer, piece: Piece) -> None:
        """Add a piece to an unfinished answer; nothing if it was discarded."""
        answer.tokens += piece.tokens
        if answer.is_discarded:
            return
        answer.pieces.append(piece)
        answer.checksum = crc32(piece.payload, answer.checksum)
        answer.size += len(piece.payload)
        self.size += len(piece.payload)
        self.bound_memory()

    def finish(
        self,
        answer: RetainedAnswer,
        outcome: Outcome,
        detail: str,
        *,
        retry_after: timedelta = timedelta(0),
    ) -> None:
        """Note how an answer ended; its retention time starts."""
        answer.ending = Ending(
            outcome=outcome, detail=detail, at=self.clock(), retry_after=retry_after
        )
        self.unfinished.pop(answer.attempt_id, None)
        self.finished[answer.attempt_id] = answer

    def bound_memory(self) -> None:
        """Discard content until the rest fits the memory."""
        if self.size <= self.memory:
            return
        running = sorted(self.unfinished.values(), key=lambda one: -one.size)
        for answer in [*self.finished.values(), *running]:
            if self.size <= self.memory:
                return
            self.size -= answer.size
            answer.discard()

    def forget_expired(self) -> list[str]:
        """Forget the answers whose retention is over and return their attempts."""
        oldest = self.clock() - self.retention
        expired = []
        for attempt_id, answer in self.finished.items():
            if answer.ending.at > oldest:
                break
            expired.append(attempt_id)
        for attempt_id in expired:
            self.size -= self.finished.pop(attempt_id).size
        return expired
