"""Weighted fair queuing of the workspaces of one class, by tokens."""

from operator import attrgetter

from sortedcontainers import SortedKeyList

from .entries import JobEntry, OrderKey

__all__ = ["FairQueue", "WorkspaceQueue"]

FAIR_QUANTUM_TOKENS = 256
"""Difference in tokens over weight within which workspaces count as equal."""

MAX_IDLE_WORKSPACES = 1024
"""Maximum number of workspaces without queued jobs that a class keeps."""


def _service_step(served: float) -> int:
    return int(served // FAIR_QUANTUM_TOKENS)


class WorkspaceQueue:
    """Queued jobs of one workspace and its service so far.

    Parameters
    ----------
    name : str
        Name of the workspace.
    weight : float
        Its share relative to other workspaces.

    Attributes
    ----------
    served : float
        Service in tokens over weight; raised to the virtual time of the class
        when it gets jobs after an idle period.
    tokens : float
        Predicted tokens of its queued jobs.
    rank : tuple or None
        Its sort key in `FairQueue.ready`: service step, then the key of its first
        job.  None while it has no queued jobs.
    """

    __slots__ = ("jobs", "name", "rank", "served", "tokens", "weight")

    def __init__(self, *, name: str, weight: float):
        self.name = name
        self.weight = weight
        self.served = 0.0
        self.tokens = 0.0
        self.jobs = SortedKeyList(key=attrgetter("key"))
        self.rank: tuple[int, OrderKey] | None = None


class FairQueue:
    """Queued jobs of one class, by least served workspace and then by least slack.

    Attributes
    ----------
    workspaces : dict
        Queues by workspace, including idle ones.
    ready : SortedKeyList
        Queues with jobs, in the order in which they are served.
    virtual_time : float
        Highest service so far of a workspace that was first in `ready`, in tokens
        over weight.
    tokens : float
        Predicted tokens of all queued jobs.
    count : int
        Number of queued jobs.
    active_weight : float
        Sum of the weights of the workspaces with queued jobs.

    Notes
    -----
    Served tokens over weight are compared in steps of one quantum.  Within a step
    workspaces count as equal and the least slack decides; a workspace that is a
    step ahead waits for the others.  A workspace that was idle starts at the
    service level of those that wait, so idle time earns no credit.

    References
    ----------
    P. Goyal, H. M. Vin and H. Cheng, "Start-time Fair Queuing", SIGCOMM 1996.
    """

    def __init__(self):
        self.workspaces: dict[str, WorkspaceQueue] = {}
        self.ready = SortedKeyList(key=attrgetter("rank"))
        self.virtual_time = 0.0
        self.tokens = 0.0
        self.count = 0
        self.active_weight = 0.0

    def head(self) -> JobEntry | None:
        """Return the next job, or None."""
        return self.ready[0].jobs[0] if self.ready else None

    def add(self, entry: JobEntry) -> None:
        """Add a job to the queue of its workspace."""
        workspace = self._workspace(entry)
        if not workspace.jobs:
            workspace.served = max(workspace.served, self.virtual_time)
        self._unrank(workspace)
        workspace.weight = entry.weight
        workspace.jobs.add(entry)
        workspace.tokens += entry.predicted_tokens
        self.tokens += entry.predicted_tokens
        self.count += 1
        self._rank(workspace)

    def remove(self, entry: JobEntry) -> None:
        """Remove a queued job."""
        workspace = self.workspaces[entry.job.workspace]
        self._unrank(workspace)
        workspace.jobs.remove(entry)
        workspace.tokens -= entry.predicted_tokens
        self.tokens -= entry.predicted_tokens
        self.count -= 1
        self._rank(workspace)
        if self.ready:
            self.virtual_time = max(self.virtual_time, self.ready[0].served)
        if len(self.workspaces) > len(self.ready) + MAX_IDLE_WORKSPACES:
            self._evict_idle()

    def charge(self, entry: JobEntry, tokens: float) -> None:
        """Charge tokens to a job's workspace; negative to refund them."""
        workspace = self._workspace(entry)
        served = workspace.served + tokens / entry.weight
        if _service_step(served) == _service_step(workspace.served):
            workspace.served = served
            return
        self._unrank(workspace)
        workspace.served = served
        self._rank(workspace)

    def nonempty_queue(self, name: str) -> WorkspaceQueue | None:
        """Return the queue of a workspace, or None if it has no queued jobs."""
        workspace = self.workspaces.get(name)
        return workspace if workspace and workspace.jobs else None

    def _workspace(self, entry: JobEntry) -> WorkspaceQueue:
        name = entry.job.workspace
        if name not in self.workspaces:
            workspace = WorkspaceQueue(name=name, weight=entry.weight)
            workspace.served = self.virtual_time
            self.workspaces[name] = workspace
        return self.workspaces[name]

    def _unrank(self, workspace: WorkspaceQueue) -> None:
        if workspace.rank is not None:
            self.ready.remove(workspace)
            self.active_weight -= workspace.weight
            workspace.rank = None

    def _rank(self, workspace: WorkspaceQueue) -> None:
        if workspace.jobs:
            workspace.rank = (_service_step(workspace.served), workspace.jobs[0].key)
            self.ready.add(workspace)
            self.active_weight += workspace.weight

    def _evict_idle(self) -> None:
        self.workspaces = {
            name: workspace
            for name, workspace in self.workspaces.items()
            if workspace.jobs or workspace.served > self.virtual_time
        }
        excess = len(self.workspaces) - len(self.ready) - MAX_IDLE_WORKSPACES
        idle = [w.name for w in self.workspaces.values() if not w.jobs]
        for name in idle[: max(0, excess)]:
            del self.workspaces[name]
