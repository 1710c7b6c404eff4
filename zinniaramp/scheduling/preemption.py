"""Selection of the running job to preempt."""

from collections.abc import Iterable

from .entries import JobEntry

__all__ = ["choose_victim"]

CLOCK_RESOLUTION_S = 1e-6
"""Resolution in seconds of wakeup times; comparisons with them allow for it."""


def choose_victim(
    running: Iterable[JobEntry], *, tier: int, now: float
) -> JobEntry | None:
    """Return the running job to pause for a job of the given tier, or None.

    Notes
    -----
    Candidates are jobs of lower-priority tiers whose class is preemptible and
    repeatable and whose floor quantum, if any, is over.  The lowest-priority tier
    is chosen first; within it the job with the fewest tokens, because its KV
    cache is the cheapest to rebuild if the engine evicts it, and then the job
    that started last.
    """
    candidates = [
        entry
        for entry in running
        if entry.tier > tier
        and entry.is_pausable
        and entry.protected_until <= now + CLOCK_RESOLUTION_S
    ]
    return min(
        candidates,
        key=lambda entry: (-entry.tier, entry.job.tokens, -entry.started_at),
        default=None,
    )
