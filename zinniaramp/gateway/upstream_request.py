"""Building of the request that is sent to an endpoint."""

from datetime import timedelta

from ..registry import Endpoint
from .hops import end_to_end_headers
from .matching import CallerRequest, MatchedRequest
from .messages import HeaderCodec, UpstreamMetadata
from .upstream import UpstreamRequest

__all__ = ["build_request"]


def build_request(
    codec: HeaderCodec,
    request: CallerRequest,
    matched: MatchedRequest,
    endpoint: Endpoint,
    *,
    left: timedelta,
    last_event_id: str | None,
) -> UpstreamRequest:
    """Return a caller's request as it is sent to an endpoint.

    Parameters
    ----------
    codec : HeaderCodec
        Writes the platform's headers.
    request, matched : CallerRequest, MatchedRequest
        The request.
    endpoint : Endpoint
        The endpoint.
    left : timedelta
        Time until the deadline.
    last_event_id : str or None
        Id of the event after which a stream goes on.
    """
    upstream_metadata = UpstreamMetadata(
        endpoint_id=endpoint.id,
        time_left=left,
        workspace=matched.workspace.name if matched.workspace else "",
        urgency=matched.urgency if matched.metadata.demand else None,
        last_event_id=last_event_id,
    )
    forwarded = end_to_end_headers(request.headers, keep=codec.protected_headers)
    headers = codec.write_request(forwarded, upstream_metadata)
    if request.body or request.start_line.method != "GET":
        headers["Content-Length"] = str(len(request.body))
    return UpstreamRequest(
        method=request.start_line.method,
        target=request.start_line.path,
        headers=headers,
        body=request.body,
    )
