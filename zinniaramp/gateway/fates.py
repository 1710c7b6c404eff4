"""What became of one send."""

from dataclasses import dataclass
from enum import Enum

from .messages import AnswerFacts
from .upstream import AnswerHead

__all__ = ["Fate", "SendResult", "judge"]

PROMISES = frozenset((408, 421, 429, 503))
"""Statuses that tell a caller that the request has not run."""

FIRST_SUCCESS, FIRST_FAILURE = 200, 400
"""Lowest statuses of an answer, and of one that says that the request failed."""


class Fate(Enum):
    """Whether a send has run, as far as it is known."""

    NOT_SENT = "not-sent"
    NOT_RUN = "not-run"
    ANSWERED = "answered"
    FAILED = "failed"
    UNKNOWN = "unknown"


@dataclass(slots=True, kw_only=True)
class SendResult:
    """How one send ended.

    Parameters
    ----------
    fate : Fate
        Whether it has run.
    problem : str
        What went wrong, for the log.
    head : AnswerHead or None
        Status and headers that may be passed on.
    body : bytes
        Body that may be passed on.
    """

    fate: Fate
    problem: str = ""
    head: AnswerHead | None = None
    body: bytes = b""

    @property
    def status(self) -> int | None:
        """Status that the endpoint gave."""
        return self.head.status if self.head else None


def judge(head: AnswerHead, facts: AnswerFacts, request_id: str) -> SendResult:
    """Say what an endpoint's status and headers mean for a request.

    Parameters
    ----------
    head : AnswerHead
        Status and headers.
    facts : AnswerFacts
        What they say.
    request_id : str
        Id of the request that was sent.

    Returns
    -------
    SendResult
        `Fate.ANSWERED` and `Fate.FAILED` with a head that may be passed on once the
        body is whole.
    """
    if facts.request_id and facts.request_id != request_id:
        return SendResult(fate=Fate.UNKNOWN, problem="answer to another request")
    if "Content-Encoding" in head.headers:
        return SendResult(fate=Fate.UNKNOWN, problem="answer in an encoding")
    if facts.says_not_run and head.status >= FIRST_FAILURE:
        return SendResult(fate=Fate.NOT_RUN, head=head)
    if not FIRST_SUCCESS <= head.status < FIRST_FAILURE:
        return _judge_failure(head)
    if not facts.is_signed or not facts.request_id:
        return SendResult(fate=Fate.UNKNOWN, problem="success without signature or id")
    return SendResult(fate=Fate.ANSWERED, head=head)


def _judge_failure(head: AnswerHead) -> SendResult:
    if head.status in PROMISES:
        problem = "a status that promises not-run, without the endpoint's word"
        return SendResult(fate=Fate.UNKNOWN, problem=problem)
    return SendResult(fate=Fate.FAILED, head=head)
