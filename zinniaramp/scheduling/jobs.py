"""Jobs, admission results and the actions that the scheduler returns."""

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
    """Whether a job waits for its first slot, runs in a slot or is paused."""

    WAITING = "waiting"
    RUNNING = "running"
    PAUSED = "paused"


@dataclass(slots=True, kw_only=True)
class Job:
    """One attempt to be scheduled.

    Parameters
    ----------
    attempt_id : str
        Identifier of the attempt.
    class_name, workspace : str
        Names of the request's class and workspace.
    arrived : datetime
        When the offer arrived.
    deadline : datetime
        When the request expires.
    declaration : ClassDeclaration or None
        Declaration of the class under the request's revision; None to look it up
        in the revision in force.
    prompt_bytes : int
        Size of the request's body in bytes.
    state : JobState
        Current state.
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
    """Result of offering a job to the scheduler.

    Parameters
    ----------
    is_admitted : bool
        Whether the job was admitted.
    reason : RefusalReason or None
        Why the job was refused; None if it was admitted.
    wait : timedelta
        Predicted wait until the job starts.
    retry_after : timedelta
        How long a refused caller should wait before it retries.
    """

    is_admitted: bool
    reason: RefusalReason | None
    wait: timedelta
    retry_after: timedelta


@dataclass(slots=True, kw_only=True, frozen=True)
class StartJob:
    """Start the job at the engine."""

    job: Job


@dataclass(slots=True, kw_only=True, frozen=True)
class PauseJob:
    """Pause the job at the engine; its slot is already released."""

    job: Job


@dataclass(slots=True, kw_only=True, frozen=True)
class ResumeJob:
    """Resume the paused job at the engine."""

    job: Job


@dataclass(slots=True, kw_only=True, frozen=True)
class ExpireJob:
    """End the job as not run: its deadline passed before it started.

    Parameters
    ----------
    job : Job
        Admitted job that was never started.
    retry_after : timedelta
        How long its caller should wait before it retries.
    """

    job: Job
    retry_after: timedelta


@dataclass(slots=True, kw_only=True, frozen=True)
class ShedJob:
    """End the job as not run: a higher-priority job took its place in the queue.

    Parameters
    ----------
    job : Job
        Admitted job that was never started.
    retry_after : timedelta
        How long its caller should wait before it retries.
    """

    job: Job
    retry_after: timedelta


Action = StartJob | PauseJob | ResumeJob | ExpireJob | ShedJob
