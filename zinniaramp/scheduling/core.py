"""Decides what one engine runs; does no input or output itself.

The endpoint process tells the scheduler what happened and then carries out the
actions that `Scheduler.next_actions` returns.
"""

from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import StrEnum

from ..clock import Clock
from ..contracts import Load, RefusalReason
from ..declarations import Declarations

__all__ = [
    "Action",
    "Admission",
    "ExpireJob",
    "Job",
    "JobState",
    "PauseJob",
    "ResumeJob",
    "Scheduler",
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
    arrived : datetime
        When the offer arrived.
    deadline : datetime
        When the request is given up.
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
    """Give the job its final answer: its deadline passed while it waited."""

    job: Job


Action = StartJob | PauseJob | ResumeJob | ExpireJob


class Scheduler:
    """Decides the order in which one engine runs its jobs.

    Parameters
    ----------
    width : int
        Slots of the engine.
    declarations : Declarations
        Declarations in force.
    clock : Clock
        The process's clock.
    """

    def __init__(self, *, width: int, declarations: Declarations, clock: Clock):
        self.width = width
        self.declarations = declarations
        self.clock = clock
        self.jobs: dict[str, Job] = {}

    def use_declarations(self, declarations: Declarations) -> None:
        """Take a new revision into use for jobs offered from now on."""
        self.declarations = declarations

    def offer(self, job: Job) -> Admission:
        """Decide whether to take a job; a taken job waits for a slot."""
        self.jobs[job.attempt_id] = job
        none = timedelta(0)
        return Admission(is_admitted=True, reason=None, wait=none, retry_after=none)

    def next_actions(self) -> list[Action]:
        """Return what is to be done now and note it as done."""
        running = sum(job.state is JobState.RUNNING for job in self.jobs.values())
        waiting = [j for j in self.jobs.values() if j.state is JobState.WAITING]
        chosen = waiting[: max(0, self.width - running)]
        for job in chosen:
            job.state = JobState.RUNNING
        return [StartJob(job=job) for job in chosen]

    def next_wake(self) -> datetime | None:
        """Return when `next_actions` is due even if nothing happens before."""
        return None

    def note_tokens(self, attempt_id: str, count: int) -> None:
        """Note tokens that the engine has generated for a job."""
        if attempt_id in self.jobs:
            self.jobs[attempt_id].tokens += count

    def remove(self, attempt_id: str) -> JobState | None:
        """Forget a job that ended or was cancelled; return where it was."""
        job = self.jobs.pop(attempt_id, None)
        return job.state if job else None

    def load(self) -> Load:
        """Return the load digest to send to entries."""
        running = sum(job.state is JobState.RUNNING for job in self.jobs.values())
        return Load(
            running=running,
            width=self.width,
            queued=len(self.jobs) - running,
            queue_s=0,
            urgent_s=0,
            tokens_per_s=0,
        )
