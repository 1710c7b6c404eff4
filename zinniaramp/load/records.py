"""What one caller saw of one request."""

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import StrEnum

__all__ = ["CallerRecord", "CallerOutcome"]


class CallerOutcome(StrEnum):
    """How a request ended for its caller."""

    WHOLE = "whole"
    WRONG = "wrong"
    CUT = "cut"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    VANISHED = "vanished"
    UNANSWERED = "unanswered"


@dataclass(slots=True, kw_only=True)
class CallerRecord:
    """What one caller saw; times count from the planned send time.

    Parameters
    ----------
    mark : str
        The request.
    class_name, workspace : str
        Whose it was.
    offset : timedelta
        Planned send time, from the start of the run.
    fate : CallerOutcome
        How it ended.
    status : int
        Last HTTP status; 0 without an answer.
    code : str
        Error code of the last answer.
    outcome : str
        What the system said of the request.
    request_id : str
        Identity that the system gave.
    sends : int
        Times that the request was sent.
    first_token, finish : timedelta or None
        When the answer began and ended.
    gaps : list of timedelta
        Times between the arrivals of tokens.
    tokens : int
        Tokens received.
    was_told_not_run : bool
        Whether any answer said ``not-run``.
    not_run_answers : int
        Answers that said ``not-run``.
    url : str
        Entry process that the request was sent to.
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
