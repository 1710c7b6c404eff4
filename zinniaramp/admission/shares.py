"""Service that each workspace has received, for fair shares under contention."""

from collections import Counter
from datetime import datetime, timedelta

from .rates import Rate

__all__ = ["WorkspaceShares"]

USUAL_LIFETIME = timedelta(seconds=60)
"""Time in which a workspace's usual rate follows a change.  Bursts last 3 to 9 s."""

RECENT_LIFETIME = timedelta(seconds=2)
"""Time over which the recent rate of a workspace is measured."""

WEIGHT_EXPONENT = 0.75
"""Exponent of the usual rate in a workspace's weight.  With 1, one of which nothing is
known would get nothing; with 0, large workspaces would always be over their share."""

OVER_SHARE = 1.5
"""Recent rate over weight, relative to the mean of the active workspaces, from which a
workspace is over its share.  One that sends seven times its usual is held to about a
third of that while room is short, and the rule is a quarter."""

COMPARISON_INTERVAL = timedelta(milliseconds=50)
"""Time between two comparisons of all workspaces, which bounds their processor time."""

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
    usual, recent : dict of Rate
        Tokens of the requests that were sent, by workspace.
    over : frozenset of str
        Workspaces over their share at the last comparison, at `compared_at`.

    Notes
    -----
    A workspace that becomes active is raised to the least served active one, so that
    idle time earns no credit.  The weight grows with the usual rate relative to the
    mean, so that large workspaces get more than small ones.  Requests that were refused
    don't raise it, so repeating them gains nothing.

    References
    ----------
    Y. Sheng et al., "Fairness in Serving Large Language Models", OSDI 2024.
    """

    __slots__ = (
        "served",
        "active",
        "usual",
        "recent",
        "all_usual",
        "over",
        "compared_at",
    )

    def __init__(self):
        self.served: dict[str, float] = {}
        self.active: Counter = Counter()
        self.usual: dict[str, Rate] = {}
        self.recent: dict[str, Rate] = {}
        self.all_usual = Rate(lifetime=USUAL_LIFETIME)
        self.over: frozenset[str] = frozenset()
        self.compared_at: datetime | None = None

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
            self.recent[workspace] = Rate(lifetime=RECENT_LIFETIME)
        self.usual[workspace].add(tokens, now)
        self.recent[workspace].add(tokens, now)
        self.all_usual.add(tokens, now)

    def is_over_share(self, workspace: str, now: datetime) -> bool:
        """Return whether a workspace got far more than its share in the last seconds.

        It leaves the last room at an engine to the others then.
        """
        at = self.compared_at
        if at is None or now - at > COMPARISON_INTERVAL:
            rates = {one: self._recent_over_weight(one, now) for one in self.active}
            limit = OVER_SHARE * sum(rates.values()) / max(1, len(rates))
            self.over = frozenset(one for one, rate in rates.items() if rate > limit)
            self.compared_at = now
        return workspace in self.over

    def _recent_over_weight(self, workspace: str, now: datetime) -> float:
        recent = self.recent.get(workspace)
        return recent.per_s(now) / self.weight(workspace, now) if recent else 0.0

    def weight(self, workspace: str, now: datetime) -> float:
        """Return a workspace's weight; 1 for one with the mean rate."""
        usual, total = self.usual.get(workspace), self.all_usual.per_s(now)
        if usual is None or not total:
            return MIN_WEIGHT if total else 1.0
        relative = usual.per_s(now) * len(self.usual) / total
        return max(MIN_WEIGHT, relative**WEIGHT_EXPONENT)

    def _forget_idle(self) -> None:
        for one in [one for one in self.served if one not in self.active]:
            del self.served[one]
            self.usual.pop(one, None)
            self.recent.pop(one, None)
