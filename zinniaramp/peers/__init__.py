"""Exchange of load events and store items between gateway processes."""

from .core import PeerMesh
from .messages import (
    CauseQuarantined,
    CauseReleased,
    CrashEvent,
    EndpointCrashed,
    EndpointLimited,
    EndpointUsed,
    LimitEvent,
    LoadEvent,
    RequestSurvived,
    SendEnded,
    SendFirstEvent,
    SendStarted,
    StreamBegan,
)

__all__ = [
    "CauseQuarantined",
    "CauseReleased",
    "CrashEvent",
    "EndpointCrashed",
    "EndpointLimited",
    "EndpointUsed",
    "LimitEvent",
    "LoadEvent",
    "PeerMesh",
    "RequestSurvived",
    "SendEnded",
    "SendFirstEvent",
    "SendStarted",
    "StreamBegan",
]
