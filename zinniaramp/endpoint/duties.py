"""Detection of pauses of the whole process."""

from datetime import timedelta

from ..clock import Clock

__all__ = ["PauseDetector", "pause_threshold"]

MIN_PAUSE = timedelta(seconds=1)
"""Lower bound of the pause threshold."""


def pause_threshold(silence: timedelta) -> timedelta:
    """Return the pause length after which peers may have replaced their streams."""
    return max(MIN_PAUSE, silence)


class PauseDetector:
    """Detects that the whole process was stopped, for example when its host froze.

    Parameters
    ----------
    clock : Clock
        The process's clock; it must advance while the process is stopped.
    threshold : timedelta
        Longest time between two checks that is not treated as a pause.
    """

    __slots__ = ("clock", "threshold", "checked_at")

    def __init__(self, *, clock: Clock, threshold: timedelta):
        self.clock = clock
        self.threshold = threshold
        self.checked_at = clock()

    def gap(self) -> timedelta | None:
        """Return the time since the last check if it exceeds the threshold."""
        now = self.clock()
        gap = now - self.checked_at
        self.checked_at = now
        return gap if gap > self.threshold else None
