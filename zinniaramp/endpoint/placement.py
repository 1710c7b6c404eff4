"""Decides what becomes of an offer before the scheduler may order it."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta

from result import Err, Ok, Result

from ..clock import Clock
from ..contracts import Offer, RefusalReason
from ..declarations import ClassDeclaration, Declarations, resolve_class
from ..scheduling import Job
from ..tickets import Ticket, TicketClaim, TicketTable, read_ticket
from .attempts import Attempt
from .executor import Executor

__all__ = ["Gone", "Placed", "Placement", "Refusal"]

LONGEST_DEADLINE = timedelta(days=1)
"""Longest time until a request is given up; the bound of the declared `deadline`."""

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
    """The offer did not start and never will, nor will its ticket.

    ``TICKET_INVALID`` says nothing about the ticket.
    """

    reason: RefusalReason
    retry_after: timedelta = timedelta(0)


class Placement:
    """Takes or refuses offers.

    Parameters
    ----------
    executor : Executor
        Holds the attempts.
    tickets : TicketTable
        Tickets of this incarnation, and attempts that must never start here.
    serves : list of str
        Models or services behind this process.
    key : str
        The fleet's secret.
    declarations : callable
        Returns the declarations of a revision by its index; those in force if
        that one is not known.
    is_pausable : bool
        Whether the engine can pause a request.
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
        serves: list[str],
        key: str,
        declarations: Callable[[int], Declarations],
        is_pausable: bool,
        is_leaving: Callable[[], bool],
        clock: Clock,
    ):
        self.executor = executor
        self.tickets = tickets
        self.serves = serves
        self.key = key
        self.declarations = declarations
        self.is_pausable = is_pausable
        self.is_leaving = is_leaving
        self.clock = clock

    def place(self, offer: Offer) -> Placed | Gone | Refusal:
        """Decide on one offer.

        Notes
        -----
        An offer that repeats or joins a known attempt is new work for nobody, so
        it is served even while this process is leaving.
        """
        if self.tickets.is_cancelled(offer.attempt_id):
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
            return self.without_ticket(offer)
        match read_ticket(offer.ticket, key=self.key):
            case Ok(ticket) if ticket.class_name == offer.class_name and (
                ticket.workspace == offer.workspace
            ):
                return Ok(ticket)
            case _:
                return Err(RefusalReason.TICKET_INVALID)

    def without_ticket(self, offer: Offer) -> Result[None, RefusalReason]:
        """Tell whether an offer may come without a ticket."""
        declared = self.class_of(offer)
        if declared is not None and not declared.repeatable:
            return Err(RefusalReason.TICKET_INVALID)
        return Ok(None)

    def place_with(
        self, offer: Offer, ticket: Ticket | None
    ) -> Placed | Gone | Refusal:
        """Decide on an offer whose ticket, if any, is genuine.

        Notes
        -----
        The ticket comes first: a refusal for another reason must not hide that
        it was used.  A refusal withdraws the ticket, as it is told as not run
        and another entry may bring the same ticket later.
        """
        if ticket is None:
            return self.refusal_of(offer) or self.admit(offer, None)
        decided = self.decided_by(ticket, self.tickets.decide(ticket))
        if decided is not None:
            return decided
        decided = self.refusal_of(offer) or self.admit(offer, ticket)
        if isinstance(decided, Refusal):
            self.tickets.withdraw(ticket.serial)
        return decided

    def decided_by(
        self, ticket: Ticket, decision: Result[TicketClaim, RefusalReason]
    ) -> Placed | Gone | Refusal | None:
        """Return what an offer joins by its ticket, or nothing if it may run."""
        match decision:
            case Ok(TicketClaim.RUN):
                return None
            case Ok(TicketClaim.JOIN):
                return self.join(self.tickets.attempt_of(ticket.serial))
            case Err(RefusalReason.ANSWER_DISCARDED):
                return Gone()
            case Err(reason):
                return Refusal(reason=reason)

    def join(self, attempt_id: str) -> Placed | Gone:
        """Return the attempt that a ticket was used for."""
        attempt = self.executor.find(attempt_id)
        if attempt is None:
            return Gone()
        return Placed(attempt=attempt, is_new=False, wait=timedelta(0))

    def refusal_of(self, offer: Offer) -> Refusal | None:
        """Return why an offer cannot be new work here, whatever the load."""
        if self.is_leaving():
            return Refusal(reason=RefusalReason.LEAVING)
        if offer.target not in self.serves or not offer.path.startswith("/"):
            return Refusal(reason=RefusalReason.NOT_SERVED)
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
        The ticket is claimed last, so that only an attempt that was admitted is
        noted as its user.  Nothing else runs between the two steps.
        """
        job = self.job_of(offer)
        admission = self.executor.admit(job)
        if not admission.is_admitted:
            return Refusal(reason=admission.reason, retry_after=admission.retry_after)
        if ticket is not None:
            claimed = self.tickets.claim(ticket, offer.attempt_id)
            decided = self.decided_by(ticket, claimed)
            if decided is not None:
                self.executor.scheduler.remove(offer.attempt_id, is_finished=False)
                return decided
        serial = ticket.serial if ticket else None
        attempt = self.executor.take(offer, job, serial=serial)
        return Placed(attempt=attempt, is_new=True, wait=admission.wait)

    def declaration_of(self, offer: Offer) -> ClassDeclaration | None:
        """Return the declaration of an offer's class as it is scheduled by."""
        entry = self.executor.scheduler.entries.get(offer.attempt_id)
        if entry is not None:
            return entry.declaration
        return self.class_of(offer)

    def class_name_of(self, offer: Offer) -> str:
        """Return the class of an offer; the fleet's default if it names none."""
        declarations = self.declarations(offer.revision_index)
        return offer.class_name or declarations.defaults.class_name

    def class_of(self, offer: Offer) -> ClassDeclaration | None:
        """Return an offer's class under the request's revision, if it is declared."""
        declarations = self.declarations(offer.revision_index)
        name = self.class_name_of(offer)
        if name not in declarations.classes:
            return None
        declared = resolve_class(declarations, name, offer.workspace)
        defaults = declarations.defaults
        return replace(
            declared,
            preemptible=declared.preemptible and self.is_pausable,
            floor=declared.floor or defaults.floor,
            queue_limit=declared.queue_limit or defaults.queue_limit,
        )

    def job_of(self, offer: Offer) -> Job:
        """Return an offer as the scheduler sees it."""
        now = self.clock()
        seconds = min(offer.deadline_s, LONGEST_DEADLINE.total_seconds())
        return Job(
            attempt_id=offer.attempt_id,
            class_name=self.class_name_of(offer),
            workspace=offer.workspace,
            declaration=self.class_of(offer),
            arrived=now,
            deadline=now + timedelta(seconds=seconds),
            prompt_bytes=len(offer.body),
        )
