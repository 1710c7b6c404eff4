"""Lookup of the route, workspace and service of a request."""

from hashlib import blake2b

from .core import Configuration, Route, Workspace

__all__ = ["find_route", "find_workspace", "pick_service"]


def find_route(configuration: Configuration, host: str, path: str) -> Route | None:
    """Return the route with the longest matching prefix, or None.

    Parameters
    ----------
    configuration : Configuration
        Active configuration.
    host : str
        ``Host`` header; its port and letter case are ignored.
    path : str
        Path of the request, without the query.
    """
    name = host.partition(":")[0].lower()
    for route in configuration.routes.get(name, ()):
        if path.startswith(route.prefix):
            return route
    return None


def find_workspace(configuration: Configuration, key: str) -> Workspace | None:
    """Return the workspace of an API key, or None."""
    return configuration.workspaces.get(key)


def pick_service(route: Route, request_id: str) -> str:
    """Return the service of a request, chosen by the route's weights.

    Notes
    -----
    The choice depends only on the request's id.  It is therefore the same in every
    process and for every send.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    total = sum(share.weight for share in route.shares)
    digest = blake2b(request_id.encode(), digest_size=8).digest()
    remainder = int.from_bytes(digest, "big") % max(1, total)
    for share in route.shares:
        remainder -= share.weight
        if remainder < 0:
            return share.service
    return route.shares[-1].service
