"""The endpoint process's streams, and the dispatch of what arrives on them."""

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta

from result import Err, Ok

from ..clock import Clock
from ..configuration import RevisionStore, exchange_revisions
from ..contracts import (
    Accepted,
    Cancel,
    Cancelled,
    Credit,
    End,
    Leaving,
    Load,
    Message,
    Offer,
    Outcome,
    Ping,
    Pong,
    RefusalReason,
    Refused,
    Resume,
    TicketIssued,
    TicketRequest,
)
from ..links import Connection
from ..observability import emit
from ..tickets import sign_ticket
from .attempts import DISCARDED_DETAIL, Attempt, Delivery, deliver
from .events import ATTEMPT_PLACED, ATTEMPT_RESUMED, STREAM_SILENT, TICKET_DECIDED
from .executor import Executor
from .metrics import PLACEMENTS
from .placement import Gone, Placed, Placement, Refusal

__all__ = ["Streams"]

MOVED_DETAIL = "continued-elsewhere"
"""Detail of the end of an answer that another entry process continues."""

EARLY_HOLD = timedelta(seconds=0.5)
"""Longest wait of an offer for its revision; half of an entry's wait for a word."""


@dataclass(slots=True, kw_only=True, frozen=True, eq=False)
class EarlyOffer:
    """An offer whose revision is not in force here yet."""

    connection: Connection
    offer: Offer


