"""Order, admission and preemption at one endpoint."""

from .core import (
    Admission,
    ExpireJob,
    Job,
    JobState,
    PauseJob,
    ResumeJob,
    Scheduler,
    StartJob,
)

__all__ = [
    "Admission",
    "ExpireJob",
    "Job",
    "JobState",
    "PauseJob",
    "ResumeJob",
    "Scheduler",
    "StartJob",
]
