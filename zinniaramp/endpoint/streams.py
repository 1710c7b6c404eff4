"""The endpoint process's streams and the dispatch of messages received on them."""

from collections.abc import Iterator
from datetime import timedelta

from result import Err, Ok

from ..clock import Clock
from ..configuration import RevisionStore, handle_revision_message
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
    TicketRequest,
)
from ..links import Connection
from ..observability import emit
from .attempts import DISCARDED_DETAIL, Attempt, Delivery, deliver
from .deferrals import DeferredOffers
from .events import ATTEMPT_PLACED, ATTEMPT_RESUMED, STREAM_SILENT
from .executor import Executor
from .metrics import PLACEMENTS
from .placement import AnswerDiscarded, Placed, Placement, Refusal
from .ticketing import issue_ticket

__all__ = ["Streams"]

MOVED_DETAIL = "continued-elsewhere"
"""Detail of the `End` sent to an entry process when another one resumes the answer."""


class Streams:
    """Serves the streams opened by entry processes.

    Parameters
    ----------
    executor : Executor
        Runs attempts.
    placement : Placement
        Accepts or refuses offers.
    revisions : RevisionStore
        The revision in force, and the exchange of revisions with peers.
    silence : timedelta
        Time without any message after which a stream is closed.
    clock : Clock
        The process's clock.

    Attributes
    ----------
    connections : set of Connection
        Open streams.
    last_ping_number : int
        Number of the last `Ping` sent to request acknowledgements.
    deferred : DeferredOffers
        Offers that wait for their revision.
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
        self.last_ping_number = 0
        self.deferred = DeferredOffers(place=self.place_offer)

    async def serve(self, connection: Connection) -> None:
        """Serve one stream until it is closed."""
        self.connections.add(connection)
        try:
            await self.receive_all(connection)
        finally:
            self.connections.discard(connection)
            self.executor.record_disconnects(connection)

    async def receive_all(self, connection: Connection) -> None:
        """Handle messages until the stream is closed."""
        while True:
            match await connection.receive():
                case Ok(messages):
                    self.executor.check_pause()
                    for message in messages:
                        if not connection.is_closed:
                            self.sync_revisions(connection, message)
                            self.handle(connection, message)
                case Err(_):
                    return

    def sync_revisions(self, connection: Connection, message: Message) -> None:
        """Pass a message to the exchange of revisions, and send its reply if any."""
        answer = handle_revision_message(
            self.revisions,
            message,
            source=connection.incarnation,
            is_receiving=connection.is_receiving,
        )
        if answer is not None:
            connection.send(answer)

    def handle(self, connection: Connection, message: Message) -> None:
        """Dispatch one message; messages meant for other roles are ignored."""
        match message:
            case Offer():
                self.receive_offer(connection, message)
            case Credit():
                self.apply_credit(connection, message)
            case Resume():
                self.resume(connection, message)
            case Cancel(attempt_id=attempt_id):
                self.cancel(connection, attempt_id)
            case TicketRequest():
                reason = issue_ticket(self.placement, connection, message)
                if reason is not None:
                    self.refuse(connection, message.request_id, reason, timedelta(0))
            case Ping(number=number):
                self.answer_ping(connection, number)
            case Pong(number=number):
                self.record_acknowledgements(connection, number)

    def load(self) -> Load:
        """Return the current load."""
        return self.executor.scheduler.load()

    def answer_ping(self, connection: Connection, number: int) -> None:
        """Answer a heartbeat with the current revision and load."""
        revision = self.revisions.revision().with_short_digest()
        connection.send(Pong(number=number, revision=revision, load=self.load()))

    def request_acknowledgements(self) -> None:
        """Send a `Ping` after finished answers; its `Pong` confirms their receipt.

        Notes
        -----
        A successful write to the socket does not show that a peer has received an
        answer.  Messages are delivered in order, so the `Pong` to a `Ping` that
        follows the `End` shows that the entry process has the whole answer.
        """
        self.last_ping_number += 1
        pinged = set()
        for delivery in self.deliveries():
            if delivery.is_end_sent and delivery.ping_number is None:
                delivery.ping_number = self.last_ping_number
                pinged.add(delivery.connection)
        revision = self.revisions.revision()
        for connection in pinged:
            connection.send(Ping(number=self.last_ping_number, revision=revision))

    def record_acknowledgements(self, connection: Connection, number: int) -> None:
        """Mark the answers whose receipt a `Pong` confirms."""
        for delivery in self.deliveries():
            is_covered = (
                delivery.ping_number is not None and delivery.ping_number <= number
            )
            if delivery.connection is connection and is_covered:
                delivery.is_acknowledged = True

    def deliveries(self) -> Iterator[Delivery]:
        """Iterate over the deliveries of all attempts."""
        for attempt in self.executor.attempts.values():
            yield from attempt.deliveries.values()

    def receive_offer(self, connection: Connection, offer: Offer) -> None:
        """Place an offer, or defer it until its revision is in force here."""
        if offer.revision_index > self.revisions.revision().index:
            request = self.revisions.record_peer_index(
                offer.revision_index, is_receiving=connection.is_receiving
            )
            if request is not None:
                connection.send(request)
            if self.revisions.is_behind():
                self.deferred.add(connection, offer)
                return
        self.place_offer(connection, offer)

    def place_all_deferred(self) -> None:
        """Place the deferred offers whose revision is in force."""
        self.deferred.release(self.revisions.revision().index)

    def place_offer(self, connection: Connection, offer: Offer) -> None:
        """Accept or refuse an offer; if accepted, deliver its answer on this stream."""
        result = self.placement.place(offer)
        match result:
            case Refusal(reason=reason, retry_after=retry_after):
                self.log_placement(offer, "refuse", reason, timedelta(0))
                self.refuse(connection, offer.attempt_id, reason, retry_after)
            case Placed(attempt=attempt, is_new=is_new, wait=wait):
                decision = "accept" if is_new else "join"
                self.log_placement(offer, decision, "", wait)
                self.accept(connection, offer.attempt_id, wait)
                self.attach(connection, offer.attempt_id, attempt, 0, offer.credit)
            case AnswerDiscarded():
                self.log_placement(offer, "join", DISCARDED_DETAIL, timedelta(0))
                self.accept(connection, offer.attempt_id, timedelta(0))
                connection.send(_discarded_end(offer.attempt_id))

    def accept(self, connection, attempt_id: str, wait: timedelta) -> None:
        """Send the acceptance of an attempt."""
        wait_s = wait.total_seconds()
        load = self.load()
        connection.send(Accepted(attempt_id=attempt_id, wait_s=wait_s, load=load))

    def refuse(
        self, connection, attempt_id: str, reason: str, retry_after: timedelta
    ) -> None:
        """Send the refusal of an attempt, a resume or a ticket request."""
        connection.send(
            Refused(
                attempt_id=attempt_id,
                reason=str(reason),
                retry_after_s=retry_after.total_seconds(),
                load=self.load(),
            )
        )

    def log_placement(
        self, offer: Offer, decision: str, reason: str, wait: timedelta
    ) -> None:
        """Log and count the decision on an offer with the values it was based on."""
        load = self.load()
        declared = self.placement.effective_declaration(offer)
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
        """Deliver an attempt's answer on this stream, starting at a sequence number."""
        delivery = Delivery(
            attempt_id=attempt_id,
            connection=connection,
            next_sequence=sequence,
            limit=sequence + credit,
        )
        previous = attempt.deliveries.get(attempt_id)
        if previous is not None and _goes_to_other_peer(previous, connection):
            _send_moved_end(previous)
        attempt.deliveries[attempt_id] = delivery
        if attempt_id != attempt.attempt_id:
            self.executor.aliases[attempt_id] = attempt.attempt_id
        self.executor.requeue(attempt)
        deliver(attempt.answer, delivery)

    def apply_credit(self, connection: Connection, credit: Credit) -> None:
        """Raise the credit of a delivery and send the chunks that it allows."""
        attempt = self.executor.find(credit.attempt_id)
        delivery = attempt.deliveries.get(credit.attempt_id) if attempt else None
        if delivery is None or delivery.connection is not connection:
            return
        delivery.limit = max(delivery.limit, credit.limit)
        deliver(attempt.answer, delivery)

    def resume(self, connection: Connection, message: Resume) -> None:
        """Deliver the rest of an attempt's answer on this stream, or refuse."""
        attempt = self.executor.find(message.attempt_id)
        reason = _find_resume_refusal(attempt, message)
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
        """Cancel an attempt, or ensure that it never starts, and send the result."""
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
        """Cancel an attempt unless other streams receive its answer.

        Returns
        -------
        bool
            Whether the attempt may have run.
        """
        delivery = attempt.deliveries.get(attempt_id)
        if delivery is not None and _goes_to_other_peer(delivery, connection):
            return True
        attempt.deliveries.pop(attempt_id, None)
        if any(not other.is_disconnected() for other in attempt.deliveries.values()):
            return True
        return self.executor.cancel(attempt)

    def announce_leaving(self, incarnation: str) -> None:
        """Notify every peer that this process accepts no new attempts."""
        for connection in self.connections:
            connection.send(Leaving(incarnation=incarnation))

    def close_all(self, *, reason: str) -> None:
        """Close every stream."""
        for connection in list(self.connections):
            connection.close(reason=reason)

    def close_silent(self) -> None:
        """Close the streams on which nothing was received within `silence`."""
        oldest = self.clock() - self.silence
        for connection in list(self.connections):
            if connection.last_received < oldest:
                bound_s = self.silence.total_seconds()
                emit(STREAM_SILENT, peer=connection.peer, bound_s=bound_s)
                connection.close(reason="silent")


def _find_resume_refusal(
    attempt: Attempt | None, message: Resume
) -> RefusalReason | None:
    if attempt is None:
        return RefusalReason.ATTEMPT_UNKNOWN
    if attempt.answer.is_discarded:
        return RefusalReason.ANSWER_DISCARDED
    return None


def _goes_to_other_peer(delivery: Delivery, connection: Connection) -> bool:
    is_same = delivery.connection.incarnation == connection.incarnation
    return not delivery.is_disconnected() and not is_same


def _send_moved_end(delivery: Delivery) -> None:
    """Notify an entry process that another one has resumed the answer."""
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


def _discarded_end(attempt_id: str) -> End:
    return End(
        attempt_id=attempt_id,
        count=0,
        checksum=0,
        outcome=Outcome.UNKNOWN.value,
        detail=DISCARDED_DETAIL,
        retry_after_s=0.0,
    )
