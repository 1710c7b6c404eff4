"""Error responses for requests that ended without an answer."""

from collections.abc import Sequence
from dataclasses import dataclass

from ..contracts import Outcome, RefusalReason
from ..tickets import Ticket
from .attempt import AttemptKind, AttemptResult
from .errors import CallerError, ErrorCode
from .requests import TICKET_HEADER

__all__ = [
    "FailureReason",
    "failure_reason",
    "host_unreachable",
    "incarnation_gone",
    "outcome_unknown",
    "shutting_down",
    "ticket_mismatch",
    "ticket_required",
]

OVERLOAD_REASONS = {RefusalReason.OVERLOADED, RefusalReason.DEADLINE}
"""Refusal reasons that mean that the endpoints are overloaded."""

TICKET_REASONS = {
    RefusalReason.TICKET_INVALID,
    RefusalReason.TICKET_EXPIRED,
    RefusalReason.CANCELLED_BEFORE,
}
"""Refusal reasons that a retry with the same ticket would receive again."""


@dataclass(slots=True, kw_only=True, frozen=True)
class FailureReason:
    """Status, code and message of the error when no attempt succeeded."""

    status: int
    code: ErrorCode
    message: str


_DEADLINE_EXCEEDED = FailureReason(
    status=503,
    code=ErrorCode.DEADLINE_EXCEEDED,
    message="no answer was received before the deadline",
)
_NO_ENDPOINT = FailureReason(
    status=503,
    code=ErrorCode.NO_ENDPOINT,
    message="no endpoint can accept the request now",
)
_OVERLOADED = FailureReason(
    status=429,
    code=ErrorCode.OVERLOADED,
    message="every endpoint that was tried is overloaded",
)


def failure_reason(
    last: AttemptResult | None,
    refusals: Sequence[AttemptResult],
    *,
    is_past_deadline: bool,
) -> FailureReason:
    """Return the status, code and message of the error response.

    Parameters
    ----------
    last : AttemptResult or None
        Result of the last attempt; None if there was none.
    refusals : sequence of AttemptResult
        Results of attempts that are confirmed not to have run.
    is_past_deadline : bool
        Whether the deadline has passed.
    """
    if last is None:
        return _DEADLINE_EXCEEDED if is_past_deadline else _NO_ENDPOINT
    if last.kind is AttemptKind.TIMED_OUT:
        return _DEADLINE_EXCEEDED
    if not last.is_confirmed_not_run:
        return FailureReason(
            status=503,
            code=ErrorCode.ANSWER_FAILED,
            message=f"the answer failed: {last.reason}",
        )
    if any(refusal.reason in OVERLOAD_REASONS for refusal in refusals):
        return _OVERLOADED
    if last.reason in TICKET_REASONS:
        return FailureReason(
            status=409,
            code=ErrorCode.TICKET_REFUSED,
            message=f"refused: {last.reason}; fetch a new ticket",
        )
    return _NO_ENDPOINT


def outcome_unknown(ticket: str) -> CallerError:
    """Return the error for a non-repeatable request that may have run."""
    return CallerError(
        status=502,
        code=ErrorCode.OUTCOME_UNKNOWN,
        message="the request may or may not have run; query the service, or "
        "send it again with the same ticket to learn its outcome",
        outcome=Outcome.UNKNOWN,
        ticket=ticket,
    )


def shutting_down(outcome: Outcome, retry_delay_s: float) -> CallerError:
    """Return the error for a request that is not complete when the process exits."""
    return CallerError(
        status=503,
        code=ErrorCode.SHUTTING_DOWN,
        message="the entry process exits before the request is complete; retry after "
        f"{retry_delay_s:.0f} s",
        outcome=outcome,
        retry_after_s=retry_delay_s,
    )


def ticket_mismatch(ticket: Ticket) -> CallerError:
    """Return the error for a ticket issued for another class or workspace."""
    return CallerError(
        status=400,
        code=ErrorCode.TICKET_MISMATCH,
        message=f"the ticket is for class {ticket.class_name!r} and workspace "
        f"{ticket.workspace!r}; send the request with both of these",
        param=TICKET_HEADER,
    )


def host_unreachable(host: str) -> CallerError:
    """Return the error for a ticket whose host cannot be reached."""
    return CallerError(
        status=502,
        code=ErrorCode.OUTCOME_UNKNOWN,
        message=f"host {host!r}, named by the ticket, cannot be reached; send the "
        "request again with the same ticket to learn its outcome",
        param=TICKET_HEADER,
        outcome=Outcome.UNKNOWN,
    )


def incarnation_gone(ticket: Ticket) -> CallerError:
    """Return the error for a ticket of an endpoint process that no longer runs."""
    return CallerError(
        status=409,
        code=ErrorCode.TICKET_INCARNATION_GONE,
        message=f"{ticket.incarnation!r}, named by the ticket, no longer runs and the "
        "request may have run there; query the service before using a new ticket",
        param=TICKET_HEADER,
        outcome=Outcome.UNKNOWN,
    )


def ticket_required(ticket: str) -> CallerError:
    """Return the error that asks the caller to repeat the request with a ticket."""
    return CallerError(
        status=428,
        code=ErrorCode.TICKET_REQUIRED,
        message=f"requests of this class are not repeatable; send this one again with "
        f"{TICKET_HEADER}: {ticket}",
        param=TICKET_HEADER,
        outcome=Outcome.NOT_RUN,
        ticket=ticket,
    )
