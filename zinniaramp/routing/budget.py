"""Limits on attempts beyond the first, as a share of requests."""

from collections import deque
from datetime import datetime, timedelta

__all__ = ["RetryBudget", "WindowRetryBudget"]

MAX_BALANCE = 10.0
"""Retries that may be made at once after a quiet time."""

YOUNG_SHARE = 1 / 3
"""Part of a process's slack in the first window after its start; the rest is for
later ones, so that both together, around a restart, are within the slack."""


class RetryBudget:
    """Token bucket that each request fills and each retry empties.

    Attributes
    ----------
    balance : float
        Retries that may be made now.
    """

    __slots__ = ("balance",)

    def __init__(self):
        self.balance = MAX_BALANCE

    def deposit(self, share: float) -> None:
        """Add the share of one retry that a request earns."""
        self.balance = min(MAX_BALANCE, self.balance + share)

    def withdraw(self) -> bool:
        """Take one retry; return whether there was one."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True


class WindowRetryBudget:
    """Share of a limit that many processes keep together in any sliding window.

    In any span of the window's length, retries stay within a share of the requests
    of that span and the part of a slack that falls to this process.

    Parameters
    ----------
    window : timedelta
        Length of the window.
    started_at : datetime
        When the process started.  Its earlier start may have spent its part of the
        slack, so that the new one has `YOUNG_SHARE` until a window has passed.

    Attributes
    ----------
    requests, retries : deque of datetime
        Times of the last window.
    """

    __slots__ = ("window", "started_at", "requests", "retries")

    def __init__(self, *, window: timedelta, started_at: datetime):
        self.window = window
        self.started_at = started_at
        self.requests: deque[datetime] = deque()
        self.retries: deque[datetime] = deque()

    def record_request(self, now: datetime) -> None:
        """Count a request."""
        self._drop_old(now)
        self.requests.append(now)

    def withdraw(self, *, share: float, slack: float, now: datetime) -> bool:
        """Take one retry; return whether there was one.

        Parameters
        ----------
        share : float
            Retries that each request allows.
        slack : float
            Retries beside them that fall to this process.
        now : datetime
            The time.
        """
        self._drop_old(now)
        is_young = now < self.started_at + self.window
        own = slack * (YOUNG_SHARE if is_young else 1 - YOUNG_SHARE)
        allowed = share * len(self.requests) + own
        if len(self.retries) + 1 > allowed:
            return False
        self.retries.append(now)
        return True

    def _drop_old(self, now: datetime) -> None:
        for times in (self.requests, self.retries):
            while times and times[0] <= now - self.window:
                times.popleft()
