"""Endpoints that have departed, and entries of theirs that a copy has brought back."""

from dataclasses import dataclass
from datetime import datetime, timedelta

from ..clock import Clock

__all__ = ["Departures"]

DEPARTURE_MEMORY = timedelta(minutes=10)
"""Time for which the departure of an endpoint is remembered.  A copy from which the
store is restored is some seconds old."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Departure:
    """Removal of an endpoint's entry: the store's era, and when it was learnt."""

    era: int
    at: datetime


class Departures:
    """Endpoints that have departed, and how long their returned entries are not used.

    Parameters
    ----------
    clock : Clock
        The process's clock.

    Attributes
    ----------
    departed : dict of Departure
        Incarnations whose entries were removed in the last `DEPARTURE_MEMORY`.
    held_until : dict of datetime
        Incarnations that had departed before the store was restored from a copy that
        still has their entries, with the time at which such an entry counts again: the
        store removes it earlier unless the endpoint still writes it.
    """

    __slots__ = ("clock", "departed", "held_until")

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.departed: dict[str, Departure] = {}
        self.held_until: dict[str, datetime] = {}

    def record(self, name: str, *, era: int) -> None:
        """Record that the entry of an incarnation was removed in an era."""
        self.held_until.pop(name, None)
        now = self.clock()
        oldest = now - DEPARTURE_MEMORY
        recent = {one: gone for one, gone in self.departed.items() if gone.at > oldest}
        self.departed = recent
        self.departed[name] = Departure(era=era, at=now)

    def hold(self, name: str, *, era: int, is_written: bool, wait: timedelta) -> bool:
        """Don't use an endpoint again because of an entry that a copy brought back.

        An entry that was written since the first read of the era shows that its
        endpoint has returned.  The one of the copy counts only once it has lasted
        longer than the store keeps an entry that is not written.

        Parameters
        ----------
        name : str
            Incarnation whose entry was read.
        era : int
            The store's era.
        is_written : bool
            Whether the entry was written in this era.
        wait : timedelta
            Time after which the entry counts.

        Returns
        -------
        bool
            Whether the entry is held from now on.
        """
        departure = self.departed.get(name)
        if departure is None:
            return False
        if departure.era == era or is_written:
            del self.departed[name]
            self.held_until.pop(name, None)
            return False
        if name in self.held_until:
            return False
        self.held_until[name] = self.clock() + wait
        return True

    def end_holds(self) -> list[str]:
        """Admit the endpoints whose entries were held long enough; return them."""
        now = self.clock()
        admitted = [name for name, until in self.held_until.items() if now >= until]
        for name in admitted:
            del self.held_until[name]
            self.departed.pop(name, None)
        return admitted
