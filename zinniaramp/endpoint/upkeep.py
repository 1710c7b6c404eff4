"""Attempts that are held or have been abandoned, and the end of their retention."""

from typing import TYPE_CHECKING

from ..contracts import Outcome, RefusalReason

if TYPE_CHECKING:
    from .executor import Executor

__all__ = ["clean_up_attempts", "hold_waiting"]


def hold_waiting(executor: "Executor") -> int:
    """Remove unstarted attempts from the scheduler; return how many are held.

    Notes
    -----
    Held attempts do not start until their entry process resumes them.  The
    silence timeouts of all attempts restart, because the engine may have sent
    data while this process was paused.
    """
    for attempt in executor.live():
        attempt.last_activity = executor.clock()
        if not attempt.is_dispatched:
            executor.scheduler.remove(attempt.attempt_id)
            executor.held.add(attempt.attempt_id)
    return len(executor.held)


def clean_up_attempts(executor: "Executor") -> None:
    """Cancel abandoned attempts and remove those whose retention has ended."""
    now = executor.clock()
    for attempt in executor.live():
        is_held = attempt.attempt_id in executor.held
        is_disconnected = attempt.disconnected_at is not None
        is_abandoned = (
            is_disconnected and now - attempt.disconnected_at > executor.resume_timeout
        )
        if is_abandoned and (is_held or attempt.is_repeatable):
            executor.cancel(attempt)
        elif is_held and now >= attempt.job.deadline:
            executor.end(attempt, Outcome.NOT_RUN, RefusalReason.DEADLINE)
    for attempt_id in executor.answers.remove_expired():
        attempt = executor.attempts.pop(attempt_id)
        if attempt.is_dispatched and not executor.expired_attempts.add(attempt_id):
            executor.unrecorded_until = now + executor.expired_attempts.retention
        for alias in attempt.deliveries:
            executor.aliases.pop(alias, None)
