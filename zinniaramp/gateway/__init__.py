"""HTTP gateway for a platform that runs its own endpoint processes.

A gateway process matches a caller's request to a route and service, forwards it to one
of the service's endpoints, and retries where the route and the retry budget allow it.
"""

from .core import Gateway, GatewaySettings
from .messages import AnswerMetadata, HeaderCodec, RequestMetadata, UpstreamMetadata

__all__ = [
    "AnswerMetadata",
    "Gateway",
    "GatewaySettings",
    "RequestMetadata",
    "UpstreamMetadata",
    "HeaderCodec",
]
