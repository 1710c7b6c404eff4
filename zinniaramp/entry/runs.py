"""Processing of one request, from the first attempt to its outcome."""

import asyncio
from dataclasses import dataclass
from datetime import timedelta

from result import Err, Ok

from ..answers import new_attempt_id
from ..contracts import Offer, Outcome, RefusalReason
from ..observability import emit
from ..routing import retry_after
from ..tickets import Ticket, verify_ticket
from .attempt import CREDIT_WINDOW, Attempt, AttemptKind, AttemptResult, Sink
from .errors import CallerError
from .events import ATTEMPT_ENDED
from .failures import (
    failure_reason,
    host_unreachable,
    incarnation_gone,
    outcome_unknown,
    shutting_down,
    ticket_mismatch,
    ticket_required,
)
from .metrics import Timeline
from .peers import Peer
from .requests import Call
from .ticketing import issue_ticket

__all__ = ["RequestResult", "RequestRun"]

CONFIRM_TIMEOUT = timedelta(seconds=0.25)
"""Timeout for endpoints to confirm that the attempts of a failed request never ran."""

HIGHEST_TIER = 1
"""Number of the tier with the highest priority."""


@dataclass(slots=True, kw_only=True, frozen=True)
class RequestResult:
    """Outcome of a request and the error for its caller.

    Parameters
    ----------
    outcome : Outcome or None
        The outcome; None if the request was invalid and no attempt was made.
    error : CallerError or None
        Error for the caller; None if the outcome is ``done``.
    """

    outcome: Outcome | None
    error: CallerError | None = None


