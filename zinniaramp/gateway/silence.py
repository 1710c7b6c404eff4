"""Time for which an endpoint may be silent before a request is retried."""

from datetime import timedelta

from ..routes import RetryPolicy, Route

__all__ = ["find_silence_timeout"]

SILENCE_TIMEOUT_SHARE = 0.5
"""Share of the remaining time that an endpoint may stay silent before a retryable
request without a stream is sent to another one.  Half leaves the second endpoint as
much time as the first."""

FIRST_EVENT_TIMEOUT_TARGETS = 2
"""Timeout for the first event of a resumable stream, as a multiple of the route's
target latency."""

NEXT_EVENT_TIMEOUT_GAPS = 4
"""Timeout for each further event of a resumable stream, as a multiple of the route's
target gap.  Callers wait for eight gaps."""


def find_silence_timeout(
    route: Route, *, sends: int, left: timedelta, has_started: bool
) -> timedelta | None:
    """Return the timeout for the next message of an answer; None if there is none.

    Parameters
    ----------
    route : Route
        Route of the request.
    sends : int
        Sends of the request so far.
    left : timedelta
        Time until its deadline.
    has_started : bool
        Whether an event of its stream has arrived.
    """
    if route.repeat is RetryPolicy.NEVER or sends >= route.max_attempts:
        return None
    if not route.streams:
        return left * SILENCE_TIMEOUT_SHARE
    if has_started:
        return route.gap_target * NEXT_EVENT_TIMEOUT_GAPS or None
    return route.target * FIRST_EVENT_TIMEOUT_TARGETS or None
