"""One attempt of a request at one endpoint: offer, resume, delivery and result."""

import asyncio
from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import StrEnum
from typing import Protocol

from ..answers import Assembly, AssemblyResult
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

__all__ = [
    "CREDIT_WINDOW",
    "NOT_ACCEPTED",
    "Attempt",
    "AttemptKind",
    "AttemptResult",
    "Sink",
]

CREDIT_WINDOW = 64
"""Chunks of an attempt that may be in flight from the endpoint to the caller."""

ACCEPT_TIMEOUT = timedelta(seconds=1)
"""Timeout for an endpoint to accept or refuse an attempt."""

MIN_PROGRESS_TIMEOUT = timedelta(seconds=60)
"""Lower bound of the timeout for the next chunk of a started answer."""

NOT_ACCEPTED = "not accepted in time"
"""Reason of attempts that an endpoint neither accepted nor refused in time."""

INCONCLUSIVE_REASONS = {RefusalReason.ATTEMPT_UNKNOWN, RefusalReason.ANSWER_DISCARDED}
"""Reasons for refusing `Resume` that do not prove that the attempt never ran."""


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
        How the attempt ended.
    reason : str
        The reason, from the endpoint or from this process.
    retry_after_s : float
        Retry delay from an endpoint that did not run the attempt, in seconds.
    """

    kind: AttemptKind
    reason: str = ""
    retry_after_s: float = 0

    @property
    def is_confirmed_not_run(self) -> bool:
        """Whether the endpoint has confirmed that the attempt will never run."""
        return self.kind in (AttemptKind.REFUSED, AttemptKind.NOT_STARTED)


class Sink(Protocol):
    """Receives the answer to one request and passes it on to the caller."""

    def receive_head(self, head: Head) -> None:
        """Store the status and headers of the answer."""

    async def on_accepted(self) -> None:
        """React to an endpoint's acceptance of the attempt."""

    async def write(self, chunks: list[Chunk]) -> None:
        """Write the next chunks; return when more can be written."""

    def reset(self) -> bool:
        """Drop the answer so far; return false if any of it reached the caller."""


