"""Which running job gives up its slot."""

from collections.abc import Iterable

from .entries import Entry

__all__ = ["choose_victim"]

CLOCK_STEP_S = 1e-6
"""Resolution in seconds of the times that the process sleeps until."""


def choose_victim(running: Iterable[Entry], *, tier: int, now: float) -> Entry | None:
    """Return the job to pause for one of a tier, or None.

    Notes
    -----
    Only jobs of higher-numbered tiers, of preemptible and repeatable classes and
    past their floor's quantum qualify.  Of these the highest-numbered tier goes
    first; inside it the job with the fewest tokens, whose state costs least to
    rebuild should the engine evict it, and then the one that started last.
    """
    candidates = [
        entry
        for entry in running
        if entry.tier > tier
        and entry.is_pausable
        and entry.protected_until <= now + CLOCK_STEP_S
    ]
    return min(
        candidates,
        key=lambda entry: (-entry.tier, entry.job.tokens, -entry.started_at),
        default=None,
    )
