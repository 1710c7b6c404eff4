"""What the scheduler keeps about one admitted job."""

from dataclasses import dataclass

from ..declarations import ClassDeclaration
from .jobs import Job

__all__ = ["Entry", "OrderKey", "order_key"]

OrderKey = tuple[float, float, int]
"""Sort key of jobs of one tier: first-token due, finish due, number."""


@dataclass(slots=True, kw_only=True, eq=False)
class Entry:
    """One admitted job with what its order depends on.

    Parameters
    ----------
    job : Job
        The job.
    declaration : ClassDeclaration
        Its class as it was when the job was offered.
    key : OrderKey
        Its place among the jobs of its tier; kept when it is paused.
    weight : float
        Its workspace's weight.
    predicted_tokens : float
        Tokens that it is predicted to generate from now on.
    prepaid_tokens : float
        Tokens charged to its workspace and not generated yet.
    started_at : float
        When it last got a slot, in seconds of the process's clock.
    is_generating : bool
        Whether it has generated a token since it last got a slot.
    protected_until : float
        Until when it may not be paused, in seconds of the process's clock.
    """

    job: Job
    declaration: ClassDeclaration
    key: OrderKey
    weight: float
    predicted_tokens: float
    prepaid_tokens: float = 0.0
    started_at: float = 0.0
    is_generating: bool = False
    protected_until: float = 0.0

    @property
    def tier(self) -> int:
        """Service tier; 1 is served first."""
        return self.declaration.tier

    @property
    def is_pausable(self) -> bool:
        """Whether it may ever be paused once it runs."""
        return self.declaration.is_pausable


def order_key(job: Job, declaration: ClassDeclaration, number: int) -> OrderKey:
    """Return a job's place among jobs of its tier: least slack first.

    Notes
    -----
    Slack is the time due less the current time.  The current time is the same
    for all jobs, so the order by slack is the order by time due.
    """
    first_token_due = job.arrived + declaration.first_token
    finish_due = job.arrived + declaration.finish
    return (first_token_due.timestamp(), finish_due.timestamp(), number)
