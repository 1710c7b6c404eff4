"""All attempts of one request, from its arrival to its outcome."""

import asyncio
from dataclasses import dataclass
from datetime import timedelta

from result import Err, Ok

from ..answers import new_attempt_id
from ..contracts import Offer, Outcome, RefusalReason
from ..observability import emit
from ..routing import retry_after
from ..tickets import Ticket, verify_ticket
from .attempt import CREDIT, Attempt, AttemptKind, AttemptResult, Sink
from .errors import CallerError
from .events import ATTEMPT_ENDED
from .failures import (
    host_unreachable,
    may_have_run,
    reason_for,
    ticket_gone,
    ticket_mismatch,
    ticket_required,
)
from .metrics import Timeline
from .peers import Peer
from .requests import Call
from .ticketing import issue_ticket

__all__ = ["Final", "RequestRun"]

CONFIRM_TIMEOUT = timedelta(seconds=0.25)
"""Longest wait, before giving up, for endpoints to say that nothing ran."""

HIGHEST_TIER = 1
"""Tier that is served first."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Final:
    """What becomes of a request.

    Parameters
    ----------
    outcome : Outcome or None
        The outcome; None if the request was wrong and nothing was tried.
    error : CallerError or None
        What the caller is told unless the outcome is ``done``.
    """

    outcome: Outcome | None
    error: CallerError | None = None


class RequestRun:
    """All attempts of one request.

    Parameters
    ----------
    router : Router
        Chooses endpoints; holds what requests share.
    call : Call
        The checked request.
    sink : Sink
        Takes the answer.

    Attributes
    ----------
    attempts : list of Attempt
        Attempts offered so far.
    ticket : str
        Ticket that was taken for the caller; empty once the request is known not
        to have run, so that nothing runs under it later.
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
        """Identity that the caller sees: the latest attempt's, if any."""
        if self.attempts:
            return self.attempts[-1].attempt_id
        return self.first_id.request

    async def run(self) -> Final:
        """Make attempts until the request has its outcome."""
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

    async def run_repeatable(self) -> Final:
        """Make attempts at different endpoints while there is reason to."""
        defaults = self.call.declarations.defaults
        self.router.budget.deposit(defaults.retry_budget)
        tried: set[str] = set()
        while self.counted_attempts() < defaults.attempts and self.remaining_s() > 0:
            peer = await self.router.choose(self.call, self.next_id, tried)
            if peer is None:
                break
            tried.add(peer.address)
            result = await self.attempt(peer, ticket="")
            if result.kind is AttemptKind.DONE:
                return Final(outcome=Outcome.DONE)
            if not self.sink.reset():
                return await self.give_up()
            is_free = result.is_confirmed_not_run
            if not is_free and not self.router.budget.withdraw():
                break
        return await self.give_up()

    def counted_attempts(self) -> int:
        """Return the attempts that count towards the most that may be made.

        Notes
        -----
        A refusal costs no work.  One of the highest tier is therefore brought to
        every endpoint that it may use before its caller is refused, since a
        lower class may hold a slot at any of them.
        """
        is_highest = self.call.class_declaration.tier == HIGHEST_TIER
        return len(self.attempts) - (len(self.refusals) if is_highest else 0)

    async def run_with_ticket(self, ticket: Ticket) -> Final:
        """Bring the request to the incarnation that its caller's ticket names.

        Notes
        -----
        A ticket counts in a class that may be repeated too: the class may have
        been declared otherwise when the ticket was first used.
        """
        declared = (self.call.class_declaration.name, self.call.workspace)
        if declared != (ticket.class_name, ticket.workspace):
            return Final(outcome=None, error=ticket_mismatch(ticket))
        host = ticket.incarnation.partition("/")[0]
        peer = await self.router.peers.reach(host)
        if peer is None:
            return Final(outcome=Outcome.UNKNOWN, error=host_unreachable(host))
        if peer.incarnation != ticket.incarnation:
            return Final(outcome=Outcome.UNKNOWN, error=ticket_gone(ticket))
        self.router.log_choice(self.call, self.next_id(peer.host), peer, [peer])
        result = await self.attempt(peer, ticket=self.call.ticket)
        if result.kind is AttemptKind.DONE:
            return Final(outcome=Outcome.DONE)
        return await self.give_up(is_ticket_brought=True)

    async def run_without_ticket(self) -> Final:
        """Take a ticket, and use it if the class lets this process do so."""
        issued = await issue_ticket(self.router, self.call, self.first_id.request)
        if issued is None:
            return await self.give_up()
        is_optional = self.call.class_declaration.ticket == "optional"
        if self.call.ticket or not is_optional:
            return Final(outcome=Outcome.NOT_RUN, error=ticket_required(issued.ticket))
        self.ticket = issued.ticket
        result = await self.attempt(issued.peer, ticket=issued.ticket)
        if result.kind is AttemptKind.DONE:
            return Final(outcome=Outcome.DONE)
        return await self.give_up()

    def next_id(self, host: str) -> str:
        """Return the identity of the next attempt at a host."""
        return f"{self.first_id.request}.{len(self.attempts)}.{host}"

    async def attempt(self, peer: Peer, *, ticket: str) -> AttemptResult:
        """Make one attempt and note how it ended."""
        attempt = Attempt(
            peer=peer,
            attempt_id=self.next_id(peer.host),
            sink=self.sink,
            timeline=self.timeline,
            clock=self.router.clock,
            arrived=self.call.arrived,
            deadline=self.call.deadline,
        )
        self.attempts.append(attempt)
        result = await attempt.offer(self.offer(attempt.attempt_id, ticket))
        self.last_result = result
        self.router.note_result(peer, result)
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

    def offer(self, attempt_id: str, ticket: str) -> Offer:
        """Return the offer of an attempt."""
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
            credit=CREDIT,
        )

    def remaining_s(self) -> float:
        """Return the seconds until the request is given up."""
        left = self.call.deadline - self.router.clock()
        return max(0.0, left.total_seconds())

    async def give_up(self, *, is_ticket_brought: bool = False) -> Final:
        """Return the final answer of a request that got none.

        Parameters
        ----------
        is_ticket_brought : bool
            Whether an earlier arrival may have run under the same ticket; then
            only a refusal, which looks at the ticket, proves that nothing ran.
        """
        is_not_run = await self.is_confirmed_not_run(is_ticket_brought)
        outcome = Outcome.NOT_RUN if is_not_run else Outcome.UNKNOWN
        if is_not_run:
            self.ticket = ""
        told = [one.retry_after_s for one in self.refusals]
        come_back = retry_after(told, self.router.random_source).total_seconds()
        return Final(outcome=outcome, error=self.error(outcome, come_back))

    async def is_confirmed_not_run(self, is_ticket_brought: bool) -> bool:
        """Tell whether every endpoint that was sent the request ruled it out."""
        if not self.unconfirmed:
            return not is_ticket_brought or self.is_ticket_ruled_out()
        if is_ticket_brought or any(one.is_ended for one in self.unconfirmed):
            return False
        try:
            async with asyncio.timeout(CONFIRM_TIMEOUT.total_seconds()):
                for attempt in self.unconfirmed:
                    if not await attempt.confirm_not_run():
                        return False
        except TimeoutError:
            return False
        return True

    def is_ticket_ruled_out(self) -> bool:
        """Tell whether a refusal says that nothing ran or will under the ticket."""
        reasons = [one.reason for one in self.refusals]
        return bool(reasons) and RefusalReason.TICKET_INVALID not in reasons

    def error(self, outcome: Outcome, come_back_s: float) -> CallerError:
        """Return what the caller of an unsuccessful request is told."""
        if outcome is Outcome.UNKNOWN and not self.call.class_declaration.repeatable:
            return may_have_run(self.ticket)
        reason = reason_for(
            self.last_result, self.refusals, is_late=self.remaining_s() == 0
        )
        return CallerError(
            status=reason.status,
            code=reason.code,
            message=f"{reason.message}; come back after {come_back_s:.0f} s",
            outcome=outcome,
            retry_after_s=come_back_s,
        )
