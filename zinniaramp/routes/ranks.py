"""Order of requests by urgency."""

from collections.abc import Iterable

from .core import PriorityPair, Route, Workspace

__all__ = ["priority_pair", "priority_pairs", "priority_rank"]


def priority_pair(route: Route, workspace: Workspace | None) -> PriorityPair:
    """Return what orders the requests of a route and a workspace.

    Notes
    -----
    A workspace's priority goes before the route's, which orders the requests of
    workspaces alike.
    """
    first = route.priority
    if workspace is not None and workspace.priority is not None:
        first = workspace.priority
    return PriorityPair(first=first, second=route.priority)


def priority_pairs(
    routes: Iterable[Route], workspaces: Iterable[Workspace]
) -> tuple[PriorityPair, ...]:
    """Return the distinct pairs that a version allows on streaming routes, in order."""
    by_priority = {one.priority: one for one in workspaces}
    pairs = {
        priority_pair(route, workspace)
        for route in routes
        if route.streams
        for workspace in ([None] if route.public else by_priority.values())
    }
    return tuple(sorted(pairs))


def priority_rank(pairs: Iterable[PriorityPair], own: PriorityPair) -> int:
    """Return a dense rank among the pairs of a version; 0 is first."""
    return sum(pair < own for pair in pairs)
