"""Limits on concurrent prefill, during which an engine generates nothing.

An urgent job that arrives waits until the prefills that the engine has begun are
complete.  A long prompt of a lower-priority tier is therefore prefilled alone: it
starts when no other prefill runs, and no other lower-priority prefill starts until
it is complete or `MAX_BLOCK_S` have passed.  That costs little, because the engine
prefills prompts one after the other anyway.
"""

from collections.abc import Callable, Iterable

from .entries import JobEntry

__all__ = ["MAX_BLOCK_S", "earliest_block_end", "start_predicate"]

LONG_PROMPT_BYTES = 4096
"""Minimum size of a request body in bytes for its prompt to count as long."""

MAX_BLOCK_S = 2.0
"""Longest time in seconds for which one prefill delays others."""

EXEMPT_TIER = 1
"""Highest-priority tier, whose jobs are never delayed by a prefill."""


def _is_long(entry: JobEntry) -> bool:
    return entry.job.prompt_bytes >= LONG_PROMPT_BYTES


def _prefilling(running: Iterable[JobEntry], now: float) -> list[JobEntry]:
    return [
        entry
        for entry in running
        if entry.job.tokens == 0
        and entry.job.prompt_bytes > 0
        and now < entry.started_at + MAX_BLOCK_S
    ]


def earliest_block_end(running: Iterable[JobEntry], now: float) -> float | None:
    """Return the earliest time at which a prefill stops delaying jobs, or None.

    Parameters
    ----------
    running : iterable of JobEntry
        Running jobs.
    now : float
        Current time, in seconds of the process's clock.
    """
    block_ends = [entry.started_at + MAX_BLOCK_S for entry in _prefilling(running, now)]
    return min(block_ends, default=None)


def start_predicate(
    running: Iterable[JobEntry], now: float, *, is_overdue: bool = False
) -> Callable[[JobEntry], bool]:
    """Return a predicate for whether a queued job may start now.

    Parameters
    ----------
    running : iterable of JobEntry
        Running jobs.
    now : float
        Current time, in seconds of the process's clock.
    is_overdue : bool
        Whether the job's class has waited so long for its floor that only the
        prefill of a long prompt delays it.
    """
    prefilling = _prefilling(running, now)
    is_long_prefilling = any(_is_long(entry) for entry in prefilling)

    def check(entry: JobEntry) -> bool:
        if entry.tier == EXEMPT_TIER or entry.job.tokens > 0:
            return True
        if is_long_prefilling:
            return entry.job.prompt_bytes == 0
        return is_overdue or not prefilling or not _is_long(entry)

    return check
