"""Job order, admission control and preemption at one endpoint."""

from .core import (
    Action,
    Admission,
    ExpireJob,
    Job,
    JobState,
    PauseJob,
    ResumeJob,
    Scheduler,
    ShedJob,
    StartJob,
)

__all__ = [
    "Action",
    "Admission",
    "ExpireJob",
    "Job",
    "JobState",
    "PauseJob",
    "ResumeJob",
    "Scheduler",
    "ShedJob",
    "StartJob",
]
