"""Minimum share of the slots (floor) for each class that has queued jobs.

A class with queued jobs earns slot-seconds at the rate of its floor and uses them
as its jobs run; the difference is its deficit.  When the deficit reaches a quantum,
the class gets the next free slot ahead of higher-priority tiers.  Its job is
then protected from pausing for as many seconds as the deficit, at most
`MAX_QUANTUM_S`.  No job is paused, refused or shed to make room for a floor.
"""

from collections.abc import Iterable
from operator import attrgetter

from .entries import JobEntry
from .order import ClassState

__all__ = [
    "MAX_QUANTUM_S",
    "MIN_QUANTUM_S",
    "floor_slots",
    "floor_wait_bound",
    "next_floor_entry",
    "scaled_floor",
    "update_floor_deficits",
]

MIN_QUANTUM_S = 1.0
"""Minimum slot-seconds that a class gets at a time."""

MAX_QUANTUM_S = 6.0
"""Maximum slot-seconds that a class gets at a time, even if its deficit is larger."""

MIN_FLOOR = 0.01
"""Lower limit of a class's floor, as a share of the slots."""

MAX_FLOOR_SUM = 0.375
"""Maximum share of the slots that all floors take together.

At most half of the slots are protected at once, each for up to `MAX_QUANTUM_S`.
The next floor quantum then starts when a slot becomes free.  If slots are released
at least every 2 s, floors get 6 / (6 + 2) of that half.
"""

MAX_DEFICIT_S = 30.0
"""Maximum deficit of a class in slot-seconds."""


def scaled_floor(floor: float, floor_sum: float) -> float:
    """Return a class's floor, scaled down if all floors exceed `MAX_FLOOR_SUM`."""
    return max(floor, MIN_FLOOR) * min(1.0, MAX_FLOOR_SUM / max(floor_sum, MIN_FLOOR))


def floor_slots(width: int) -> int:
    """Return how many slots may be protected from preemption at once."""
    return (width + 1) // 2


def update_floor_deficits(
    states: Iterable[ClassState],
    running: Iterable[JobEntry],
    *,
    width: int,
    now: float,
    elapsed_s: float,
) -> None:
    """Update deficits by the slot-seconds earned and used in the elapsed time.

    Notes
    -----
    Protected time is deducted when the quantum is granted and not counted again.
    A class without queued jobs earns no more than its running jobs use.  The
    highest-priority tier with jobs earns nothing, because it is served first.
    """
    busy = [state for state in states if not state.is_idle()]
    highest_tier = min((state.tier for state in busy), default=0)
    lower_priority = [state for state in busy if state.tier > highest_tier]
    floor_sum = sum(max(state.floor, MIN_FLOOR) for state in lower_priority)
    used_s_by_class = _unprotected_use_s(running, now=now, elapsed_s=elapsed_s)
    for state in states:
        if state.is_idle():
            state.deficit_s = 0.0
            continue
        slots = scaled_floor(state.floor, floor_sum) * width
        if state.tier == highest_tier:
            slots = 0.0
        elif not state.queue.count:
            slots = min(slots, state.running)
        used_s = used_s_by_class.get((state.name, state.tier), 0.0)
        deficit_s = state.deficit_s + slots * elapsed_s - used_s
        state.deficit_s = min(MAX_DEFICIT_S, max(0.0, deficit_s))


def _unprotected_use_s(
    running: Iterable[JobEntry], *, now: float, elapsed_s: float
) -> dict[tuple[str, int], float]:
    used_s_by_class: dict[tuple[str, int], float] = {}
    for entry in running:
        key = (entry.declaration.name, entry.tier)
        unprotected_s = min(elapsed_s, max(0.0, now - entry.protected_until))
        used_s_by_class[key] = used_s_by_class.get(key, 0.0) + unprotected_s
    return used_s_by_class


def next_floor_entry(states: Iterable[ClassState]) -> JobEntry | None:
    """Return the next job to start for its floor, or None.

    It belongs to the class whose last grant is oldest among those with a deficit of
    at least `MIN_QUANTUM_S`.
    """
    eligible = [s for s in states if s.queue.count and s.deficit_s >= MIN_QUANTUM_S]
    if not eligible:
        return None
    return min(eligible, key=attrgetter("granted_at")).head()


def floor_wait_bound(
    *,
    floor: float,
    floor_sum: float,
    width: int,
    classes: int,
    release_interval_s: float,
) -> float:
    """Return the longest time in seconds for which a class with jobs has no slot.

    Parameters
    ----------
    floor : float
        The class's floor.
    floor_sum : float
        Sum of the floors of all classes with jobs, except those of the
        highest-priority tier.
    width : int
        Slots of the engine.
    classes : int
        Number of classes that `floor_sum` covers.
    release_interval_s : float
        Longest time in seconds between two releases of a slot.

    Notes
    -----
    The class first earns its quantum.  Every other class with a due quantum then
    takes a released slot before it at most once, because the class whose last
    grant is oldest goes first.
    """
    rate = scaled_floor(floor, floor_sum) * width
    return MIN_QUANTUM_S / rate + classes * (release_interval_s + MAX_QUANTUM_S)
