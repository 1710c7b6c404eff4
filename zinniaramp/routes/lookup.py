"""Route, workspace and service of a request."""

from hashlib import blake2b

from .core import Configuration, Route, Workspace

__all__ = ["find_route", "find_workspace", "pick_service"]


def find_route(configuration: Configuration, host: str, path: str) -> Route | None:
    """Return the route with the longest prefix of a path.

    Parameters
    ----------
    configuration : Configuration
        The version in force.
    host : str
        ``Host`` header; its port and letter case are left out.
    path : str
        Path without its query.
    """
    name = host.partition(":")[0].lower()
    for route in configuration.routes.get(name, ()):
        if path.startswith(route.prefix):
            return route
    return None


def find_workspace(configuration: Configuration, key: str) -> Workspace | None:
    """Return the workspace that holds a key."""
    return configuration.workspaces.get(key)


def pick_service(route: Route, request_id: str) -> str:
    """Return the service of a request, by the route's weights.

    Notes
    -----
    The choice is a function of the request's id, so that it is the same in every
    process and for every attempt.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    total = sum(share.weight for share in route.shares)
    digest = blake2b(request_id.encode(), digest_size=8).digest()
    point = int.from_bytes(digest, "big") % max(1, total)
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service
