"""Every admitted attempt of a lower class starts, resumes or ends within a bound.

The highest tier goes before all others, so nothing starves it; how long one of
its attempts may wait is its class's own deadline.
"""

from collections.abc import Iterator

from .breaches import Breach, Guarantee
from .queues import PAUSED, WAITING, HeldAttempt, Queues, rebuild
from .records import History, Limits, LogLine

__all__ = ["check_progress"]

HIGHEST_TIER = 1
"""Tier that is served first."""


def check_progress(history: History, limits: Limits) -> Iterator[Breach]:
    """Yield attempts that waited, or were paused, for longer than the bound."""
    for process, lines in history.logs.items():
        queues = Queues()
        for line, queues in rebuild(lines):
            yield from _judge_end_of_wait(process, line, queues, limits)
        if lines:
            for one in queues.in_state(WAITING, PAUSED):
                yield from _judge(process, one, lines[-1].time, limits)


def _judge_end_of_wait(
    process: str, line: LogLine, queues: Queues, limits: Limits
) -> Iterator[Breach]:
    is_end = line.name in ("attempt-scheduled", "attempt-ended")
    one = queues.held.get(line.get("attempt")) if is_end else None
    if one is not None and one.state in (WAITING, PAUSED):
        yield from _judge(process, one, line.time, limits)


def _judge(
    process: str, one: HeldAttempt, now: float, limits: Limits
) -> Iterator[Breach]:
    waited = now - one.since
    if waited > limits.progress_s and one.tier > HIGHEST_TIER:
        yield Breach(
            promise=Guarantee.STARVATION,
            subject=one.attempt,
            evidence=f"{one.class_name} at {process} was {one.state} for "
            f"{waited:.1f} s; the bound is {limits.progress_s:.1f} s",
        )
