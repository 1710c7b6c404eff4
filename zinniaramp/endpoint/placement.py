"""Placement: validation of offers and their tickets, and admission control."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta

from result import Err, Ok, Result

from ..clock import Clock
from ..contracts import Offer, RefusalReason
from ..declarations import ClassDeclaration, Declarations, resolve_class
from ..scheduling import Job
from ..tickets import Ticket, TicketClaim, TicketTable, verify_ticket
from .attempts import Attempt
from .executor import Executor

__all__ = ["AnswerDiscarded", "Placed", "Placement", "Refusal"]

MAX_DEADLINE = timedelta(days=1)
"""Longest deadline of a request; the upper bound of the declared `deadline`."""

ENGINE_RETRY_AFTER = timedelta(seconds=1)
"""Time after which to retry an offer that was refused because the engine is down."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Placed:
    """The offer was accepted or joins an existing attempt.

    Parameters
    ----------
    attempt : Attempt
        The attempt whose answer the offer receives.
    is_new : bool
        Whether this offer created the attempt.
    wait : timedelta
        Predicted wait until a new attempt starts; zero otherwise.
    """

    attempt: Attempt
    is_new: bool
    wait: timedelta


@dataclass(slots=True, kw_only=True, frozen=True)
class AnswerDiscarded:
    """The attempt may have run, and its answer is no longer retained."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Refusal:
    """The offer is refused: it has not run and will not run.

    The same holds for every attempt with its ticket, except that with
    ``TICKET_INVALID`` one may have run elsewhere.

    Parameters
    ----------
    reason : RefusalReason
        Why the offer was refused.
    retry_after : timedelta
        Time after which to retry; zero if there is no recommendation.
    """

    reason: RefusalReason
    retry_after: timedelta = timedelta(0)


class Placement:
    """Accepts or refuses offers.

    Parameters
    ----------
    executor : Executor
        Registry and scheduler of the attempts.
    tickets : TicketTable
        Tickets of this incarnation, and tombstones of cancelled attempts.
    serves : list of str
        Models or services that this endpoint serves.
    key : str
        Shared secret of the fleet, which signs the tickets.
    declarations : callable
        Returns the declarations of a revision by its index; those in force if
        the revision is unknown.
    is_pausable : bool
        Whether the engine can pause a request.
    is_leaving : callable
        Returns whether this process accepts no new attempts.
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

    def place(self, offer: Offer) -> Placed | AnswerDiscarded | Refusal:
        """Accept or refuse one offer.

        Notes
        -----
        An offer that repeats or joins a known attempt creates no new work.  It is
        therefore served even while this process is leaving.
        """
        if self.tickets.is_cancelled(offer.attempt_id):
            return Refusal(reason=RefusalReason.CANCELLED_BEFORE)
        if offer.attempt_id in self.executor.expired_attempts:
            return AnswerDiscarded()
        known = self.executor.find(offer.attempt_id)
        if known is not None:
            return Placed(attempt=known, is_new=False, wait=timedelta(0))
        match self.check_ticket(offer):
            case Err(reason):
                return Refusal(reason=reason)
            case Ok(ticket):
                return self.place_verified(offer, ticket)

    def check_ticket(self, offer: Offer) -> Result[Ticket | None, RefusalReason]:
        """Return the offer's verified ticket; None if it has none and needs none."""
        if not offer.ticket:
            return self.allow_without_ticket(offer)
        match verify_ticket(offer.ticket, key=self.key):
            case Ok(ticket) if ticket.class_name == offer.class_name and (
                ticket.workspace == offer.workspace
            ):
                return Ok(ticket)
            case _:
                return Err(RefusalReason.TICKET_INVALID)

    def allow_without_ticket(self, offer: Offer) -> Result[None, RefusalReason]:
        """Return an error if the offer's class is not repeatable."""
        declared = self.declared_class(offer)
        if declared is not None and not declared.repeatable:
            return Err(RefusalReason.TICKET_INVALID)
        return Ok(None)

    def place_verified(
        self, offer: Offer, ticket: Ticket | None
    ) -> Placed | AnswerDiscarded | Refusal:
        """Accept or refuse an offer whose ticket, if any, has a valid signature.

        Notes
        -----
        The ticket is checked first, because a refusal for another reason would
        report a used ticket as not run.  A refusal reports the request as not run
        and therefore withdraws the ticket: another entry process may offer the same
        ticket later.
        """
        if ticket is None:
            return self.find_refusal(offer) or self.admit(offer, None)
        result = self.result_of_decision(ticket, self.tickets.check_claim(ticket))
        if result is not None:
            return result
        result = self.find_refusal(offer) or self.admit(offer, ticket)
        if isinstance(result, Refusal):
            self.tickets.withdraw(ticket.serial)
        return result

    def result_of_decision(
        self, ticket: Ticket, decision: Result[TicketClaim, RefusalReason]
    ) -> Placed | AnswerDiscarded | Refusal | None:
        """Return the result that a ticket decision implies; None if it allows a run."""
        match decision:
            case Ok(TicketClaim.RUN):
                return None
            case Ok(TicketClaim.JOIN):
                return self.join(self.tickets.attempt_of(ticket.serial))
            case Err(RefusalReason.ANSWER_DISCARDED):
                return AnswerDiscarded()
            case Err(reason):
                return Refusal(reason=reason)

    def join(self, attempt_id: str) -> Placed | AnswerDiscarded:
        """Return the placement on the attempt that has claimed a ticket."""
        attempt = self.executor.find(attempt_id)
        if attempt is None:
            return AnswerDiscarded()
        return Placed(attempt=attempt, is_new=False, wait=timedelta(0))

    def find_refusal(self, offer: Offer) -> Refusal | None:
        """Return why a new offer cannot run here at all, regardless of load."""
        if self.is_leaving():
            return Refusal(reason=RefusalReason.LEAVING)
        if offer.target not in self.serves or not offer.path.startswith("/"):
            return Refusal(reason=RefusalReason.NOT_SERVED)
        if offer.deadline_s <= 0:
            return Refusal(reason=RefusalReason.DEADLINE)
        if not self.executor.is_available():
            reason = RefusalReason.ENGINE_UNAVAILABLE
            return Refusal(reason=reason, retry_after=ENGINE_RETRY_AFTER)
        return None

    def admit(
        self, offer: Offer, ticket: Ticket | None
    ) -> Placed | AnswerDiscarded | Refusal:
        """Offer a job to the scheduler and, if it is admitted, claim the ticket.

        Notes
        -----
        The ticket is claimed last, so that only an admitted attempt claims it.  The
        two steps are not interrupted by other tasks.
        """
        job = self.make_job(offer)
        admission = self.executor.admit(job)
        if not admission.is_admitted:
            return Refusal(reason=admission.reason, retry_after=admission.retry_after)
        if ticket is not None:
            claimed = self.tickets.claim(ticket, offer.attempt_id)
            result = self.result_of_decision(ticket, claimed)
            if result is not None:
                self.executor.scheduler.remove(offer.attempt_id, is_finished=False)
                return result
        serial = ticket.serial if ticket else None
        attempt = self.executor.register(offer, job, serial=serial)
        return Placed(attempt=attempt, is_new=True, wait=admission.wait)

    def effective_declaration(self, offer: Offer) -> ClassDeclaration | None:
        """Return the class declaration that the scheduler uses for an offer."""
        entry = self.executor.scheduler.entries.get(offer.attempt_id)
        if entry is not None:
            return entry.declaration
        return self.declared_class(offer)

    def class_name_of(self, offer: Offer) -> str:
        """Return the class name of an offer, or the fleet's default class."""
        declarations = self.declarations(offer.revision_index)
        return offer.class_name or declarations.defaults.class_name

    def declared_class(self, offer: Offer) -> ClassDeclaration | None:
        """Return the declaration of an offer's class; None if it is not declared.

        The revision of the request applies.
        """
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

    def make_job(self, offer: Offer) -> Job:
        """Return the scheduler's job for an offer."""
        now = self.clock()
        seconds = min(offer.deadline_s, MAX_DEADLINE.total_seconds())
        return Job(
            attempt_id=offer.attempt_id,
            class_name=self.class_name_of(offer),
            workspace=offer.workspace,
            declaration=self.declared_class(offer),
            arrived=now,
            deadline=now + timedelta(seconds=seconds),
            prompt_bytes=len(offer.body),
        )
