"""Evacuated data centres, to whose endpoints nothing is sent."""

from dataclasses import dataclass
from datetime import datetime, timedelta

from ..clock import Clock

__all__ = ["Evacuation", "Evacuations"]

HOLD = timedelta(minutes=10)
"""Time for which an evacuation stays in force that a restored store lacks.  A copy is
some seconds old, and an operator who sees the data centre listed as in use publishes
the evacuation again within minutes."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Evacuation:
    """Decoded item: nothing may be sent to a data centre while it exists.

    Parameters
    ----------
    data_center : str
        Name of the data centre.
    """

    data_center: str


@dataclass(slots=True, kw_only=True)
class _InForce:
    data_center: str
    era: int
    held_until: datetime | None = None


class Evacuations:
    """Evacuations in force, by the key of their item.

    Only a removal that was made in the store ends one.  Its absence from the copy from
    which the store is restored does not, because the copy may be older.

    Parameters
    ----------
    clock : Clock
        The process's clock.
    """

    __slots__ = ("clock", "in_force", "_data_centers")

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.in_force: dict[str, _InForce] = {}
        self._data_centers: frozenset[str] = frozenset()

    @property
    def data_centers(self) -> frozenset[str]:
        """Names of the evacuated data centres."""
        return self._data_centers

    @property
    def has_holds(self) -> bool:
        """Whether an evacuation is in force that the store lacks."""
        return any(one.held_until is not None for one in self.in_force.values())

    def apply(self, key: str, evacuation: Evacuation, era: int) -> bool:
        """Put an evacuation in force; return whether it was not before.

        Parameters
        ----------
        key : str
            Key of the item.
        evacuation : Evacuation
            The decoded item.
        era : int
            Era of the store in which it was read.
        """
        is_new = key not in self.in_force
        self.in_force[key] = _InForce(data_center=evacuation.data_center, era=era)
        self._update()
        return is_new

    def remove(self, key: str, *, era: int, is_copy: bool) -> str | None:
        """End an evacuation whose item is gone, or hold it.

        Parameters
        ----------
        key : str
            Key of the item.
        era : int
            Era of the store.
        is_copy : bool
            Whether the item is missing from the first read of the era.

        Returns
        -------
        str or None
            The data centre that is in use again; None if the evacuation is held.
        """
        current = self.in_force[key]
        if is_copy and current.era < era:
            if current.held_until is None:
                current.held_until = self.clock() + HOLD
            return None
        return self._end(key)

    def end_holds(self) -> list[str]:
        """End the evacuations that were held long enough; return their data centres."""
        now = self.clock()
        over = [
            key
            for key, one in self.in_force.items()
            if one.held_until is not None and one.held_until <= now
        ]
        ended = [self._end(key) for key in over]
        return [data_center for data_center in ended if data_center is not None]

    def _end(self, key: str) -> str | None:
        data_center = self.in_force.pop(key).data_center
        self._update()
        return None if data_center in self._data_centers else data_center

    def _update(self) -> None:
        self._data_centers = frozenset(
            one.data_center for one in self.in_force.values()
        )
