"""Service that each workspace has received, for fair shares under contention."""

import math
from collections import Counter
from datetime import datetime, timedelta

from .rates import Rate

__all__ = ["WorkspaceShares"]

USUAL_LIFETIME = timedelta(seconds=60)
"""Time in which a workspace's usual rate follows a change.  Bursts last 3 to 9 s."""

MIN_WEIGHT = 0.25
"""Smallest weight of a workspace, which a workspace without recent requests has."""

MAX_IDLE_WORKSPACES = 1024
"""Number of workspaces from which those without requests are forgotten."""


class WorkspaceShares:
    """Virtual time of the workspaces of one service, in tokens over weight.

    Attributes
    ----------
    served : dict of float
        Virtual time by workspace: the tokens of its requests over its weight.
    active : Counter
        Requests in flight or held, by workspace.
    usual : dict of Rate
        Tokens of the requests that were sent, by workspace.

    Notes
    -----
    A workspace that becomes active is raised to the least served active one, so that
    idle time earns no credit.  The weight is the square root of the usual rate relative
    to the mean: large workspaces get more than small ones, and one that sends seven
    times its usual, or that has no history yet, gets at least the square root of that.
    Requests that were refused don't raise it, so repeating them gains nothing.

    References
    ----------
    Y. Sheng et al., "Fairness in Serving Large Language Models", OSDI 2024.
    """

    __slots__ = ("served", "active", "usual", "all_usual")

    def __init__(self):
        self.served: dict[str, float] = {}
        self.active: Counter = Counter()
        self.usual: dict[str, Rate] = {}
        self.all_usual = Rate(lifetime=USUAL_LIFETIME)

    def enter(self, workspace: str) -> None:
        """Count a request that is now in flight or held."""
        if not self.active[workspace]:
            floor = min(
                (self.served[one] for one, n in self.active.items() if n), default=0.0
            )
            self.served[workspace] = max(self.served.get(workspace, 0.0), floor)
        self.active[workspace] += 1

    def leave(self, workspace: str) -> None:
        """Count the end of a request that was in flight or held."""
        self.active[workspace] -= 1
        if self.active[workspace] <= 0:
            del self.active[workspace]
            if len(self.served) > MAX_IDLE_WORKSPACES:
                self._forget_idle()

    def charge(self, workspace: str, tokens: int, now: datetime) -> None:
        """Charge a request that is sent; its workspace must have entered."""
        self.served[workspace] += tokens / self.weight(workspace, now)
        if workspace not in self.usual:
            self.usual[workspace] = Rate(lifetime=USUAL_LIFETIME)
        self.usual[workspace].add(tokens, now)
        self.all_usual.add(tokens, now)

    def weight(self, workspace: str, now: datetime) -> float:
        """Return a workspace's weight; 1 for one with the mean rate."""
        usual, total = self.usual.get(workspace), self.all_usual.per_s(now)
        if usual is None or not total:
            return MIN_WEIGHT if total else 1.0
        return max(MIN_WEIGHT, math.sqrt(usual.per_s(now) * len(self.usual) / total))

    def _forget_idle(self) -> None:
        for one in [one for one in self.served if one not in self.active]:
            del self.served[one]
            self.usual.pop(one, None)
