"""The state of each class and the order between classes."""

from collections.abc import Callable, Iterable
from operator import attrgetter

from sortedcontainers import SortedKeyList

from .entries import Entry
from .fairness import FairQueue
from .jobs import JobState

__all__ = ["ClassState", "first_entry"]


class ClassState:
    """Queued and running jobs of one class.

    Parameters
    ----------
    name : str
        The class.
    tier : int
        Its service tier.
    floor : float
        Least share of slots that it gets while it has queued jobs.
    is_fair : bool
        Whether its least served workspace goes first.
    """

    __slots__ = (
        "deficit_s",
        "floor",
        "granted_at",
        "inflow_s",
        "is_fair",
        "name",
        "paused",
        "queue",
        "running",
        "tier",
        "waiting",
    )

    def __init__(self, *, name: str, tier: int, floor: float, is_fair: bool = True):
        self.name = name
        self.tier = tier
        self.floor = floor
        self.is_fair = is_fair
        self.queue = FairQueue()
        self.waiting = SortedKeyList(key=attrgetter("key"))
        self.paused = SortedKeyList(key=attrgetter("key"))
        self.running = 0
        self.deficit_s = 0.0
        self.granted_at = 0.0
        self.inflow_s = 0.0

    def add(self, entry: Entry) -> None:
        """Queue a waiting or paused job."""
        self.queue.add(entry)
        self._list_of(entry).add(entry)

    def remove(self, entry: Entry) -> None:
        """Take a waiting or paused job out of the queue."""
        self.queue.remove(entry)
        self._list_of(entry).remove(entry)

    def head(self) -> Entry | None:
        """Return the job that is next: a paused one if there is any.

        Notes
        -----
        So a class starts no new job while it has a paused one, and never has
        more paused jobs than the engine has slots.
        """
        if self.paused:
            return self.paused[0]
        if not self.is_fair:
            return self.waiting[0] if self.waiting else None
        return self.queue.head()

    def _list_of(self, entry: Entry) -> SortedKeyList:
        is_paused = entry.job.state is JobState.PAUSED
        return self.paused if is_paused else self.waiting

    def grant_quantum(self, now: float, longest_s: float) -> float:
        """Note that a job gets a slot by the floor; return for how many seconds."""
        quantum_s = min(self.deficit_s, longest_s)
        self.deficit_s -= quantum_s
        self.granted_at = now
        return quantum_s

    def is_idle(self) -> bool:
        """Tell whether it has no jobs."""
        return self.running == 0 and self.queue.count == 0


def _is_any(entry: Entry) -> bool:
    return True


def first_entry(
    states: Iterable[ClassState], may_start: Callable[[Entry], bool] = _is_any
) -> Entry | None:
    """Return the queued job that is next by tier, then by slack.

    Parameters
    ----------
    states : iterable of ClassState
        All classes.
    may_start : callable
        Tells whether a job may start now; a class whose next job may not is
        passed over.
    """
    heads = [state.head() for state in states if state.queue.count]
    heads = [entry for entry in heads if may_start(entry)]
    return min(heads, key=lambda entry: (entry.tier, entry.key), default=None)
