"""Jobs, the answer to an offer, and the actions that a scheduler returns."""

from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import StrEnum

from ..contracts import RefusalReason
from ..declarations import ClassDeclaration

__all__ = [
    "Action",
    "Admission",
    "ExpireJob",
    "Job",
    "JobState",
    "PauseJob",
    "ResumeJob",
    "ShedJob",
    "StartJob",
]


class JobState(StrEnum):
    """Where a job is."""

    WAITING = "waiting"
    RUNNING = "running"
    PAUSED = "paused"


@dataclass(slots=True, kw_only=True)
class Job:
    """One admitted attempt.

    Parameters
    ----------
    attempt_id : str
        The attempt.
    class_name, workspace : str
        Names from the declarations.
    declaration : ClassDeclaration or None
        Its class under the request's revision; None to look it up in the one
        in force.
    arrived : datetime
        When the offer arrived.
    deadline : datetime
        When the request is given up.
    prompt_bytes : int
        Size of the request's body.
    state : JobState
        Where the job is.
    tokens : int
        Tokens generated so far.
    """

    attempt_id: str
    class_name: str
    workspace: str
    arrived: datetime
    deadline: datetime
    declaration: ClassDeclaration | None = None
    prompt_bytes: int = 0
    state: JobState = JobState.WAITING
    tokens: int = 0


@dataclass(slots=True, kw_only=True, frozen=True)
class Admission:
    """Answer to an offer.

    Parameters
    ----------
    is_admitted : bool
        Whether the job was taken.
    reason : RefusalReason or None
        Why not.
    wait : timedelta
        Predicted wait until it starts.
    retry_after : timedelta
        When a refused caller should come back.
    """

    is_admitted: bool
    reason: RefusalReason | None
    wait: timedelta
    retry_after: timedelta


@dataclass(slots=True, kw_only=True, frozen=True)
class StartJob:
    """Hand the job to the engine."""

    job: Job


@dataclass(slots=True, kw_only=True, frozen=True)
class PauseJob:
    """Have the engine pause the job; it has given up its slot."""

    job: Job


@dataclass(slots=True, kw_only=True, frozen=True)
class ResumeJob:
    """Have the engine resume the job."""

    job: Job


@dataclass(slots=True, kw_only=True, frozen=True)
class ExpireJob:
    """Give the job its final answer: its deadline passed before it started.

    Parameters
    ----------
    job : Job
        A job that was admitted and never started.
    retry_after : timedelta
        When its caller should come back.
    """

    job: Job
    retry_after: timedelta


@dataclass(slots=True, kw_only=True, frozen=True)
class ShedJob:
    """Give the job its final answer: its place went to a lower-numbered tier.

    Parameters
    ----------
    job : Job
        A job that was admitted and never started.
    retry_after : timedelta
        When its caller should come back.
    """

    job: Job
    retry_after: timedelta


Action = StartJob | PauseJob | ResumeJob | ExpireJob | ShedJob
