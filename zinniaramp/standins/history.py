"""A value with its past, for reports that lag behind."""

from collections import deque
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any

from ..clock import Clock

__all__ = ["History", "LONGEST_LAG_SECONDS"]

LONGEST_LAG_SECONDS = 300
"""Longest lag that a report can be asked for, in seconds."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Sample:
    """A value and since when it holds."""

    since: datetime
    value: Any


class History:
    """Remembers a value's changes for `LONGEST_LAG_SECONDS`.

    Parameters
    ----------
    initial : object
        Value that has always held before the first change.
    clock : Clock
        The process's clock.
    """

    def __init__(self, *, initial: Any, clock: Clock):
        self.clock = clock
        self.samples = deque([Sample(since=clock(), value=initial)])

    def latest(self) -> Any:
        """Return the value that holds now."""
        return self.samples[-1].value

    def previous(self) -> Any:
        """Return the value before the latest change."""
        return self.samples[max(len(self.samples) - 2, 0)].value

    def record(self, value: Any) -> None:
        """Note a change and forget what no report can ask for any more."""
        now = self.clock()
        self.samples.append(Sample(since=now, value=value))
        horizon = now - timedelta(seconds=LONGEST_LAG_SECONDS)
        while len(self.samples) > 2 and self.samples[1].since < horizon:
            self.samples.popleft()

    def as_of(self, lag_s: float) -> Any:
        """Return the value that held some seconds ago."""
        moment = self.clock() - timedelta(seconds=lag_s)
        for sample in reversed(self.samples):
            if sample.since <= moment:
                return sample.value
        return self.samples[0].value
