"""Exchange of load events and store items between gateway processes."""

from .core import PeerMesh
from .messages import (
    CrashEvent,
    EndpointLimited,
    EndpointUsed,
    EngineCrashed,
    LimitEvent,
    LoadEvent,
    SegmentQuarantined,
    SegmentReleased,
    SendEnded,
    SendFirstEvent,
    SendStarted,
)

__all__ = [
    "CrashEvent",
    "EndpointLimited",
    "EndpointUsed",
    "EngineCrashed",
    "LimitEvent",
    "LoadEvent",
    "PeerMesh",
    "SegmentQuarantined",
    "SegmentReleased",
    "SendEnded",
    "SendFirstEvent",
    "SendStarted",
]
