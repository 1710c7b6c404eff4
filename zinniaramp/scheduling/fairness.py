"""Fair service among the workspaces of one class, by weighted tokens."""

from operator import attrgetter

from sortedcontainers import SortedKeyList

from .entries import Entry, OrderKey

__all__ = ["FairQueue", "WorkspaceQueue"]

FAIR_QUANTUM_TOKENS = 256
"""Weighted tokens within which workspaces count as equally served."""

MAX_IDLE_WORKSPACES = 1024
"""Workspaces without queued jobs that a class remembers at most."""


def _step(served: float) -> int:
    return int(served // FAIR_QUANTUM_TOKENS)


class WorkspaceQueue:
    """Queued jobs of one workspace and what it has been served.

    Parameters
    ----------
    name : str
        The workspace.
    weight : float
        Its share among workspaces.
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
    """Queued jobs of one class: least served workspace, then least slack.

    Notes
    -----
    Served tokens over weight are compared in steps of a quantum.  Within a step
    workspaces count as equal and the least slack decides; a workspace that is a
    step ahead waits for the others.  A workspace that was idle starts at the
    service of those that wait, so idleness earns no claim on the future.

    References
    ----------
    P. Goyal, H. M. Vin and H. Cheng, "Start-time Fair Queuing", SIGCOMM 1996.
    """

    def __init__(self):
        self.workspaces: dict[str, WorkspaceQueue] = {}
        self.ready = SortedKeyList(key=attrgetter("rank"))
        self.virtual = 0.0
        self.tokens = 0.0
        self.count = 0
        self.active_weight = 0.0

    def head(self) -> Entry | None:
        """Return the job that is next, or None."""
        return self.ready[0].jobs[0] if self.ready else None

    def add(self, entry: Entry) -> None:
        """Queue a job at its place."""
        workspace = self._workspace(entry)
        if not workspace.jobs:
            workspace.served = max(workspace.served, self.virtual)
        self._withdraw(workspace)
        workspace.weight = entry.weight
        workspace.jobs.add(entry)
        workspace.tokens += entry.predicted_tokens
        self.tokens += entry.predicted_tokens
        self.count += 1
        self._rank(workspace)

    def remove(self, entry: Entry) -> None:
        """Take a job out."""
        workspace = self.workspaces[entry.job.workspace]
        self._withdraw(workspace)
        workspace.jobs.remove(entry)
        workspace.tokens -= entry.predicted_tokens
        self.tokens -= entry.predicted_tokens
        self.count -= 1
        self._rank(workspace)
        if self.ready:
            self.virtual = max(self.virtual, self.ready[0].served)
        if len(self.workspaces) > len(self.ready) + MAX_IDLE_WORKSPACES:
            self._forget_idle()

    def charge(self, entry: Entry, tokens: float) -> None:
        """Count tokens as served to a job's workspace."""
        workspace = self._workspace(entry)
        served = workspace.served + tokens / entry.weight
        if _step(served) == _step(workspace.served):
            workspace.served = served
            return
        self._withdraw(workspace)
        workspace.served = served
        self._rank(workspace)

    def queued_of(self, name: str) -> WorkspaceQueue | None:
        """Return the queue of a workspace that has one."""
        workspace = self.workspaces.get(name)
        return workspace if workspace and workspace.jobs else None

    def _workspace(self, entry: Entry) -> WorkspaceQueue:
        name = entry.job.workspace
        if name not in self.workspaces:
            workspace = WorkspaceQueue(name=name, weight=entry.weight)
            workspace.served = self.virtual
            self.workspaces[name] = workspace
        return self.workspaces[name]

    def _withdraw(self, workspace: WorkspaceQueue) -> None:
        if workspace.rank is not None:
            self.ready.remove(workspace)
            self.active_weight -= workspace.weight
            workspace.rank = None

    def _rank(self, workspace: WorkspaceQueue) -> None:
        if workspace.jobs:
            workspace.rank = (_step(workspace.served), workspace.jobs[0].key)
            self.ready.add(workspace)
            self.active_weight += workspace.weight

    def _forget_idle(self) -> None:
        self.workspaces = {
            name: workspace
            for name, workspace in self.workspaces.items()
            if workspace.jobs or workspace.served > self.virtual
        }
        excess = len(self.workspaces) - len(self.ready) - MAX_IDLE_WORKSPACES
        idle = [w.name for w in self.workspaces.values() if not w.jobs]
        for name in idle[: max(0, excess)]:
            del self.workspaces[name]
