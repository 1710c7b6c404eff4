"""What this process may do at present: whether it is leaving or was paused."""

from datetime import timedelta

from ..clock import Clock

__all__ = ["PauseWatch", "pause_bound"]

LEAST_PAUSE = timedelta(seconds=1)
"""Shortest gap that is taken for a pause of the whole process."""


def pause_bound(silence: timedelta) -> timedelta:
    """Return the gap above which peers may have replaced this process's streams."""
    return max(LEAST_PAUSE, silence)


class PauseWatch:
    """Notices that the whole process did not run for a while.

    Parameters
    ----------
    clock : Clock
        The process's clock; it must go on while the process is stopped.
    bound : timedelta
        Shortest gap between two checks that is taken for a pause.
    """

    __slots__ = ("clock", "bound", "checked_at")

    def __init__(self, *, clock: Clock, bound: timedelta):
        self.clock = clock
        self.bound = bound
        self.checked_at = clock()

    def gap(self) -> timedelta | None:
        """Return the pause since the last check, if there was one."""
        now = self.clock()
        gap = now - self.checked_at
        self.checked_at = now
        return gap if gap > self.bound else None
