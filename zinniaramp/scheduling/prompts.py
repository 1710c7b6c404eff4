"""Reading of prompts, in which an engine generates nothing.

An urgent job that arrives waits until the prompts that the engine has begun to
read are read.  So a long prompt of a lower tier is read by itself: it starts when
no other prompt is being read, and no other lower-tier prompt starts meanwhile.
That costs little, as the engine would read them one after the other anyway.
"""

from collections.abc import Callable, Iterable

from .entries import Entry

__all__ = ["MAX_HOLD_S", "hold_end", "may_start"]

LONG_PROMPT_BYTES = 4096
"""Size of a request's body from which on its prompt counts as long."""

MAX_HOLD_S = 2.0
"""Longest time in seconds for which one prompt holds back others."""

FIRST_TIER = 1
"""Tier whose jobs are never held back."""


def _is_long(entry: Entry) -> bool:
    return entry.job.prompt_bytes >= LONG_PROMPT_BYTES


def _reading(running: Iterable[Entry], now: float) -> list[Entry]:
    return [
        entry
        for entry in running
        if entry.job.tokens == 0
        and entry.job.prompt_bytes > 0
        and now < entry.started_at + MAX_HOLD_S
    ]


def hold_end(running: Iterable[Entry], now: float) -> float | None:
    """Return until when prompts may be held back, or None.

    Parameters
    ----------
    running : iterable of Entry
        Jobs that hold slots.
    now : float
        Current time, in seconds of the process's clock.
    """
    ends = [entry.started_at + MAX_HOLD_S for entry in _reading(running, now)]
    return min(ends, default=None)


def may_start(
    running: Iterable[Entry], now: float, *, is_overdue: bool = False
) -> Callable[[Entry], bool]:
    """Return a function that tells whether a queued job may start now.

    Parameters
    ----------
    running : iterable of Entry
        Jobs that hold slots.
    now : float
        Current time, in seconds of the process's clock.
    is_overdue : bool
        Whether the job's class has waited so long for its floor that it is held
        back by long prompts only.
    """
    reading = _reading(running, now)
    reads_long = any(_is_long(entry) for entry in reading)

    def check(entry: Entry) -> bool:
        if entry.tier == FIRST_TIER or entry.job.tokens > 0:
            return True
        if reads_long:
            return entry.job.prompt_bytes == 0
        return is_overdue or not reading or not _is_long(entry)

    return check
