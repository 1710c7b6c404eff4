"""Gateway processes among which the allowance of a cold endpoint is divided."""

from collections.abc import Collection
from datetime import timedelta

__all__ = ["Membership"]

MEMORY = timedelta(hours=1)
"""Time for which a gateway that can't be reached is still counted.  Both sides of a
partition that is shorter divide the allowance among the same gateways.  It is finite
because addresses of replaced hosts would otherwise take the allowance for ever."""

SETTLING = timedelta(seconds=1)
"""Time from the contact with most seeds until a process uses the allowance: one
heartbeat, within which it hears of the other gateways.  It is also the time for which
an earlier process at the same address may still count."""

MAX_MEMBERS = 1000
"""Maximum number of gateways that are counted; 330 are planned for."""


class Membership:
    """The gateway processes that this one has heard of, also those out of reach.

    A process that has reached most of its seeds has met one that knows the others.
    Two groups of gateways that can't hear each other can't both have most of the same
    seeds, so that at most one group of processes that started during a partition counts
    itself apart from the processes that were there before.

    All times are seconds of one monotonic clock.

    Parameters
    ----------
    own_address : str
        Address of this process.
    seeds : collection of str
        Addresses from the settings.

    Attributes
    ----------
    lost_at : dict of float or None
        Addresses of the other processes, with the time since which they can't be
        reached; None if they may be.
    established_at : float or None
        When this process had reached most of its seeds.
    """

    __slots__ = ("own_address", "seeds", "lost_at", "established_at", "_members")

    def __init__(self, *, own_address: str, seeds: Collection[str]):
        self.own_address = own_address
        self.seeds = frozenset(seeds)
        self.lost_at: dict[str, float | None] = {}
        self.established_at: float | None = None
        self._members: frozenset[str] | None = None

    def add(self, address: str) -> None:
        """Count another process."""
        if address == self.own_address:
            return
        if address not in self.lost_at:
            if len(self.lost_at) >= MAX_MEMBERS:
                return
            self._members = None
        self.lost_at[address] = None

    def mark_lost(self, address: str, now: float) -> None:
        """Record that a process is no longer tried; it is counted for `MEMORY` more."""
        if address in self.lost_at:
            self.lost_at[address] = now

    def record_contacts(
        self, heard: Collection[str], reached: Collection[str], now: float
    ) -> None:
        """Record the processes in contact, which shows whether most seeds are.

        Parameters
        ----------
        heard : collection of str
            Processes that send to this one.
        reached : collection of str
            Processes to which this one sends.
        now : float
            The time.
        """
        if self.established_at is not None or not heard:
            return
        contacts = {*heard, *reached, self.own_address}
        if not self.seeds or 2 * len(self.seeds & contacts) > len(self.seeds):
            self.established_at = now

    def members(self, now: float) -> frozenset[str] | None:
        """Return the addresses of all processes that count, this one included.

        It is None as long as this process may know too few of them.
        """
        if self.established_at is None:
            return None
        if now - self.established_at < SETTLING.total_seconds():
            return None
        oldest = now - MEMORY.total_seconds()
        expired = [
            address
            for address, lost_at in self.lost_at.items()
            if lost_at is not None and lost_at < oldest
        ]
        for address in expired:
            del self.lost_at[address]
            self._members = None
        if self._members is None:
            self._members = frozenset((*self.lost_at, self.own_address))
        return self._members if self.lost_at else None
