"""Checks that no accepted attempt of a lower tier waits for longer than a bound.

The highest tier is served before all others, so nothing can starve it.  The wait of
its attempts is limited by the deadline of their class instead.
"""

from collections.abc import Iterator

from .breaches import Breach, Guarantee
from .queues import PAUSED, WAITING, AcceptedAttempt, Queues, replay
from .records import History, Limits, LogLine

__all__ = ["check_progress"]

HIGHEST_TIER = 1
"""Tier that is served first."""


def check_progress(history: History, limits: Limits) -> Iterator[Breach]:
    """Yield attempts that waited, or were paused, for longer than the bound.

    An attempt that is still waiting or paused when its process's log ends is
    measured up to the last event of the log.
    """
    for process, lines in history.logs.items():
        queues = Queues()
        for line, queues in replay(lines):
            yield from _check_end_of_wait(process, line, queues, limits)
        if lines:
            for attempt in queues.in_state(WAITING, PAUSED):
                yield from _check_wait(process, attempt, lines[-1].time, limits)


def _check_end_of_wait(
    process: str, line: LogLine, queues: Queues, limits: Limits
) -> Iterator[Breach]:
    is_end = line.name in ("attempt-scheduled", "attempt-ended")
    attempt = queues.held.get(line.get("attempt")) if is_end else None
    if attempt is not None and attempt.state in (WAITING, PAUSED):
        yield from _check_wait(process, attempt, line.time, limits)


def _check_wait(
    process: str, attempt: AcceptedAttempt, now: float, limits: Limits
) -> Iterator[Breach]:
    wait_s = now - attempt.state_since
    if wait_s > limits.progress_s and attempt.tier > HIGHEST_TIER:
        yield Breach(
            guarantee=Guarantee.STARVATION,
            subject=attempt.attempt,
            evidence=f"{attempt.class_name} at {process} was {attempt.state} for "
            f"{wait_s:.1f} s; the bound is {limits.progress_s:.1f} s",
        )
