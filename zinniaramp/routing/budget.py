"""Retry budgets: limits on retries as a share of requests."""

from collections import deque
from datetime import datetime, timedelta

__all__ = ["RetryBudget", "WindowRetryBudget"]

MAX_BALANCE = 10.0
"""Capacity of the token bucket, which bounds a burst of retries."""

STARTUP_SLACK_SHARE = 1 / 3
"""Share of the slack that a process may use in the first window after its start.

Later windows use the rest.  Around a restart, the old and the new process together
therefore stay within the slack."""


class RetryBudget:
    """Token bucket that requests fill and retries drain.

    Attributes
    ----------
    balance : float
        Tokens in the bucket; a retry takes one.
    """

    __slots__ = ("balance",)

    def __init__(self):
        self.balance = MAX_BALANCE

    def deposit(self, share: float) -> None:
        """Add the share of a retry that one request allows."""
        self.balance = min(MAX_BALANCE, self.balance + share)

    def withdraw(self) -> bool:
        """Take a token for one retry; return False if there is none."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True


class WindowRetryBudget:
    """Retry budget over a sliding window, for one of several processes.

    In any window, the retries of this process are limited to a share of its requests
    in that window plus its portion of a fixed slack.

    Parameters
    ----------
    window : timedelta
        Length of the window.
    started_at : datetime
        When the process started.  The process that it replaces may have used its
        portion of the slack in the same window, so only `STARTUP_SLACK_SHARE` of
        the slack is available until a window has passed.

    Attributes
    ----------
    requests, retries : deque of datetime
        Times of the requests and retries in the last window.
    """

    __slots__ = ("window", "started_at", "requests", "retries")

    def __init__(self, *, window: timedelta, started_at: datetime):
        self.window = window
        self.started_at = started_at
        self.requests: deque[datetime] = deque()
        self.retries: deque[datetime] = deque()

    def record_request(self, now: datetime) -> None:
        """Record a request."""
        self._drop_old(now)
        self.requests.append(now)

    def withdraw(self, *, share: float, slack: float, now: datetime) -> bool:
        """Record a retry if the budget allows it; return whether it does.

        Parameters
        ----------
        share : float
            Retries allowed for each request.
        slack : float
            Additional retries of this process, divided between the first window after
            its start and later windows by `STARTUP_SLACK_SHARE`.
        now : datetime
            Current time.
        """
        self._drop_old(now)
        is_starting = now < self.started_at + self.window
        own_slack = slack * (
            STARTUP_SLACK_SHARE if is_starting else 1 - STARTUP_SLACK_SHARE
        )
        allowed = share * len(self.requests) + own_slack
        if len(self.retries) + 1 > allowed:
            return False
        self.retries.append(now)
        return True

    def _drop_old(self, now: datetime) -> None:
        for times in (self.requests, self.retries):
            while times and times[0] <= now - self.window:
                times.popleft()
