"""The record of one request by its caller."""

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import StrEnum

__all__ = ["CallerOutcome", "CallerRecord"]


class CallerOutcome(StrEnum):
    """How a request ended as its caller observed it.

    Attributes
    ----------
    WHOLE
        The answer is complete and has the expected content.
    WRONG
        The answer is complete, but its content is not the expected one.
    CUT
        The stream broke off before its end.
    REFUSED
        The last answer was a refusal (429 or 503).
    UNKNOWN
        The reported outcome is that the request may have been executed.
    VANISHED
        The caller disconnected on purpose.
    UNANSWERED
        None of the above: there was no answer, or another error.
    """

    WHOLE = "whole"
    WRONG = "wrong"
    CUT = "cut"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    VANISHED = "vanished"
    UNANSWERED = "unanswered"


@dataclass(slots=True, kw_only=True)
class CallerRecord:
    """One request as its caller observed it.

    Latencies are measured from the planned send time.

    Parameters
    ----------
    mark : str
        Unique text that identifies the request.
    class_name, workspace : str
        Class and workspace of the request.
    offset : timedelta
        Planned send time, from the start of the run.
    fate : CallerOutcome
        How it ended.
    status : int
        HTTP status of the last answer; 0 before the first.
    code : str
        Error code of the last answer that was not a success.
    outcome : str
        Outcome that the system reported last; empty if none.
    request_id : str
        Request identifier that the system reported.
    sends : int
        Number of times the request was sent.
    first_token, finish : timedelta or None
        Time to first token and time to the end of the last answer.
    gaps : list of timedelta
        Inter-token latencies.
    tokens : int
        Number of tokens received.
    was_told_not_run : bool
        Whether any answer was ``not-run``.
    not_run_answers : int
        Number of answers that were ``not-run``.
    url : str
        URL of the entry process to which the request was sent.
    planned : datetime or None
        Planned send time.
    """

    mark: str
    class_name: str
    workspace: str
    offset: timedelta
    fate: CallerOutcome = CallerOutcome.UNANSWERED
    status: int = 0
    code: str = ""
    outcome: str = ""
    request_id: str = ""
    sends: int = 0
    first_token: timedelta | None = None
    finish: timedelta | None = None
    gaps: list[timedelta] = field(default_factory=list)
    tokens: int = 0
    was_told_not_run: bool = False
    not_run_answers: int = 0
    url: str = ""
    planned: datetime | None = None
