"""Pressure of a data centre: how far waiting there threatens the callers' targets."""

import math
from datetime import datetime, timedelta

__all__ = ["CALM_SHARE", "Pressure", "used_share"]

CALM_SHARE = 0.15
"""Share of the time up to the target that a caller may wait without harm.  With 0.25
queues at home made 16 of 27,189 plain requests late in a trial, with 0.15 none."""

FULL_SHARE = 0.5
"""Share of the time up to the target at which every request may leave.  A wait that is
twice as long as predicted just meets the target then."""

RISE = timedelta(milliseconds=150)
"""Time constant of a rising pressure.  It exceeds the 100 ms by which reports of load
may be delayed, so that a gateway sees the effect of what the others have sent."""

FALL = timedelta(seconds=1)
"""Time constant of a falling pressure.  It is longer than `RISE`, so that a queue that
has just become short does not fill up again at once."""


def used_share(wait_ms: float, service_ms: float, target_ms: float) -> float:
    """Return the share of the time up to a target that is spent waiting.

    Parameters
    ----------
    wait_ms : float
        Predicted wait in milliseconds.
    service_ms : float
        Time of the response without a wait, in milliseconds.
    target_ms : float
        Target in milliseconds.

    Returns
    -------
    float
        1 or more if the target is missed because of the wait; 0 without a wait.
    """
    if wait_ms <= 0:
        return 0.0
    return wait_ms / max(target_ms - service_ms, wait_ms / 10, 1.0)


class Pressure:
    """Smoothed share of requests that may leave a data centre.

    Attributes
    ----------
    value : float
        0 while no target is threatened, 1 if every request may leave.
    changed_at : datetime or None
        When `value` was last computed.
    """

    __slots__ = ("value", "changed_at")

    def __init__(self):
        self.value = 0.0
        self.changed_at: datetime | None = None

    def record(self, share: float, now: datetime) -> None:
        """Record the share of the time up to the target that a request would wait.

        Parameters
        ----------
        share : float
            Result of `used_share` at the best endpoint of the data centre.
        now : datetime
            Current time.
        """
        raw = (share - CALM_SHARE) / (FULL_SHARE - CALM_SHARE)
        raw = min(1.0, max(0.0, raw))
        if self.changed_at is not None:
            time_constant = RISE if raw > self.value else FALL
            elapsed = (now - self.changed_at) / time_constant
            self.value += (raw - self.value) * -math.expm1(-elapsed)
        self.changed_at = now