class Attempt:
    """One attempt of a request at one endpoint process.

    Receives the endpoint's messages about the attempt from an inbox, delivers
    chunks to the sink, enforces timeouts and determines the result.

    Parameters
    ----------
    peer : Peer
        The endpoint process.
    attempt_id : str
        Id of the attempt.
    sink : Sink
        Receives the answer.
    timeline : Timeline
        Records the arrival times of tokens.
    clock : Clock
        The process's clock.
    arrived, deadline : datetime
        Arrival time and deadline of the request.
    start : int
        Sequence number of the first chunk to deliver.

    Attributes
    ----------
    incarnation : str
        Incarnation of the endpoint process when the attempt was created.  A later
        incarnation has no record of the attempt, so it is not sent `Cancel` and
        its messages do not confirm that the attempt did not run.
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
        self.incarnation = peer.incarnation
        self.attempt_id = attempt_id
        self.sink = sink
        self.timeline = timeline
        self.clock = clock
        self.arrived = arrived
        self.deadline = deadline
        self.assembly = Assembly(attempt_id=attempt_id, start=start)
        self.inbox = peer.open_inbox(attempt_id)
        self.credit_limit = start + CREDIT_WINDOW
        self.offered_at = clock()
        self.is_accepted = False
        self.is_ended = False
        self.timeout: asyncio.Timeout | None = None
        self.progress_timeout_s = max(
            MIN_PROGRESS_TIMEOUT, timeline.declaration.finish
        ).total_seconds()

    async def offer(self, offer: Offer) -> AttemptResult:
        """Offer the attempt to the endpoint and return its result."""
        self.peer.offer(offer)
        return await self.follow()

    async def resume(self, cause: str) -> AttemptResult:
        """Request the answer from the next missing chunk and return the result."""
        self.request_resend(cause)
        return await self.follow()

    @property
    def has_peer_restarted(self) -> bool:
        """Whether the endpoint process has restarted since the attempt was created."""
        return self.peer.incarnation != self.incarnation

    def cancel(self) -> None:
        """Send `Cancel` unless the attempt has ended or the endpoint has restarted."""
        if not (self.is_ended or self.has_peer_restarted):
            self.peer.cancel(self.attempt_id)

    def close(self) -> None:
        """Close the inbox of the attempt."""
        self.peer.close_inbox(self.attempt_id)

    async def follow(self) -> AttemptResult:
        """Process messages until the attempt has ended or timed out."""
        try:
            async with asyncio.timeout(self.accept_timeout_s()) as self.timeout:
                while True:
                    result = await self.process_messages()
                    if result is not None:
                        return result
        except TimeoutError:
            reason = "deadline" if self.is_accepted else NOT_ACCEPTED
            return AttemptResult(kind=AttemptKind.TIMED_OUT, reason=reason)

    async def process_messages(self) -> AttemptResult | None:
        """Wait for a message, then process all messages in the inbox."""
        chunks: list[Chunk] = []
        result = None
        message = await self.inbox.get()
        while True:
            if type(message) is Chunk:
                self.add_chunk(message, chunks)
            else:
                result = await self.handle_message(message)
            if result is not None or self.inbox.empty():
                break
            message = self.inbox.get_nowait()
        if chunks:
            await self.deliver(chunks)
        return result

    def add_chunk(self, chunk: Chunk, chunks: list[Chunk]) -> None:
        """Append a chunk to `chunks` if it is the next one; on a gap, request it."""
        result = self.assembly.add(chunk)
        if result is AssemblyResult.NEXT:
            chunks.append(chunk)
        elif result is AssemblyResult.GAP:
            self.request_resend("gap")

    async def deliver(self, chunks: list[Chunk]) -> None:
        """Write chunks to the sink, then extend the credit as chunks are consumed."""
        now = self.clock()
        if self.timeline.first_token_s is None:
            self.peer.record_latency((now - self.offered_at).total_seconds())
        tokens = sum(chunk.tokens for chunk in chunks)
        if tokens:
            self.timeline.record_tokens((now - self.arrived).total_seconds(), tokens)
        self.set_timeout(self.progress_timeout_s)
        await self.sink.write(chunks)
        next_sequence = self.assembly.next_sequence
        if self.credit_limit - next_sequence <= CREDIT_WINDOW // 2:
            self.credit_limit = next_sequence + CREDIT_WINDOW
            self.peer.send(Credit(attempt_id=self.attempt_id, limit=self.credit_limit))

    async def handle_message(self, message) -> AttemptResult | None:
        """Handle a message that is not a chunk; return the result if it is final."""
        match message:
            case Accepted():
                await self.record_accepted()
            case Head():
                self.sink.receive_head(message)
                await self.record_accepted()
            case Refused():
                return self.refused(message)
            case End():
                return self.end(message)
            case Cancelled(ran=ran):
                self.is_ended = True
                kind = AttemptKind.FAILED if ran else AttemptKind.NOT_STARTED
                return AttemptResult(kind=kind, reason="cancelled by the endpoint")
            case StreamReplaced():
                self.request_resend("stream replaced")
                if not self.is_accepted:
                    self.set_timeout(self.accept_timeout_s())
            case PeerLost(reason=reason):
                return AttemptResult(kind=AttemptKind.LOST, reason=reason)
        return None

    async def record_accepted(self) -> None:
        """Record the acceptance and extend the timeout to the request's deadline."""
        if not self.is_accepted:
            self.is_accepted = True
            self.set_timeout(self.remaining_s())
            await self.sink.on_accepted()

    def refused(self, message: Refused) -> AttemptResult:
        """Return the result of a refused attempt.

        A refusal with an inconclusive reason gives `AttemptKind.LOST`.
        """
        is_conclusive = message.reason not in INCONCLUSIVE_REASONS
        self.is_ended = is_conclusive
        return AttemptResult(
            kind=AttemptKind.REFUSED if is_conclusive else AttemptKind.LOST,
            reason=message.reason,
            retry_after_s=message.retry_after_s,
        )

    def end(self, message: End) -> AttemptResult | None:
        """Return the result of an ended attempt, or None if chunks are missing."""
        match self.assembly.end(message):
            case AssemblyResult.GAP:
                self.request_resend("gap at the end")
                return None
            case AssemblyResult.WRONG:
                self.is_ended = True
                return AttemptResult(
                    kind=AttemptKind.FAILED,
                    reason="chunk count or checksum does not match",
                )
            case AssemblyResult.WHOLE:
                self.is_ended = True
                return AttemptResult(
                    kind=_attempt_kind(message.outcome),
                    reason=message.detail,
                    retry_after_s=message.retry_after_s,
                )
        return None

    def request_resend(self, cause: str) -> None:
        """Request the answer again, from the next missing chunk on."""
        next_sequence = self.assembly.next_sequence
        emit(
            ANSWER_ASKED_AGAIN,
            attempt=self.attempt_id,
            from_sequence=next_sequence,
            cause=cause,
        )
        self.credit_limit = next_sequence + CREDIT_WINDOW
        self.peer.send(
            Resume(
                attempt_id=self.attempt_id,
                from_sequence=next_sequence,
                credit=CREDIT_WINDOW,
            )
        )

    def set_timeout(self, seconds: float) -> None:
        """Set the timeout of the attempt, in seconds from now."""
        self.timeout.reschedule(asyncio.get_running_loop().time() + seconds)

    def remaining_s(self) -> float:
        """Return the time until the request's deadline, in seconds; at least 0."""
        return max(0.0, (self.deadline - self.clock()).total_seconds())

    def accept_timeout_s(self) -> float:
        """Return the timeout for acceptance or refusal, in seconds."""
        return min(ACCEPT_TIMEOUT.total_seconds(), self.remaining_s())

    async def confirm_not_run(self) -> bool:
        """Wait for the reply to `Cancel`; return whether the attempt will never run."""
        while not self.has_peer_restarted:
            match await self.inbox.get():
                case Cancelled(ran=ran):
                    return not ran
                case Refused(reason=reason):
                    return reason not in INCONCLUSIVE_REASONS
                case PeerLost():
                    return False
                case End(outcome=outcome):
                    return outcome == Outcome.NOT_RUN
        return False


def _attempt_kind(outcome: str) -> AttemptKind:
    match outcome:
        case Outcome.DONE:
            return AttemptKind.DONE
        case Outcome.NOT_RUN:
            return AttemptKind.NOT_STARTED
        case _:
            return AttemptKind.FAILED
