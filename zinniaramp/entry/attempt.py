"""One attempt at one endpoint: offered or resumed, and followed to its end."""

import asyncio
from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import StrEnum
from typing import Protocol

from ..answers import Addition, Assembly
from ..clock import Clock
from ..contracts import (
    Accepted,
    Cancelled,
    Chunk,
    Credit,
    End,
    Head,
    Offer,
    Outcome,
    RefusalReason,
    Refused,
    Resume,
)
from ..observability import emit
from .events import ANSWER_ASKED_AGAIN
from .metrics import Timeline
from .peers import Peer, PeerLost, StreamReplaced

__all__ = ["CREDIT", "NOT_ACCEPTED", "Attempt", "AttemptKind", "AttemptResult", "Sink"]

CREDIT = 64
"""Chunks that may be on their way to a caller."""

ACCEPT_TIMEOUT = timedelta(seconds=1)
"""Longest wait for an endpoint to accept or refuse."""

MIN_PROGRESS_LIMIT = timedelta(seconds=60)
"""Shortest time without progress after which a started answer is given up."""

NOT_ACCEPTED = "not accepted in time"
"""Reason of attempts that an endpoint neither accepted nor refused."""

NO_PROOF = {RefusalReason.ATTEMPT_UNKNOWN, RefusalReason.ANSWER_DISCARDED}
"""Refusals of `Resume`, which do not prove that the attempt never ran."""


class AttemptKind(StrEnum):
    """How an attempt ended."""

    DONE = "done"
    REFUSED = "refused"
    NOT_STARTED = "not-started"
    FAILED = "failed"
    LOST = "lost"
    TIMED_OUT = "timed-out"


@dataclass(slots=True, kw_only=True, frozen=True)
class AttemptResult:
    """How an attempt ended, and why.

    Parameters
    ----------
    kind : AttemptKind
        How it ended.
    reason : str
        The endpoint's reason or this process's.
    retry_after_s : float
        When a refusing endpoint said to come back, in seconds.
    """

    kind: AttemptKind
    reason: str = ""
    retry_after_s: float = 0

    @property
    def is_confirmed_not_run(self) -> bool:
        """Whether the endpoint has said that the attempt never will run."""
        return self.kind in (AttemptKind.REFUSED, AttemptKind.NOT_STARTED)


class Sink(Protocol):
    """Takes one answer on its way to the caller."""

    def head(self, head: Head) -> None:
        """Take the status and headers of the answer."""

    async def accepted(self) -> None:
        """Note that an endpoint has accepted the attempt."""

    async def write(self, chunks: list[Chunk]) -> None:
        """Take the next chunks; return when there is room for more."""

    def reset(self) -> bool:
        """Forget what was taken; return false if any of it reached the caller."""


