"""Event loop whose clock advances to the next timer instead of waiting for it."""

import asyncio
import selectors
from datetime import UTC, datetime, timedelta

__all__ = ["VirtualTimeLoop"]

START = datetime(2026, 1, 1, tzinfo=UTC)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop for tasks that wait only for each other and for timers.

    Attributes
    ----------
    seconds : float
        Virtual time since the loop was created.
    """

    def __init__(self):
        self.seconds = 0.0
        super().__init__(_AdvancingSelector(self))

    def time(self):
        """Return the virtual time in seconds."""
        return self.seconds

    def clock(self):
        """Return the virtual time as a date; a `Clock`."""
        return START + timedelta(seconds=self.seconds)


class _AdvancingSelector(selectors.SelectSelector):
    """Selector that advances the loop's clock by the time it would wait."""

    def __init__(self, loop):
        super().__init__()
        self.loop = loop

    def select(self, timeout=None):
        """Return the ready files; advance the clock if there are none."""
        if timeout is None:
            raise RuntimeError("all tasks wait, and no timer is set")
        ready = super().select(0)
        if not ready:
            self.loop.seconds += max(0, timeout)
        return ready
