"""The clock interface and the clock that processes use."""

import time
from collections.abc import Callable
from datetime import UTC, datetime, timedelta

__all__ = ["Clock", "monotonic_clock"]

Clock = Callable[[], datetime]
"""A function without arguments that returns an aware UTC time."""


def monotonic_clock() -> Clock:
    """Return a clock that never steps back.

    Returns
    -------
    Clock
        Reads the wall clock once, then adds the monotonic time that has passed.

    Notes
    -----
    The wall clock may be stepped by the host; every deadline in a process is
    compared with times of this one clock, so a step changes nothing.
    """
    anchor = datetime.now(UTC)
    started = time.monotonic()

    def now() -> datetime:
        return anchor + timedelta(seconds=time.monotonic() - started)

    return now
