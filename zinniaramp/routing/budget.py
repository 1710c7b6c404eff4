"""Limit on attempts beyond the first, as a share of requests."""

__all__ = ["RetryBudget"]

MAX_BALANCE = 10.0
"""Retries that may be made at once after a quiet time."""


class RetryBudget:
    """Token bucket that each request fills and each retry empties.

    Parameters
    ----------
    limit : float
        Retries that may be made at once after a quiet time.

    Attributes
    ----------
    balance : float
        Retries that may be made now.
    """

    __slots__ = ("limit", "balance")

    def __init__(self, *, limit: float = MAX_BALANCE):
        self.limit = limit
        self.balance = limit

    def deposit(self, share: float) -> None:
        """Add the share of one retry that a request earns."""
        self.balance = min(self.limit, self.balance + share)

    def withdraw(self) -> bool:
        """Take one retry; return whether there was one."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True
