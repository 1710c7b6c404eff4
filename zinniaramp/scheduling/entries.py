"""Scheduling state of one admitted job."""

from dataclasses import dataclass

from ..declarations import ClassDeclaration
from .jobs import Job

__all__ = ["JobEntry", "OrderKey", "order_key"]

OrderKey = tuple[float, float, int]
"""Sort key of the jobs of one tier.

Target times of the first token and of the finish, in seconds of the process's
clock, then the offer number as a tie-break.
"""


@dataclass(slots=True, kw_only=True, eq=False)
class JobEntry:
    """One admitted job with the values that determine its order.

    Parameters
    ----------
    job : Job
        The job.
    declaration : ClassDeclaration
        Declaration of its class when the job was offered.
    key : OrderKey
        Sort key among the jobs of its tier; unchanged when it is paused.
    weight : float
        Weight of its workspace.
    predicted_tokens : float
        Total output length in tokens that was predicted when it was offered.
    prepaid_tokens : float
        Tokens charged to its workspace in advance and not generated yet.
    started_at : float
        When it last got a slot, in seconds of the process's clock.
    is_generating : bool
        Whether it has generated a token since it last got a slot.
    protected_until : float
        Time before which it is not paused, in seconds of the process's clock.
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
        """Service tier; 1 has the highest priority."""
        return self.declaration.tier

    @property
    def is_pausable(self) -> bool:
        """Whether its class allows it to be paused while it runs."""
        return self.declaration.is_pausable


def order_key(job: Job, declaration: ClassDeclaration, number: int) -> OrderKey:
    """Return a sort key that orders the jobs of a tier by least slack.

    Notes
    -----
    Slack is the target time minus the current time.  The current time is the
    same for all jobs, so sorting by slack is sorting by target time.
    """
    first_token_due = job.arrived + declaration.first_token
    finish_due = job.arrived + declaration.finish
    return (first_token_due.timestamp(), finish_due.timestamp(), number)
