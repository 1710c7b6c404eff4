"""Order of requests by the priorities of workspaces and routes."""

from collections.abc import Iterable

from .core import PriorityPair, Route, Workspace

__all__ = ["priority_pair", "priority_pairs", "priority_rank"]


def priority_pair(route: Route, workspace: Workspace | None) -> PriorityPair:
    """Return the priority pair of the requests of a workspace on a route.

    Notes
    -----
    The workspace's priority takes precedence.  The route's priority orders the
    requests of workspaces with equal priority.
    """
    workspace_priority = route.priority
    if workspace is not None and workspace.priority is not None:
        workspace_priority = workspace.priority
    return PriorityPair(
        workspace_priority=workspace_priority, route_priority=route.priority
    )


def priority_pairs(
    routes: Iterable[Route], workspaces: Iterable[Workspace]
) -> tuple[PriorityPair, ...]:
    """Return the distinct priority pairs that can occur on streaming routes, sorted."""
    by_priority = {one.priority: one for one in workspaces}
    streaming = (one for one in routes if one.streams)
    distinct = {(one.priority, one.public): one for one in streaming}
    pairs = {
        priority_pair(route, workspace)
        for route in distinct.values()
        for workspace in ([None] if route.public else by_priority.values())
    }
    return tuple(sorted(pairs))


def priority_rank(pairs: Iterable[PriorityPair], pair: PriorityPair) -> int:
    """Return the number of pairs that are more urgent; 0 is the most urgent rank."""
    return sum(other < pair for other in pairs)