class Streams:
    """Serves the streams that entry processes have opened.

    Parameters
    ----------
    executor : Executor
        Runs attempts.
    placement : Placement
        Takes or refuses offers.
    revisions : RevisionStore
        The revision in force, for heartbeats.
    silence : timedelta
        Time without any message after which a stream is closed.
    clock : Clock
        The process's clock.
    """

    def __init__(
        self,
        *,
        executor: Executor,
        placement: Placement,
        revisions: RevisionStore,
        silence: timedelta,
        clock: Clock,
    ):
        self.executor = executor
        self.placement = placement
        self.revisions = revisions
        self.silence = silence
        self.clock = clock
        self.connections: set[Connection] = set()
        self.receipts = 0
        self.early: list[EarlyOffer] = []

    async def serve(self, connection: Connection) -> None:
        """Serve one stream until it ends."""
        self.connections.add(connection)
        try:
            await self.receive_all(connection)
        finally:
            self.connections.discard(connection)
            self.executor.note_lost(connection)

    async def receive_all(self, connection: Connection) -> None:
        """Handle messages until the stream ends."""
        while True:
            match await connection.receive():
                case Ok(messages):
                    self.executor.check_pause()
                    for message in messages:
                        if not connection.is_closed:
                            self.exchange(connection, message)
                            self.handle(connection, message)
                case Err(_):
                    return

    def exchange(self, connection: Connection, message: Message) -> None:
        """Do what a message means for the configuration."""
        source = connection.incarnation
        answer = exchange_revisions(self.revisions, message, source=source)
        if answer is not None:
            connection.send(answer)

    def handle(self, connection: Connection, message: Message) -> None:
        """Dispatch one message; messages for other roles are ignored."""
        match message:
            case Offer():
                self.take_offer(connection, message)
            case Credit():
                self.take_credit(connection, message)
            case Resume():
                self.resume(connection, message)
            case Cancel(attempt_id=attempt_id):
                self.cancel(connection, attempt_id)
            case TicketRequest():
                self.issue_ticket(connection, message)
            case Ping(number=number):
                self.answer_ping(connection, number)
            case Pong(number=number):
                self.take_receipt(connection, number)

    def load(self) -> Load:
        """Return the current load."""
        return self.executor.scheduler.load()

    def answer_ping(self, connection: Connection, number: int) -> None:
        """Answer a heartbeat."""
        revision = self.revisions.revision().brief()
        connection.send(Pong(number=number, revision=revision, load=self.load()))

    def ask_receipts(self) -> None:
        """Ask for proof that the answers which have ended were received.

        Notes
        -----
        That the socket took an answer proves nothing if the stream has gone silent.
        Messages keep their order, so the answer to a heartbeat that follows an
        answer's end proves that the entry process has that answer.
        """
        self.receipts += 1
        asked = set()
        for delivery in self.deliveries():
            if delivery.is_end_sent and delivery.receipt is None:
                delivery.receipt = self.receipts
                asked.add(delivery.connection)
        revision = self.revisions.revision()
        for connection in asked:
            connection.send(Ping(number=self.receipts, revision=revision))

    def take_receipt(self, connection: Connection, number: int) -> None:
        """Note which answers an answered heartbeat proves to be received."""
        for delivery in self.deliveries():
            is_asked = delivery.receipt is not None and delivery.receipt <= number
            if delivery.connection is connection and is_asked:
                delivery.is_received = True

    def deliveries(self) -> Iterator[Delivery]:
        """Return where the answers of all attempts go."""
        for attempt in self.executor.attempts.values():
            yield from attempt.deliveries.values()

    def take_offer(self, connection: Connection, offer: Offer) -> None:
        """Answer an offer, once the request's revision is in force here."""
        if offer.revision_index > self.revisions.revision().index:
            request = self.revisions.note_index(offer.revision_index)
            if request is not None:
                connection.send(request)
            if self.revisions.is_pulling():
                self.hold_early(connection, offer)
                return
        self.decide(connection, offer)

    def hold_early(self, connection: Connection, offer: Offer) -> None:
        """Hold an offer until its revision has come, for a bounded time."""
        early = EarlyOffer(connection=connection, offer=offer)
        self.early.append(early)
        loop = asyncio.get_running_loop()
        loop.call_later(EARLY_HOLD.total_seconds(), self.release_early, early)

    def release_early(self, early: EarlyOffer) -> None:
        """Answer a held offer, unless its stream has ended."""
        if early not in self.early:
            return
        self.early.remove(early)
        if not early.connection.is_closed:
            self.decide(early.connection, early.offer)

    def release_all_early(self) -> None:
        """Answer the held offers whose revision is in force."""
        in_force = self.revisions.revision().index
        for early in list(self.early):
            if early.offer.revision_index <= in_force:
                self.release_early(early)

    def decide(self, connection: Connection, offer: Offer) -> None:
        """Answer an offer and, if it is taken, send its answer on this stream."""
        decided = self.placement.place(offer)
        match decided:
            case Refusal(reason=reason, retry_after=retry_after):
                self.note_placement(offer, "refuse", reason, timedelta(0))
                self.refuse(connection, offer.attempt_id, reason, retry_after)
            case Placed(attempt=attempt, is_new=is_new, wait=wait):
                decision = "accept" if is_new else "join"
                self.note_placement(offer, decision, "", wait)
                self.accept(connection, offer.attempt_id, wait)
                self.attach(connection, offer.attempt_id, attempt, 0, offer.credit)
            case Gone():
                self.note_placement(offer, "join", DISCARDED_DETAIL, timedelta(0))
                self.accept(connection, offer.attempt_id, timedelta(0))
                connection.send(_end_of_gone(offer.attempt_id))

    def accept(self, connection, attempt_id: str, wait: timedelta) -> None:
        """Say that an attempt was accepted."""
        wait_s = wait.total_seconds()
        load = self.load()
        connection.send(Accepted(attempt_id=attempt_id, wait_s=wait_s, load=load))

    def refuse(
        self, connection, attempt_id: str, reason: str, retry_after: timedelta
    ) -> None:
        """Say that an attempt did not start and never will."""
        connection.send(
            Refused(
                attempt_id=attempt_id,
                reason=str(reason),
                retry_after_s=retry_after.total_seconds(),
                load=self.load(),
            )
        )

    def note_placement(
        self, offer: Offer, decision: str, reason: str, wait: timedelta
    ) -> None:
        """Log the decision on an offer with what was weighed."""
        load = self.load()
        declared = self.placement.declaration_of(offer)
        PLACEMENTS.labels(offer.class_name, decision, str(reason)).inc()
        emit(
            ATTEMPT_PLACED,
            attempt=offer.attempt_id,
            decision=decision,
            reason=str(reason),
            **{"class": offer.class_name},
            tier=declared.tier if declared else None,
            pausable=declared.is_pausable if declared else None,
            workspace=offer.workspace,
            wait_s=round(wait.total_seconds(), 3),
            deadline_s=round(offer.deadline_s, 3),
            running=load.running,
            width=load.width,
            queued=load.queued,
            queue_s=round(load.queue_s, 3),
        )

    def attach(
        self,
        connection: Connection,
        attempt_id: str,
        attempt: Attempt,
        sequence: int,
        credit: int,
    ) -> None:
        """Send an attempt's answer on this stream from a sequence number on."""
        delivery = Delivery(
            attempt_id=attempt_id,
            connection=connection,
            next_sequence=sequence,
            limit=sequence + credit,
        )
        previous = attempt.deliveries.get(attempt_id)
        if previous is not None and _is_elsewhere(previous, connection):
            _end_moved(previous)
        attempt.deliveries[attempt_id] = delivery
        if attempt_id != attempt.attempt_id:
            self.executor.aliases[attempt_id] = attempt.attempt_id
        self.executor.release(attempt)
        deliver(attempt.answer, delivery)

    def take_credit(self, connection: Connection, credit: Credit) -> None:
        """Send what new credit allows."""
        attempt = self.executor.find(credit.attempt_id)
        delivery = attempt.deliveries.get(credit.attempt_id) if attempt else None
        if delivery is None or delivery.connection is not connection:
            return
        delivery.limit = max(delivery.limit, credit.limit)
        deliver(attempt.answer, delivery)

    def resume(self, connection: Connection, message: Resume) -> None:
        """Send an attempt's answer again, on this stream."""
        attempt = self.executor.find(message.attempt_id)
        reason = _resume_refusal(attempt, message)
        if reason is not None:
            self.refuse(connection, message.attempt_id, reason, timedelta(0))
            return
        emit(
            ATTEMPT_RESUMED,
            attempt=message.attempt_id,
            peer=connection.peer,
            from_sequence=message.from_sequence,
        )
        self.attach(
            connection,
            message.attempt_id,
            attempt,
            max(0, message.from_sequence),
            message.credit,
        )

    def cancel(self, connection: Connection, attempt_id: str) -> None:
        """Stop an attempt, or make sure that it never starts."""
        attempt = self.executor.find(attempt_id)
        if attempt is None:
            ran, serial = self.executor.may_have_run(attempt_id), None
        else:
            ran = self.cancel_known(connection, attempt, attempt_id)
            serial = attempt.serial
        tickets = self.placement.tickets
        is_stopped = not ran and tickets.cancel_before_start(attempt_id, serial)
        connection.send(Cancelled(attempt_id=attempt_id, ran=not is_stopped))

    def cancel_known(
        self, connection: Connection, attempt: Attempt, attempt_id: str
    ) -> bool:
        """Stop an attempt unless others take its answer; return whether it ran."""
        delivery = attempt.deliveries.get(attempt_id)
        if delivery is not None and _is_elsewhere(delivery, connection):
            return True
        attempt.deliveries.pop(attempt_id, None)
        if any(not one.is_lost() for one in attempt.deliveries.values()):
            return True
        return self.executor.cancel(attempt)

    def issue_ticket(self, connection: Connection, request: TicketRequest) -> None:
        """Issue a ticket or say why not."""
        reason = self.send_ticket(connection, request)
        if reason is not None:
            self.refuse(connection, request.request_id, reason, timedelta(0))
        emit(
            TICKET_DECIDED,
            request=request.request_id,
            decision="refuse" if reason else "issue",
            reason=str(reason or ""),
            **{"class": request.class_name},
            workspace=request.workspace,
        )

    def send_ticket(
        self, connection: Connection, request: TicketRequest
    ) -> RefusalReason | None:
        """Issue and send a ticket; or return why not."""
        if self.placement.is_leaving():
            return RefusalReason.LEAVING
        tickets = self.placement.tickets
        issued = tickets.issue(
            class_name=request.class_name, workspace=request.workspace
        )
        match issued:
            case Err(_):
                return RefusalReason.TICKET_TABLE_FULL
            case Ok(ticket):
                connection.send(
                    TicketIssued(
                        request_id=request.request_id,
                        ticket=sign_ticket(ticket, key=self.placement.key),
                        expires_s=tickets.lifetime.total_seconds(),
                    )
                )
                return None

    def say_leaving(self, incarnation: str) -> None:
        """Tell every peer that this process takes no new work."""
        for connection in self.connections:
            connection.send(Leaving(incarnation=incarnation))

    def close_all(self, *, reason: str) -> None:
        """Close every stream."""
        for connection in list(self.connections):
            connection.close(reason=reason)

    def close_silent(self) -> None:
        """Close the streams on which nothing was received for too long."""
        oldest = self.clock() - self.silence
        for connection in list(self.connections):
            if connection.last_received < oldest:
                bound_s = self.silence.total_seconds()
                emit(STREAM_SILENT, peer=connection.peer, bound_s=bound_s)
                connection.close(reason="silent")


def _resume_refusal(attempt: Attempt | None, message: Resume) -> RefusalReason | None:
    if attempt is None:
        return RefusalReason.ATTEMPT_UNKNOWN
    if attempt.answer.is_discarded:
        return RefusalReason.ANSWER_DISCARDED
    return None


def _is_elsewhere(delivery: Delivery, connection: Connection) -> bool:
    is_same = delivery.connection.incarnation == connection.incarnation
    return not delivery.is_lost() and not is_same


def _end_moved(delivery: Delivery) -> None:
    """Tell an entry process that another one continues the answer."""
    if delivery.is_end_sent:
        return
    delivery.connection.send(
        End(
            attempt_id=delivery.attempt_id,
            count=delivery.next_sequence,
            checksum=0,
            outcome=Outcome.UNKNOWN.value,
            detail=MOVED_DETAIL,
            retry_after_s=0.0,
        )
    )


def _end_of_gone(attempt_id: str) -> End:
    return End(
        attempt_id=attempt_id,
        count=0,
        checksum=0,
        outcome=Outcome.UNKNOWN.value,
        detail=DISCARDED_DETAIL,
        retry_after_s=0.0,
    )
