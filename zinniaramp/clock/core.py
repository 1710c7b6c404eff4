"""Clock interface, and the monotonic clock that the processes use."""

import time
from collections.abc import Callable
from datetime import UTC, datetime, timedelta

__all__ = ["Clock", "monotonic_clock"]

Clock = Callable[[], datetime]
"""Function without parameters that returns the current time, timezone-aware in UTC."""


def monotonic_clock() -> Clock:
    """Return a clock whose time never decreases.

    Returns
    -------
    Clock
        Wall-clock time of this call, plus the monotonic time elapsed since then.

    Notes
    -----
    The host may step its wall clock.  A step does not affect deadlines, because a
    process computes and checks all of them with this one clock.
    """
    anchor = datetime.now(UTC)
    started = time.monotonic()

    def now() -> datetime:
        return anchor + timedelta(seconds=time.monotonic() - started)

    return now
