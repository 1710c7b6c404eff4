"""Matching of a caller's request to a route, workspace and service."""

from dataclasses import dataclass, replace
from datetime import datetime, timedelta
from hashlib import blake2b

from tornado.httputil import HTTPHeaders, RequestStartLine

from ..quarantine import FINGERPRINT_PREFIX
from ..routes import (
    Configuration,
    RetryPolicy,
    Route,
    Workspace,
    find_route,
    find_workspace,
    pick_service,
    priority_pair,
    priority_rank,
)
from .messages import RequestMetadata

__all__ = ["CallerRequest", "MatchedRequest", "RefusalError", "match_request"]

FINGERPRINT_BYTES = 8
"""Size of the digest; 2 of 10 million requests have the same with a probability of
3e-6."""

LENGTH_BYTES = 8
"""Size of the length that precedes each field in the digested bytes."""


@dataclass(slots=True, kw_only=True)
class CallerRequest:
    """A request as received from a caller.

    Parameters
    ----------
    start_line : RequestStartLine
        Method, target and version.
    headers : HTTPHeaders
        Headers as received.
    body : bytes or bytearray
        Complete body; a large one is a bytearray, which nothing may change.
    received : datetime
        When the headers were received.
    """

    start_line: RequestStartLine
    headers: HTTPHeaders
    body: bytes | bytearray
    received: datetime


class RefusalError(Exception):
    """The gateway answers the request with an error of its own.

    Attributes
    ----------
    status : int
        HTTP status.
    reason : str
        Error code.
    retry_after : timedelta or None
        Time after which the caller may come back, if the refusal determines it.
    """

    def __init__(
        self, status: int, reason: str, *, retry_after: timedelta | None = None
    ):
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after = retry_after


@dataclass(slots=True, kw_only=True, frozen=True)
class MatchedRequest:
    """A request's route, workspace and service under one configuration.

    Parameters
    ----------
    metadata : RequestMetadata
        The request's headers, parsed.
    configuration : Configuration
        The version in force when the request arrived.
    route : Route
        Route of the request.
    workspace : Workspace or None
        Workspace of the request's key; None on a public route.
    service : str
        Name of the service that the route selects for this request.
    deadline : datetime
        The earlier of the caller's deadline and the route's timeout.
    fingerprint : str
        Digest of the request's content and workspace; the same for each repetition.
    body_bytes : int
        Size of the request's body.
    """

    metadata: RequestMetadata
    configuration: Configuration
    route: Route
    workspace: Workspace | None
    service: str
    deadline: datetime
    fingerprint: str
    body_bytes: int = 0

    @property
    def is_resumed(self) -> bool:
        """Whether the caller resumes a stream of which it has events."""
        return _is_resumed(self.metadata, self.route)

    @property
    def urgency(self) -> int:
        """Priority rank among requests to engines; 0 is the most urgent."""
        return _urgency(self.configuration, self.route, self.workspace)


def _is_resumed(metadata: RequestMetadata, route: Route) -> bool:
    return route.repeat is RetryPolicy.RESUME and bool(metadata.last_event_id)


def _id_for_split(metadata: RequestMetadata, route: Route) -> str:
    """Return the id that selects a service: the one of the request that began."""
    is_resumed = _is_resumed(metadata, route)
    return (metadata.resumes if is_resumed else None) or metadata.id


def _complete_demand(
    metadata: RequestMetadata,
    configuration: Configuration,
    route: Route,
    workspace: Workspace | None,
    body: bytes,
) -> RequestMetadata:
    """Return the metadata with the demand's targets, caller and size."""
    if metadata.demand is None:
        return metadata
    demand = replace(
        metadata.demand,
        target=route.target,
        gap_target=route.gap_target,
        workspace=workspace.name if workspace else "",
        urgency=_urgency(configuration, route, workspace),
        transfer_bytes=len(body),
    )
    return replace(metadata, demand=demand)


def _urgency(
    configuration: Configuration, route: Route, workspace: Workspace | None
) -> int:
    return priority_rank(configuration.priority_pairs, priority_pair(route, workspace))


def compute_fingerprint(
    request: CallerRequest, host: str, workspace: Workspace | None
) -> str:
    """Return the digest of a request's host, workspace, method, target and body."""
    fields = (
        host.encode(),
        workspace.name.encode() if workspace else b"",
        request.start_line.method.encode(),
        request.start_line.path.encode(),
        request.body,
    )
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for field in fields:
        digest.update(len(field).to_bytes(LENGTH_BYTES))
        digest.update(field)
    return FINGERPRINT_PREFIX + digest.hexdigest()


def match_request(
    request: CallerRequest,
    metadata: RequestMetadata,
    configuration: Configuration | None,
) -> MatchedRequest:
    """Find a request's route, workspace and service.

    Raises
    ------
    RefusalError
        No configuration is known yet, the request matches no route, or its key or id
        is missing or not valid.
    """
    if configuration is None:
        raise RefusalError(503, "no-configuration")
    path = request.start_line.path.partition("?")[0]
    route = find_route(configuration, metadata.host, path)
    if route is None:
        raise RefusalError(404, "no-route")
    workspace = None
    if configuration.needs_key and not route.public:
        workspace = find_workspace(configuration, metadata.key)
        if workspace is None:
            raise RefusalError(401, "unknown-key")
    if not metadata.id:
        raise RefusalError(400, "no-request-id")
    limit = route.timeout
    if metadata.time_left is not None:
        limit = min(limit, metadata.time_left)
    return MatchedRequest(
        metadata=_complete_demand(
            metadata, configuration, route, workspace, request.body
        ),
        configuration=configuration,
        route=route,
        workspace=workspace,
        service=pick_service(route, _id_for_split(metadata, route)),
        deadline=request.received + limit,
        fingerprint=compute_fingerprint(request, metadata.host, workspace),
        body_bytes=len(request.body),
    )
