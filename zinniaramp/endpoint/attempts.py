"""Attempts that this endpoint process has taken, and where their answers go."""

import asyncio
from dataclasses import dataclass, field, replace
from datetime import datetime

from ..answers.retention import RetainedAnswer
from ..contracts import Chunk, End, Head, Offer, Outcome
from ..links import Connection
from ..scheduling import Job
from .engine import Transfer

__all__ = ["DISCARDED_DETAIL", "Attempt", "Delivery", "deliver"]

DISCARDED_DETAIL = "answer-discarded"
"""Detail of the end of an answer whose content is not retained any more."""


@dataclass(slots=True, kw_only=True, eq=False)
class Delivery:
    """The sending of an attempt's answer over one stream.

    Parameters
    ----------
    attempt_id : str
        Identity under which the receiver knows the attempt.
    connection : Connection
        The stream.
    next_sequence : int
        First chunk that was not sent yet.
    limit : int
        Sequence number up to which the receiver takes chunks, exclusive.
    receipt : int or None
        Number of the heartbeat that was sent after the end; its answer proves
        that the receiver has the whole answer.
    is_received : bool
        Whether that is proved.
    """

    attempt_id: str
    connection: Connection
    next_sequence: int
    limit: int
    is_head_sent: bool = False
    is_end_sent: bool = False
    receipt: int | None = None
    is_received: bool = False

    def is_lost(self) -> bool:
        """Tell whether the stream has closed."""
        return self.connection.is_closed


@dataclass(slots=True, kw_only=True, eq=False)
class Attempt:
    """One attempt that was accepted.

    Parameters
    ----------
    offer : Offer
        What is to be run.
    job : Job
        The attempt as the scheduler sees it.
    answer : RetainedAnswer
        Its answer.
    serial : str or None
        Serial of its ticket; None if it may be stopped and attempted elsewhere.

    Attributes
    ----------
    deliveries : dict of str to Delivery
        Where the answer goes, by the identity that the receiver uses.
    is_handed_over : bool
        Whether the engine was ever sent the request.
    transfer : Transfer or None
        The request on its way to the engine.
    active_at : datetime
        When the engine last gave a sign of life, or was last told to go on.
    lost_at : datetime or None
        Since when no stream takes the answer.
    order_lock : asyncio.Lock
        Keeps the orders to the engine in sequence.
    """

    offer: Offer
    job: Job
    answer: RetainedAnswer
    serial: str | None
    active_at: datetime
    deliveries: dict[str, Delivery] = field(default_factory=dict)
    is_handed_over: bool = False
    transfer: Transfer | None = None
    lost_at: datetime | None = None
    order_lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    @property
    def attempt_id(self) -> str:
        """Identity of the attempt."""
        return self.offer.attempt_id

    @property
    def is_repeatable(self) -> bool:
        """Whether the attempt may be stopped and attempted elsewhere."""
        return self.serial is None

    def drop_body(self) -> None:
        """Free the request's body, which is sent at most once."""
        self.offer = replace(self.offer, body=b"")

    def is_over(self) -> bool:
        """Tell whether the attempt has ended."""
        return self.answer.ending is not None

    def deliver(self) -> None:
        """Send what may be sent on every stream."""
        for delivery in self.deliveries.values():
            deliver(self.answer, delivery)


def deliver(answer: RetainedAnswer, delivery: Delivery) -> None:
    """Send the chunks of an answer that the receiver's credit allows.

    Parameters
    ----------
    answer : RetainedAnswer
        The answer.
    delivery : Delivery
        Where it goes and how far it has come.
    """
    if delivery.is_lost() or delivery.is_end_sent:
        return
    if answer.head is not None and not delivery.is_head_sent:
        _send_head(answer.head, delivery)
    if answer.is_discarded:
        _send_discarded(answer, delivery)
        return
    while delivery.next_sequence < min(delivery.limit, len(answer.pieces)):
        _send_next(answer, delivery)
    if answer.ending is not None and delivery.next_sequence >= len(answer.pieces):
        _send_end(delivery, len(answer.pieces), answer.checksum, answer.ending)


def _send_head(head: Head, delivery: Delivery) -> None:
    delivery.is_head_sent = True
    delivery.connection.send(
        Head(attempt_id=delivery.attempt_id, status=head.status, headers=head.headers)
    )


def _send_next(answer: RetainedAnswer, delivery: Delivery) -> None:
    piece = answer.pieces[delivery.next_sequence]
    delivery.connection.send(
        Chunk(
            attempt_id=delivery.attempt_id,
            sequence=delivery.next_sequence,
            payload=piece.payload,
            tokens=piece.tokens,
        )
    )
    delivery.next_sequence += 1


def _send_end(delivery: Delivery, count: int, checksum: int, ending) -> None:
    delivery.is_end_sent = True
    delivery.connection.send(
        End(
            attempt_id=delivery.attempt_id,
            count=count,
            checksum=checksum,
            outcome=ending.outcome.value,
            detail=ending.detail,
            retry_after_s=ending.retry_after.total_seconds(),
        )
    )


def _send_discarded(answer: RetainedAnswer, delivery: Delivery) -> None:
    if answer.ending is not None and answer.ending.outcome is Outcome.NOT_RUN:
        _send_end(delivery, 0, 0, answer.ending)
        return
    delivery.is_end_sent = True
    delivery.connection.send(
        End(
            attempt_id=delivery.attempt_id,
            count=delivery.next_sequence,
            checksum=0,
            outcome=Outcome.UNKNOWN.value,
            detail=DISCARDED_DETAIL,
            retry_after_s=0.0,
        )
    )
