"""Identities of attempts, remembered for a bounded time."""

from datetime import datetime, timedelta

from ..clock import Clock

__all__ = ["Tombstones"]


class Tombstones:
    """Identities of attempts about which one fact must not be forgotten too soon.

    Parameters
    ----------
    clock : Clock
        The process's clock.
    lifetime : timedelta
        How long an identity is held; at least as long as an offer may take.
    """

    def __init__(self, *, clock: Clock, lifetime: timedelta):
        self.clock = clock
        self.lifetime = lifetime
        self.expiries: dict[str, datetime] = {}

    def add(self, attempt_id: str) -> None:
        """Hold an identity from now on."""
        self.expiries[attempt_id] = self.clock() + self.lifetime

    def __contains__(self, attempt_id: str) -> bool:
        return attempt_id in self.expiries

    def forget_expired(self) -> None:
        """Forget the identities that no offer can bring any more."""
        now = self.clock()
        expired = [one for one, expiry in self.expiries.items() if expiry < now]
        for attempt_id in expired:
            del self.expiries[attempt_id]
