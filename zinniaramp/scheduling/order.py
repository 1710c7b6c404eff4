"""State of each class and job order between classes."""

from collections.abc import Callable, Iterable
from operator import attrgetter

from sortedcontainers import SortedKeyList

from .entries import JobEntry
from .fairness import FairQueue
from .jobs import JobState

__all__ = ["ClassState", "next_queued_entry"]


class ClassState:
    """Queued and running jobs of one class.

    Parameters
    ----------
    name : str
        Name of the class.
    tier : int
        Its service tier; 1 has the highest priority.
    floor : float
        Minimum share of the slots that it gets while it has queued jobs.
    is_fair : bool
        Whether its workspaces share its slots by weight; otherwise its jobs are
        ordered by their keys alone.

    Attributes
    ----------
    deficit_s : float
        Slot-seconds that its floor has earned and that it has not used.
    granted_at : float
        When it last got a slot for its floor, in seconds of the process's clock.
    recent_demand_s : float
        Slot-seconds needed by recently admitted jobs, decayed exponentially.
    """

    __slots__ = (
        "deficit_s",
        "floor",
        "granted_at",
        "recent_demand_s",
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
        self.recent_demand_s = 0.0

    def add(self, entry: JobEntry) -> None:
        """Queue a waiting or paused job."""
        self.queue.add(entry)
        self._jobs_in_state_of(entry).add(entry)

    def remove(self, entry: JobEntry) -> None:
        """Remove a waiting or paused job from the queue."""
        self.queue.remove(entry)
        self._jobs_in_state_of(entry).remove(entry)

    def head(self) -> JobEntry | None:
        """Return the job to run next, or None; paused jobs come first.

        Notes
        -----
        A class therefore starts no new job while it has a paused one, and never
        has more paused jobs than the engine has slots.
        """
        if self.paused:
            return self.paused[0]
        if not self.is_fair:
            return self.waiting[0] if self.waiting else None
        return self.queue.head()

    def _jobs_in_state_of(self, entry: JobEntry) -> SortedKeyList:
        is_paused = entry.job.state is JobState.PAUSED
        return self.paused if is_paused else self.waiting

    def grant_quantum(self, now: float, max_s: float) -> float:
        """Deduct a floor quantum and return its length in seconds."""
        quantum_s = min(self.deficit_s, max_s)
        self.deficit_s -= quantum_s
        self.granted_at = now
        return quantum_s

    def is_idle(self) -> bool:
        """Return whether it has no jobs."""
        return self.running == 0 and self.queue.count == 0


def _always(entry: JobEntry) -> bool:
    return True


def next_queued_entry(
    states: Iterable[ClassState], can_start: Callable[[JobEntry], bool] = _always
) -> JobEntry | None:
    """Return the next queued job by tier and then by slack, or None.

    Parameters
    ----------
    states : iterable of ClassState
        States of all classes.
    can_start : callable
        Returns whether a job may start now.  A class whose next job may not
        start is skipped.
    """
    heads = [state.head() for state in states if state.queue.count]
    heads = [entry for entry in heads if can_start(entry)]
    return min(heads, key=lambda entry: (entry.tier, entry.key), default=None)