class RequestRun:
    """Makes the attempts of one request and determines its outcome.

    Parameters
    ----------
    router : Router
        Chooses endpoints; holds the state shared by all requests.
    call : Call
        The validated request.
    sink : Sink
        Receives the answer.

    Attributes
    ----------
    attempts : list of Attempt
        Attempts offered so far.
    unconfirmed : list of Attempt
        Attempts that failed without confirmation that they never ran.
    refusals : list of AttemptResult
        Results of attempts that are confirmed not to have run.
    ticket : str
        Ticket issued on behalf of the caller.  Cleared when the request is
        confirmed not to have run, so that the caller cannot use it later.
    """

    def __init__(self, *, router, call: Call, sink: Sink):
        self.router = router
        self.call = call
        self.sink = sink
        self.first_id = new_attempt_id(host="none")
        self.attempts: list[Attempt] = []
        self.unconfirmed: list[Attempt] = []
        self.refusals: list[AttemptResult] = []
        self.last_result: AttemptResult | None = None
        self.ticket = ""
        self.timeline = Timeline(class_declaration=call.class_declaration)

    @property
    def request_id(self) -> str:
        """Request id sent to the caller: the id of the latest attempt, if any."""
        if self.attempts:
            return self.attempts[-1].attempt_id
        return self.first_id.request

    async def run(self) -> RequestResult:
        """Process the request and return its outcome."""
        try:
            match verify_ticket(self.call.ticket, key=self.router.key):
                case Ok(ticket):
                    return await self.run_with_ticket(ticket)
                case Err(_) if self.call.class_declaration.repeatable:
                    return await self.run_repeatable()
                case Err(_):
                    return await self.run_without_ticket()
        finally:
            for attempt in self.attempts:
                attempt.cancel()
                attempt.close()

    async def run_repeatable(self) -> RequestResult:
        """Make attempts at different endpoints until one succeeds or a limit applies.

        The limits are the number of attempts, the deadline and the retry budget.
        """
        defaults = self.call.declarations.defaults
        self.router.budget.deposit(defaults.retry_budget)
        tried: set[str] = set()
        while (
            self.count_limited_attempts() < defaults.attempts and self.remaining_s() > 0
        ):
            peer = await self.router.choose(self.call, self.next_attempt_id, tried)
            if peer is None:
                break
            tried.add(peer.address)
            result = await self.attempt(peer, ticket="")
            if result.kind is AttemptKind.DONE:
                return RequestResult(outcome=Outcome.DONE)
            if not self.sink.reset():
                return await self.resolve_failure()
            needs_no_budget = result.is_confirmed_not_run
            if not needs_no_budget and not self.router.budget.withdraw():
                break
        return await self.resolve_failure()

    def count_limited_attempts(self) -> int:
        """Return the number of attempts that count towards the limit on attempts.

        Notes
        -----
        A refusal costs no work, so the refusals of a request in the highest tier do
        not count.  It is offered to every usable endpoint before its caller is
        refused, since a request of a lower tier may occupy a slot at any of them.
        """
        is_highest_tier = self.call.class_declaration.tier == HIGHEST_TIER
        return len(self.attempts) - (len(self.refusals) if is_highest_tier else 0)

    async def run_with_ticket(self, ticket: Ticket) -> RequestResult:
        """Make one attempt at the incarnation named by the caller's ticket.

        Notes
        -----
        A ticket is also honoured for a repeatable class, because the class may have
        been non-repeatable when the ticket was first used.
        """
        declared = (self.call.class_declaration.name, self.call.workspace)
        if declared != (ticket.class_name, ticket.workspace):
            return RequestResult(outcome=None, error=ticket_mismatch(ticket))
        host = ticket.incarnation.partition("/")[0]
        peer = await self.router.peers.connect(host)
        if peer is None:
            return RequestResult(outcome=Outcome.UNKNOWN, error=host_unreachable(host))
        if peer.incarnation != ticket.incarnation:
            return RequestResult(
                outcome=Outcome.UNKNOWN, error=incarnation_gone(ticket)
            )
        self.router.log_choice(self.call, self.next_attempt_id(peer.host), peer, [peer])
        result = await self.attempt(peer, ticket=self.call.ticket)
        if result.kind is AttemptKind.DONE:
            return RequestResult(outcome=Outcome.DONE)
        return await self.resolve_failure(has_caller_ticket=True)

    async def run_without_ticket(self) -> RequestResult:
        """Obtain a ticket, and use it at once if tickets are optional for the class.

        Otherwise the ticket is returned to the caller in an error.
        """
        issued = await issue_ticket(self.router, self.call, self.first_id.request)
        if issued is None:
            return await self.resolve_failure()
        is_optional = self.call.class_declaration.ticket == "optional"
        if self.call.ticket or not is_optional:
            return RequestResult(
                outcome=Outcome.NOT_RUN, error=ticket_required(issued.ticket)
            )
        self.ticket = issued.ticket
        result = await self.attempt(issued.peer, ticket=issued.ticket)
        if result.kind is AttemptKind.DONE:
            return RequestResult(outcome=Outcome.DONE)
        return await self.resolve_failure()

    def next_attempt_id(self, host: str) -> str:
        """Return the id of the next attempt if it is made at `host`."""
        return f"{self.first_id.request}.{len(self.attempts)}.{host}"

    async def attempt(self, peer: Peer, *, ticket: str) -> AttemptResult:
        """Make one attempt and record its result."""
        attempt = Attempt(
            peer=peer,
            attempt_id=self.next_attempt_id(peer.host),
            sink=self.sink,
            timeline=self.timeline,
            clock=self.router.clock,
            arrived=self.call.arrived,
            deadline=self.call.deadline,
        )
        self.attempts.append(attempt)
        result = await attempt.offer(self.build_offer(attempt.attempt_id, ticket))
        self.last_result = result
        self.router.record_result(peer, result)
        if result.kind is AttemptKind.DONE:
            return result
        emit(
            ATTEMPT_ENDED,
            attempt=attempt.attempt_id,
            result=result.kind,
            reason=result.reason,
            delivered=attempt.assembly.next_sequence,
        )
        if result.is_confirmed_not_run:
            self.refusals.append(result)
        else:
            attempt.cancel()
            self.unconfirmed.append(attempt)
        return result

    def build_offer(self, attempt_id: str, ticket: str) -> Offer:
        """Return the offer message for an attempt."""
        call = self.call
        return Offer(
            attempt_id=attempt_id,
            target=call.target,
            class_name=call.class_declaration.name,
            workspace=call.workspace,
            revision_index=call.declarations.revision.index,
            deadline_s=self.remaining_s(),
            ticket=ticket,
            method=call.method,
            path=call.path,
            headers=call.headers,
            body=call.body,
            credit=CREDIT_WINDOW,
        )

    def remaining_s(self) -> float:
        """Return the time until the request's deadline, in seconds; at least 0."""
        left = self.call.deadline - self.router.clock()
        return max(0.0, left.total_seconds())

    async def resolve_failure(
        self, *, has_caller_ticket: bool = False
    ) -> RequestResult:
        """Return the result of a request that has no answer.

        Parameters
        ----------
        has_caller_ticket : bool
            Whether the ticket came from the caller.  An earlier request may then
            have run with it, and only a refusal, which checks the ticket, proves
            that nothing ran.
        """
        is_not_run = await self.is_confirmed_not_run(has_caller_ticket)
        outcome = Outcome.NOT_RUN if is_not_run else Outcome.UNKNOWN
        if is_not_run:
            self.ticket = ""
        hints = [refusal.retry_after_s for refusal in self.refusals]
        retry_delay_s = retry_after(hints, self.router.random_source).total_seconds()
        return RequestResult(outcome=outcome, error=self.error(outcome, retry_delay_s))

    def result_at_exit(self) -> RequestResult:
        """Return the result of a request that is in progress when the process exits."""
        is_refused = len(self.refusals) == len(self.attempts)
        may_have_run = self.call.ticket and not self.is_ticket_confirmed_unused()
        is_not_run = is_refused and not may_have_run
        outcome = Outcome.NOT_RUN if is_not_run else Outcome.UNKNOWN
        if is_not_run:
            self.ticket = ""
        elif not self.call.class_declaration.repeatable:
            return RequestResult(outcome=outcome, error=outcome_unknown(self.ticket))
        delay_s = retry_after([], self.router.random_source).total_seconds()
        return RequestResult(outcome=outcome, error=shutting_down(outcome, delay_s))

    async def is_confirmed_not_run(self, has_caller_ticket: bool) -> bool:
        """Return whether all attempts are confirmed never to run."""
        if not self.unconfirmed:
            return not has_caller_ticket or self.is_ticket_confirmed_unused()
        if has_caller_ticket or any(one.is_ended for one in self.unconfirmed):
            return False
        try:
            async with asyncio.timeout(CONFIRM_TIMEOUT.total_seconds()):
                for attempt in self.unconfirmed:
                    if not await attempt.confirm_not_run():
                        return False
        except TimeoutError:
            return False
        return True

    def is_ticket_confirmed_unused(self) -> bool:
        """Return whether refusals prove that nothing runs with the caller's ticket."""
        reasons = [refusal.reason for refusal in self.refusals]
        return bool(reasons) and RefusalReason.TICKET_INVALID not in reasons

    def error(self, outcome: Outcome, retry_delay_s: float) -> CallerError:
        """Return the error for the caller of a request that has no answer."""
        if outcome is Outcome.UNKNOWN and not self.call.class_declaration.repeatable:
            return outcome_unknown(self.ticket)
        reason = failure_reason(
            self.last_result, self.refusals, is_past_deadline=self.remaining_s() == 0
        )
        return CallerError(
            status=reason.status,
            code=reason.code,
            message=f"{reason.message}; retry after {retry_delay_s:.0f} s",
            outcome=outcome,
            retry_after_s=retry_delay_s,
        )
