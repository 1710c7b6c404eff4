"""A floor of progress for each class that has queued jobs.

A class with queued jobs earns slot-seconds at its floor's rate and spends them
as its jobs run.  When it has earned a quantum, the next slot that becomes free
is its own, ahead of lower-numbered tiers, and its job cannot be paused until
what it is owed, within bounds, has passed.  Nothing is paused, refused or shed
to that end.
"""

from collections.abc import Iterable
from operator import attrgetter

from .entries import Entry
from .order import ClassState

__all__ = [
    "MAX_QUANTUM_S",
    "QUANTUM_S",
    "accrue_floors",
    "due_entry",
    "floor_slots",
    "floor_wait_bound",
    "scaled_floor",
]

QUANTUM_S = 1.0
"""Slot-seconds that a class gets at a time at least."""

MAX_QUANTUM_S = 6.0
"""Slot-seconds that a class gets at a time at most, if it is owed more."""

MIN_FLOOR = 0.01
"""Hard lower limit of a class's floor, as a share of the slots."""

MAX_FLOOR_SUM = 0.375
"""Share of the slots that all floors take together at most.

Half of the slots may be under protection at once, for up to `MAX_QUANTUM_S`,
and a slot is then awaited.  Where slots are released every 2 s or sooner, this
leaves 6 / (6 + 2) of that half.
"""

MAX_DEFICIT_S = 30.0
"""Slot-seconds that a class can be owed at most."""


def scaled_floor(floor: float, floor_sum: float) -> float:
    """Return a class's floor scaled so that all floors can be kept together."""
    return max(floor, MIN_FLOOR) * min(1.0, MAX_FLOOR_SUM / max(floor_sum, MIN_FLOOR))


def floor_slots(width: int) -> int:
    """Return how many slots may be under protection at once."""
    return (width + 1) // 2


def accrue_floors(
    states: Iterable[ClassState],
    running: Iterable[Entry],
    *,
    width: int,
    now: float,
    elapsed: float,
) -> None:
    """Account for the slot-seconds earned and spent in some elapsed seconds.

    Notes
    -----
    Time under protection was spent when the quantum was granted.  A class
    without queued jobs earns no more than its running jobs use.  The
    lowest-numbered tier with jobs is served first and so earns nothing.
    """
    busy = [state for state in states if not state.is_idle()]
    first_tier = min((state.tier for state in busy), default=0)
    behind = [state for state in busy if state.tier > first_tier]
    floor_sum = sum(max(state.floor, MIN_FLOOR) for state in behind)
    spent_s = _spent_s(running, now=now, elapsed=elapsed)
    for state in states:
        if state.is_idle():
            state.deficit_s = 0.0
            continue
        slots = scaled_floor(state.floor, floor_sum) * width
        if state.tier == first_tier:
            slots = 0.0
        elif not state.queue.count:
            slots = min(slots, state.running)
        spent = spent_s.get((state.name, state.tier), 0.0)
        owed_s = state.deficit_s + slots * elapsed - spent
        state.deficit_s = min(MAX_DEFICIT_S, max(0.0, owed_s))


def _spent_s(
    running: Iterable[Entry], *, now: float, elapsed: float
) -> dict[tuple[str, int], float]:
    spent_s: dict[tuple[str, int], float] = {}
    for entry in running:
        key = (entry.declaration.name, entry.tier)
        unprotected_s = min(elapsed, max(0.0, now - entry.protected_until))
        spent_s[key] = spent_s.get(key, 0.0) + unprotected_s
    return spent_s


def due_entry(states: Iterable[ClassState]) -> Entry | None:
    """Return the next job of the class that is owed a quantum for longest, or None."""
    due = [s for s in states if s.queue.count and s.deficit_s >= QUANTUM_S]
    if not due:
        return None
    return min(due, key=attrgetter("granted_at")).queue.head()


def floor_wait_bound(
    *, floor: float, floor_sum: float, width: int, classes: int, release_s: float
) -> float:
    """Return the longest time in seconds that a class waits between two starts.

    Parameters
    ----------
    floor : float
        The class's floor.
    floor_sum : float
        Sum of the floors of all classes with jobs, but for those of the
        lowest-numbered tier.
    width : int
        Slots of the engine.
    classes : int
        Number of those classes.
    release_s : float
        Longest time in seconds between two releases of a slot.

    Notes
    -----
    The class earns its quantum.  Then every other class that is owed one takes a
    released slot first at most once, for the class whose last grant is oldest
    goes first.
    """
    rate = scaled_floor(floor, floor_sum) * width
    return QUANTUM_S / rate + classes * (release_s + MAX_QUANTUM_S)
