"""Attempts accepted by this endpoint process and the delivery of their answers."""

import asyncio
from dataclasses import dataclass, field, replace
from datetime import datetime

from ..answers.retention import RetainedAnswer
from ..contracts import Chunk, End, Head, Offer, Outcome
from ..links import Connection
from ..scheduling import Job
from .transfer import Transfer

__all__ = ["DISCARDED_DETAIL", "Attempt", "Delivery", "deliver"]

DISCARDED_DETAIL = "answer-discarded"
"""Detail of the `End` of an answer whose content is no longer retained."""


@dataclass(slots=True, kw_only=True, eq=False)
class Delivery:
    """Delivery of an attempt's answer over one stream.

    Parameters
    ----------
    attempt_id : str
        Identifier that the receiver uses for the attempt.
    connection : Connection
        The stream.
    next_sequence : int
        Sequence number of the next chunk to send.
    limit : int
        First sequence number beyond the receiver's credit.
    is_head_sent, is_end_sent : bool
        Whether the `Head` and the `End` have been sent.
    ping_number : int or None
        Number of the `Ping` that was sent after the `End`; its `Pong` shows that
        the receiver has the whole answer.
    is_acknowledged : bool
        Whether that `Pong` has arrived.
    """

    attempt_id: str
    connection: Connection
    next_sequence: int
    limit: int
    is_head_sent: bool = False
    is_end_sent: bool = False
    ping_number: int | None = None
    is_acknowledged: bool = False

    def is_disconnected(self) -> bool:
        """Return whether the stream is closed."""
        return self.connection.is_closed


@dataclass(slots=True, kw_only=True, eq=False)
class Attempt:
    """One accepted attempt.

    Parameters
    ----------
    offer : Offer
        The offer that was accepted.
    job : Job
        The attempt's entry in the scheduler.
    answer : RetainedAnswer
        The part of the answer received so far.
    serial : str or None
        Serial of its ticket; None if the attempt may be cancelled and repeated
        at another endpoint.
    last_activity : datetime
        Start of the silence timeout: when the engine last sent data, the attempt
        was last started or resumed, or a pause of this process was detected.

    Attributes
    ----------
    deliveries : dict of str to Delivery
        Deliveries of the answer, by the identifier that the receiver uses.
    is_dispatched : bool
        Whether the request has been sent to the engine.
    transfer : Transfer or None
        The HTTP request to the engine.
    disconnected_at : datetime or None
        When the last stream that received the answer closed; None while one is
        open.
    order_lock : asyncio.Lock
        Serializes the orders to the engine.
    """

    offer: Offer
    job: Job
    answer: RetainedAnswer
    serial: str | None
    last_activity: datetime
    deliveries: dict[str, Delivery] = field(default_factory=dict)
    is_dispatched: bool = False
    transfer: Transfer | None = None
    disconnected_at: datetime | None = None
    order_lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    @property
    def attempt_id(self) -> str:
        """Identifier of the attempt."""
        return self.offer.attempt_id

    @property
    def is_repeatable(self) -> bool:
        """Whether the attempt may be cancelled and repeated at another endpoint."""
        return self.serial is None

    def drop_body(self) -> None:
        """Free the memory of the request's body, which is sent at most once."""
        self.offer = replace(self.offer, body=b"")

    def has_ended(self) -> bool:
        """Return whether the attempt has ended."""
        return self.answer.ending is not None

    def deliver(self) -> None:
        """Send as much of the answer as each stream's credit allows."""
        for delivery in self.deliveries.values():
            deliver(self.answer, delivery)


def deliver(answer: RetainedAnswer, delivery: Delivery) -> None:
    """Send as much of an answer as the receiver's credit allows.

    Parameters
    ----------
    answer : RetainedAnswer
        The answer.
    delivery : Delivery
        Receiver and progress of the delivery; updated.
    """
    if delivery.is_disconnected() or delivery.is_end_sent:
        return
    if answer.head is not None and not delivery.is_head_sent:
        _send_head(answer.head, delivery)
    if answer.is_discarded:
        _send_discarded(answer, delivery)
        return
    while delivery.next_sequence < min(delivery.limit, len(answer.pieces)):
        _send_chunk(answer, delivery)
    if answer.ending is not None and delivery.next_sequence >= len(answer.pieces):
        _send_end(delivery, len(answer.pieces), answer.checksum, answer.ending)


def _send_head(head: Head, delivery: Delivery) -> None:
    delivery.is_head_sent = True
    delivery.connection.send(
        Head(attempt_id=delivery.attempt_id, status=head.status, headers=head.headers)
    )


def _send_chunk(answer: RetainedAnswer, delivery: Delivery) -> None:
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
