"""Order of requests by urgency."""

from collections.abc import Iterable

from .core import RankPair, Route, Workspace

__all__ = ["rank_of", "rank_pair", "rank_pairs"]


def rank_pair(route: Route, workspace: Workspace | None) -> RankPair:
    """Return what orders the requests of a route and a workspace.

    Notes
    -----
    A workspace's priority goes before the route's, which orders the requests of
    workspaces alike.
    """
    first = route.priority
    if workspace is not None and workspace.priority is not None:
        first = workspace.priority
    return RankPair(first=first, second=route.priority)


def rank_pairs(
    routes: Iterable[Route], workspaces: Iterable[Workspace]
) -> tuple[RankPair, ...]:
    """Return the distinct pairs that a version allows on streaming routes, in order."""
    by_priority = {one.priority: one for one in workspaces}
    pairs = {
        rank_pair(route, workspace)
        for route in routes
        if route.streams
        for workspace in ([None] if route.public else by_priority.values())
    }
    return tuple(sorted(pairs))


def rank_of(pairs: Iterable[RankPair], own: RankPair) -> int:
    """Return a dense rank among the pairs of a version; 0 is first."""
    return sum(pair < own for pair in pairs)
