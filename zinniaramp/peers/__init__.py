"""Exchange of load events and store items between gateway processes."""

from .core import PeerMesh
from .messages import (
    EngineCrashed,
    LoadEvent,
    SegmentQuarantined,
    SegmentReleased,
    SendEnded,
    SendFirstEvent,
    SendStarted,
)

__all__ = [
    "EngineCrashed",
    "LoadEvent",
    "PeerMesh",
    "SegmentQuarantined",
    "SegmentReleased",
    "SendEnded",
    "SendFirstEvent",
    "SendStarted",
]