class Attempt:
    """One attempt, with the inbox of its messages.

    Parameters
    ----------
    peer : Peer
        The endpoint process.
    attempt_id : str
        Identity of the attempt.
    sink : Sink
        Takes the answer.
    timeline : Timeline
        Notes when tokens came.
    clock : Clock
        The process's clock.
    arrived, deadline : datetime
        Of the request.
    start : int
        First chunk that is wanted.
    """

    def __init__(
        self,
        *,
        peer: Peer,
        attempt_id: str,
        sink: Sink,
        timeline: Timeline,
        clock: Clock,
        arrived: datetime,
        deadline: datetime,
        start: int = 0,
    ):
        self.peer = peer
        self.attempt_id = attempt_id
        self.sink = sink
        self.timeline = timeline
        self.clock = clock
        self.arrived = arrived
        self.deadline = deadline
        self.assembly = Assembly(attempt_id=attempt_id, start=start)
        self.inbox = peer.open_inbox(attempt_id)
        self.credit_limit = start + CREDIT
        self.offered = clock()
        self.is_accepted = False
        self.is_ended = False
        self.timeout: asyncio.Timeout | None = None
        self.progress_limit = max(
            MIN_PROGRESS_LIMIT, timeline.declared.finish
        ).total_seconds()

    async def offer(self, offer: Offer) -> AttemptResult:
        """Offer the attempt and follow it to its end."""
        self.peer.offer(offer)
        return await self.follow()

    async def resume(self, cause: str) -> AttemptResult:
        """Ask for the answer from where it is wanted, and follow it."""
        self.ask_again(cause)
        return await self.follow()

    def cancel(self) -> None:
        """Ask the endpoint to stop the attempt, unless it has ended."""
        if not self.is_ended:
            self.peer.cancel(self.attempt_id)

    def close(self) -> None:
        """Take no more messages."""
        self.peer.close_inbox(self.attempt_id)

    async def follow(self) -> AttemptResult:
        """Take messages until the attempt has ended or its time is over."""
        try:
            async with asyncio.timeout(self.accept_seconds()) as self.timeout:
                while True:
                    result = await self.take_messages()
                    if result is not None:
                        return result
        except TimeoutError:
            reason = "deadline" if self.is_accepted else NOT_ACCEPTED
            return AttemptResult(kind=AttemptKind.TIMED_OUT, reason=reason)

    async def take_messages(self) -> AttemptResult | None:
        """Wait for a message and take all that have come."""
        chunks: list[Chunk] = []
        result = None
        message = await self.inbox.get()
        while True:
            if type(message) is Chunk:
                self.take_chunk(message, chunks)
            else:
                result = await self.take(message)
            if result is not None or self.inbox.empty():
                break
            message = self.inbox.get_nowait()
        if chunks:
            await self.deliver(chunks)
        return result

    def take_chunk(self, chunk: Chunk, chunks: list[Chunk]) -> None:
        """Add a chunk to those to be delivered, if it is the next one."""
        addition = self.assembly.add(chunk)
        if addition is Addition.NEXT:
            chunks.append(chunk)
        elif addition is Addition.GAP:
            self.ask_again("gap")

    async def deliver(self, chunks: list[Chunk]) -> None:
        """Hand chunks to the caller, then allow as many more."""
        now = self.clock()
        if self.timeline.first_s is None:
            self.peer.take_latency((now - self.offered).total_seconds())
        tokens = sum(chunk.tokens for chunk in chunks)
        if tokens:
            self.timeline.add((now - self.arrived).total_seconds(), tokens)
        self.allow(self.progress_limit)
        await self.sink.write(chunks)
        wanted = self.assembly.next_sequence
        if self.credit_limit - wanted <= CREDIT // 2:
            self.credit_limit = wanted + CREDIT
            self.peer.send(Credit(attempt_id=self.attempt_id, limit=self.credit_limit))

    async def take(self, message) -> AttemptResult | None:
        """Take a message that is not a chunk."""
        match message:
            case Accepted():
                await self.accept()
            case Head():
                self.sink.head(message)
                await self.accept()
            case Refused():
                return self.refused(message)
            case End():
                return self.end(message)
            case Cancelled(ran=ran):
                self.is_ended = True
                kind = AttemptKind.FAILED if ran else AttemptKind.NOT_STARTED
                return AttemptResult(kind=kind, reason="cancelled at the endpoint")
            case StreamReplaced():
                self.ask_again("stream replaced")
                if not self.is_accepted:
                    self.allow(self.accept_seconds())
            case PeerLost(reason=reason):
                return AttemptResult(kind=AttemptKind.LOST, reason=reason)
        return None

    async def accept(self) -> None:
        """Wait from now on until the request's deadline."""
        if not self.is_accepted:
            self.is_accepted = True
            self.allow(self.remaining_seconds())
            await self.sink.accepted()

    def refused(self, message: Refused) -> AttemptResult:
        """Return how a refusal ends the attempt."""
        is_proof = message.reason not in NO_PROOF
        self.is_ended = is_proof
        return AttemptResult(
            kind=AttemptKind.REFUSED if is_proof else AttemptKind.LOST,
            reason=message.reason,
            retry_after_s=message.retry_after_s,
        )

    def end(self, message: End) -> AttemptResult | None:
        """Return how the attempt ended, or None if part of it is missing."""
        match self.assembly.end(message):
            case Addition.GAP:
                self.ask_again("gap at the end")
                return None
            case Addition.WRONG:
                self.is_ended = True
                return AttemptResult(
                    kind=AttemptKind.FAILED, reason="count or checksum is wrong"
                )
            case Addition.WHOLE:
                self.is_ended = True
                return AttemptResult(
                    kind=_kind_of(message.outcome), reason=message.detail
                )
        return None

    def ask_again(self, cause: str) -> None:
        """Ask for the answer from the next wanted chunk on."""
        wanted = self.assembly.next_sequence
        emit(
            ANSWER_ASKED_AGAIN,
            attempt=self.attempt_id,
            from_sequence=wanted,
            cause=cause,
        )
        self.credit_limit = wanted + CREDIT
        self.peer.send(
            Resume(attempt_id=self.attempt_id, from_sequence=wanted, credit=CREDIT)
        )

    def allow(self, seconds: float) -> None:
        """Give the attempt this long from now."""
        self.timeout.reschedule(asyncio.get_running_loop().time() + seconds)

    def remaining_seconds(self) -> float:
        """Return the time until the request's deadline."""
        return max(0.0, (self.deadline - self.clock()).total_seconds())

    def accept_seconds(self) -> float:
        """Return the longest wait for the endpoint's first word."""
        return min(ACCEPT_TIMEOUT.total_seconds(), self.remaining_seconds())

    async def confirm_not_run(self) -> bool:
        """Wait for the answer to `Cancel`; return whether it never will run."""
        while True:
            match await self.inbox.get():
                case Cancelled(ran=ran):
                    return not ran
                case Refused(reason=reason):
                    return reason not in NO_PROOF
                case PeerLost():
                    return False
                case End(outcome=outcome):
                    return outcome == Outcome.NOT_RUN


def _kind_of(outcome: str) -> AttemptKind:
    match outcome:
        case Outcome.DONE:
            return AttemptKind.DONE
        case Outcome.NOT_RUN:
            return AttemptKind.NOT_STARTED
        case _:
            return AttemptKind.FAILED
