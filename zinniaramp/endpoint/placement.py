"""Decides what becomes of an offer before the scheduler may order it."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from result import Err, Ok, Result

from ..clock import Clock
from ..contracts import Offer, RefusalReason
from ..declarations import Declarations
from ..scheduling import Job
from ..tickets import Ticket, TicketClaim, TicketTable, read_ticket
from .attempts import Attempt
from .executor import Executor
from .tombstones import Tombstones

__all__ = ["Gone", "Placed", "Placement", "Refusal"]

ENGINE_RETRY = timedelta(seconds=1)
"""When a caller that was refused for want of the engine should come back."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Placed:
    """The offer's answer is that of this attempt.

    Parameters
    ----------
    attempt : Attempt
        A new attempt, or one that was taken before.
    is_new : bool
        Whether this offer began it.
    wait : timedelta
        Predicted wait until it starts.
    """

    attempt: Attempt
    is_new: bool
    wait: timedelta


@dataclass(slots=True, kw_only=True, frozen=True)
class Gone:
    """The ticket's attempt was run, and its answer is not retained any more."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Refusal:
    """The offer did not start and never will."""

    reason: RefusalReason
    retry_after: timedelta = timedelta(0)


class Placement:
    """Takes or refuses offers.

    Parameters
    ----------
    executor : Executor
        Holds the attempts.
    tickets : TicketTable
        Tickets of this incarnation.
    tombstones : Tombstones
        Attempts that must never start here.
    serves : list of str
        Models or services behind this process.
    key : str
        The fleet's secret.
    declarations : callable
        Returns the declarations in force.
    is_leaving : callable
        Tells whether this process takes no new work.
    clock : Clock
        The process's clock.
    """

    def __init__(
        self,
        *,
        executor: Executor,
        tickets: TicketTable,
        tombstones: Tombstones,
        serves: list[str],
        key: str,
        declarations: Callable[[], Declarations],
        is_leaving: Callable[[], bool],
        clock: Clock,
    ):
        self.executor = executor
        self.tickets = tickets
        self.tombstones = tombstones
        self.serves = serves
        self.key = key
        self.declarations = declarations
        self.is_leaving = is_leaving
        self.clock = clock

    def place(self, offer: Offer) -> Placed | Gone | Refusal:
        """Decide on one offer.

        Notes
        -----
        An offer that repeats or joins a known attempt is new work for nobody, so
        it is served even while this process is leaving.
        """
        if offer.attempt_id in self.tombstones:
            return Refusal(reason=RefusalReason.CANCELLED_BEFORE)
        if offer.attempt_id in self.executor.forgotten:
            return Gone()
        known = self.executor.find(offer.attempt_id)
        if known is not None:
            return Placed(attempt=known, is_new=False, wait=timedelta(0))
        match self.ticket_of(offer):
            case Err(reason):
                return Refusal(reason=reason)
            case Ok(ticket):
                return self.place_with(offer, ticket)

    def ticket_of(self, offer: Offer) -> Result[Ticket | None, RefusalReason]:
        """Return the offer's ticket, if it needs and has one."""
        if not offer.ticket:
            declared = self.declarations().classes.get(offer.class_name)
            if declared is not None and not declared.repeatable:
                return Err(RefusalReason.TICKET_INVALID)
            return Ok(None)
        match read_ticket(offer.ticket, key=self.key):
            case Ok(ticket) if ticket.class_name == offer.class_name and (
                ticket.workspace == offer.workspace
            ):
                return Ok(ticket)
            case _:
                return Err(RefusalReason.TICKET_INVALID)

    def place_with(
        self, offer: Offer, ticket: Ticket | None
    ) -> Placed | Gone | Refusal:
        """Decide on an offer whose ticket, if any, is genuine."""
        joined = self.tickets.attempt_of(ticket.serial) if ticket else None
        if joined is not None:
            return self.join(joined)
        refusal = self.refusal_of(offer)
        return refusal if refusal else self.admit(offer, ticket)

    def join(self, attempt_id: str) -> Placed | Gone:
        """Return the attempt that a ticket was used for."""
        attempt = self.executor.find(attempt_id)
        if attempt is None:
            return Gone()
        return Placed(attempt=attempt, is_new=False, wait=timedelta(0))

    def refusal_of(self, offer: Offer) -> Refusal | None:
        """Return why an offer cannot be new work here, whatever the load."""
        declarations = self.declarations()
        is_newer = offer.revision_index > declarations.revision.index
        if self.is_leaving():
            return Refusal(reason=RefusalReason.LEAVING)
        if offer.target not in self.serves or not offer.path.startswith("/"):
            return Refusal(reason=RefusalReason.NOT_SERVED)
        if is_newer and offer.class_name not in declarations.classes:
            return Refusal(reason=RefusalReason.REVISION)
        if offer.deadline_s <= 0:
            return Refusal(reason=RefusalReason.DEADLINE)
        if not self.executor.is_available():
            reason = RefusalReason.ENGINE_UNAVAILABLE
            return Refusal(reason=reason, retry_after=ENGINE_RETRY)
        return None

    def admit(self, offer: Offer, ticket: Ticket | None) -> Placed | Gone | Refusal:
        """Ask the scheduler, and then use up the ticket.

        Notes
        -----
        The ticket is claimed last, as a refusal for load must leave it unused.
        Nothing else runs between the two steps.
        """
        job = self.job_of(offer)
        admission = self.executor.admit(job)
        if not admission.is_admitted:
            return Refusal(reason=admission.reason, retry_after=admission.retry_after)
        if ticket is not None:
            match self.tickets.claim(ticket, offer.attempt_id):
                case Err(reason):
                    self.executor.scheduler.remove(offer.attempt_id)
                    return Refusal(reason=reason)
                case Ok(TicketClaim.JOIN):
                    self.executor.scheduler.remove(offer.attempt_id)
                    return self.join(self.tickets.attempt_of(ticket.serial))
        attempt = self.executor.take(offer, job, is_repeatable=ticket is None)
        return Placed(attempt=attempt, is_new=True, wait=admission.wait)

    def job_of(self, offer: Offer) -> Job:
        """Return an offer as the scheduler sees it."""
        now = self.clock()
        return Job(
            attempt_id=offer.attempt_id,
            class_name=offer.class_name,
            workspace=offer.workspace,
            arrived=now,
            deadline=now + timedelta(seconds=offer.deadline_s),
        )
