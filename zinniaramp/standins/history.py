"""History of a value, from which reports with a configured age are served."""

from collections import deque
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any

from ..clock import Clock

__all__ = ["History", "LONGEST_LAG_SECONDS"]

LONGEST_LAG_SECONDS = 300
"""Largest age of a report that can be requested, in seconds."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Sample:
    """A value and the time at which it was set."""

    since: datetime
    value: Any


class History:
    """Keeps the values of the last `LONGEST_LAG_SECONDS`.

    Parameters
    ----------
    initial : object
        Value before the first change.
    clock : Clock
        The process's clock.
    """

    def __init__(self, *, initial: Any, clock: Clock):
        self.clock = clock
        self.samples = deque([Sample(since=clock(), value=initial)])

    def latest(self) -> Any:
        """Return the current value."""
        return self.samples[-1].value

    def previous(self) -> Any:
        """Return the value before the latest change, or the only one."""
        return self.samples[max(len(self.samples) - 2, 0)].value

    def record(self, value: Any) -> None:
        """Set a new value and drop samples too old for any report."""
        now = self.clock()
        self.samples.append(Sample(since=now, value=value))
        oldest = now - timedelta(seconds=LONGEST_LAG_SECONDS)
        while len(self.samples) > 2 and self.samples[1].since < oldest:
            self.samples.popleft()

    def as_of(self, lag_s: float) -> Any:
        """Return the value as it was `lag_s` seconds ago.

        Times before the oldest sample yield the oldest value.
        """
        requested_time = self.clock() - timedelta(seconds=lag_s)
        for sample in reversed(self.samples):
            if sample.since <= requested_time:
                return sample.value
        return self.samples[0].value
