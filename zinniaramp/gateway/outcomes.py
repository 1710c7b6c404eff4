"""Outcome of one send: whether an endpoint has run the request."""

from dataclasses import dataclass
from enum import Enum

from ..routes import RetryPolicy, Route
from .messages import AnswerMetadata
from .upstream import AnswerHead, AnswerMessage

__all__ = [
    "SendOutcome",
    "SendResult",
    "classify_answer",
    "make_incomplete",
    "may_repeat",
]

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses from which a caller concludes that the request has not run.  An answer with
one of them counts as `SendOutcome.UNKNOWN` unless the endpoint states that it has not
run the request."""

MIN_SUCCESS_STATUS, MIN_ERROR_STATUS = 200, 400
"""Lowest status of a success, and lowest status of an error."""


class SendOutcome(Enum):
    """What is known about the execution of one send.

    Attributes
    ----------
    NOT_SENT
        No connection was made; nothing was sent.
    NOT_RUN
        The endpoint states that it has not run the request.
    ANSWERED
        The endpoint ran the request and answered with a signed success.
    FAILED
        The endpoint answered with an error of its own.
    UNKNOWN
        The request may or may not have run: the answer is missing, incomplete, or not
        trustworthy.
    """

    NOT_SENT = "not-sent"
    NOT_RUN = "not-run"
    ANSWERED = "answered"
    FAILED = "failed"
    UNKNOWN = "unknown"


@dataclass(slots=True, kw_only=True)
class SendResult:
    """Result of one send.

    Parameters
    ----------
    outcome : SendOutcome
        Whether the endpoint has run the request.
    problem : str
        Cause of a failure, for the log; empty on success.
    head : AnswerHead or None
        Status and headers that may be forwarded to the caller.
    body : bytes or bytearray
        Body that may be forwarded to the caller.
    is_closed : bool
        Whether the endpoint closed the connection before the end of a framed answer, or
        at the end of one without a length.
    answer_bytes : int
        Bytes of the body that were received.
    """

    outcome: SendOutcome
    problem: str = ""
    head: AnswerHead | None = None
    body: bytes | bytearray = b""
    is_closed: bool = False
    answer_bytes: int = 0

    @property
    def status(self) -> int | None:
        """HTTP status of the endpoint's answer; None if there is no usable answer."""
        return self.head.status if self.head else None


def classify_answer(
    head: AnswerHead, metadata: AnswerMetadata, request_id: str
) -> SendResult:
    """Derive the outcome of a send from an answer's status and headers.

    Parameters
    ----------
    head : AnswerHead
        Status and headers of the answer.
    metadata : AnswerMetadata
        The platform's headers, parsed.
    request_id : str
        Id of the request that was sent.

    Returns
    -------
    SendResult
        If its `head` is set, the answer may be forwarded once the body is complete.
        The outcome of an answer with another request's id, with a content encoding or
        with an unsigned success is `SendOutcome.UNKNOWN`, without a `head`.
    """
    if metadata.request_id and metadata.request_id != request_id:
        return SendResult(
            outcome=SendOutcome.UNKNOWN,
            problem="answer carries the id of another request",
        )
    if "Content-Encoding" in head.headers:
        return SendResult(
            outcome=SendOutcome.UNKNOWN, problem="answer has a Content-Encoding"
        )
    if metadata.reports_not_run and head.status >= MIN_ERROR_STATUS:
        return SendResult(outcome=SendOutcome.NOT_RUN, head=head)
    if not MIN_SUCCESS_STATUS <= head.status < MIN_ERROR_STATUS:
        return _classify_failure(head)
    if not metadata.is_signed or not metadata.request_id:
        return SendResult(
            outcome=SendOutcome.UNKNOWN,
            problem="success without signature or request id",
        )
    return SendResult(outcome=SendOutcome.ANSWERED, head=head)


def _classify_failure(head: AnswerHead) -> SendResult:
    if head.status in NOT_RUN_STATUSES:
        problem = "status implies not-run, but the endpoint does not state it"
        return SendResult(outcome=SendOutcome.UNKNOWN, problem=problem)
    return SendResult(outcome=SendOutcome.FAILED, head=head)


def make_incomplete(result: SendResult, message: AnswerMessage) -> SendResult:
    """Return the result of a send whose answer ends with a message before its end."""
    problem = getattr(message, "problem", "second status line")
    if result.outcome is SendOutcome.NOT_RUN:
        return SendResult(outcome=SendOutcome.NOT_RUN, problem=problem)
    return SendResult(outcome=SendOutcome.UNKNOWN, problem=problem)


def may_repeat(result: SendResult, route: Route, *, sends: int) -> bool:
    """Return whether a route permits another send after a number of them."""
    if result.outcome in (SendOutcome.ANSWERED, SendOutcome.NOT_SENT):
        return False
    is_repeatable = route.repeat is not RetryPolicy.NEVER
    may_have_run = result.outcome is not SendOutcome.NOT_RUN
    return sends < route.max_attempts and (is_repeatable or not may_have_run)
