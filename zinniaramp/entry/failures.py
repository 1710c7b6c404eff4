"""What callers are told of requests that did not get their answer."""

from collections.abc import Sequence
from dataclasses import dataclass

from ..contracts import Outcome, RefusalReason
from ..tickets import Ticket
from .attempt import AttemptKind, AttemptResult
from .errors import CallerError, ErrorCode
from .requests import TICKET_HEADER

__all__ = [
    "Reason",
    "host_unreachable",
    "may_have_run",
    "reason_for",
    "ticket_gone",
    "ticket_mismatch",
    "ticket_required",
]

BUSY_REASONS = {RefusalReason.OVERLOADED, RefusalReason.DEADLINE}
"""Refusals that mean too much work for the endpoints there are."""

TICKET_REASONS = {
    RefusalReason.TICKET_INVALID,
    RefusalReason.TICKET_EXPIRED,
    RefusalReason.CANCELLED_BEFORE,
}
"""Refusals that another try with the same ticket would meet again."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Reason:
    """Why no attempt succeeded, as a caller is told."""

    status: int
    code: ErrorCode
    message: str


_TOO_LATE = Reason(
    status=503,
    code=ErrorCode.DEADLINE_EXCEEDED,
    message="no answer came before the deadline",
)
_NO_ENDPOINT = Reason(
    status=503,
    code=ErrorCode.NO_ENDPOINT,
    message="no endpoint can take the request now",
)
_BUSY = Reason(
    status=429,
    code=ErrorCode.OVERLOADED,
    message="every endpoint that was asked is too busy",
)


def reason_for(
    last: AttemptResult | None, refusals: Sequence[AttemptResult], *, is_late: bool
) -> Reason:
    """Return why no attempt succeeded.

    Parameters
    ----------
    last : AttemptResult or None
        How the last attempt ended; None if there was none.
    refusals : sequence of AttemptResult
        Attempts that endpoints ruled out.
    is_late : bool
        Whether the deadline has passed.
    """
    if last is None:
        return _TOO_LATE if is_late else _NO_ENDPOINT
    if last.kind is AttemptKind.TIMED_OUT:
        return _TOO_LATE
    if not last.is_confirmed_not_run:
        return Reason(
            status=503,
            code=ErrorCode.ANSWER_FAILED,
            message=f"the answer failed: {last.reason}",
        )
    if any(one.reason in BUSY_REASONS for one in refusals):
        return _BUSY
    if last.reason in TICKET_REASONS:
        return Reason(
            status=409,
            code=ErrorCode.TICKET_REFUSED,
            message=f"refused: {last.reason}; fetch a new ticket",
        )
    return _NO_ENDPOINT


def may_have_run(ticket: str) -> CallerError:
    """Return the error of a request that may not be repeated and may have run."""
    return CallerError(
        status=502,
        code=ErrorCode.OUTCOME_UNKNOWN,
        message="the request may have run or not; ask the service, or send "
        "it again with the same ticket to learn its outcome",
        outcome=Outcome.UNKNOWN,
        ticket=ticket,
    )


def ticket_mismatch(ticket: Ticket) -> CallerError:
    """Return the error for a ticket of another class or workspace."""
    return CallerError(
        status=400,
        code=ErrorCode.TICKET_MISMATCH,
        message=f"the ticket is for class {ticket.class_name!r} and workspace "
        f"{ticket.workspace!r}; send the request with these",
        param=TICKET_HEADER,
    )


def host_unreachable(host: str) -> CallerError:
    """Return the error for a ticket whose host cannot be reached."""
    return CallerError(
        status=502,
        code=ErrorCode.OUTCOME_UNKNOWN,
        message=f"host {host!r}, which the ticket names, cannot be reached; send it "
        "again with the same ticket to learn its outcome",
        param=TICKET_HEADER,
        outcome=Outcome.UNKNOWN,
    )


def ticket_gone(ticket: Ticket) -> CallerError:
    """Return the error for a ticket whose incarnation is gone."""
    return CallerError(
        status=409,
        code=ErrorCode.TICKET_INCARNATION_GONE,
        message=f"{ticket.incarnation!r}, which the ticket names, is gone and the "
        "request may have run there; ask the service before a new ticket is used",
        param=TICKET_HEADER,
        outcome=Outcome.UNKNOWN,
    )


def ticket_required(ticket: str) -> CallerError:
    """Return the error that brings a fresh ticket."""
    return CallerError(
        status=428,
        code=ErrorCode.TICKET_REQUIRED,
        message=f"this class may not be repeated; send the request again with "
        f"{TICKET_HEADER}: {ticket}",
        param=TICKET_HEADER,
        outcome=Outcome.NOT_RUN,
        ticket=ticket,
    )
