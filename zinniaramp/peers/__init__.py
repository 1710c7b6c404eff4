"""Exchange of load events and store items between gateway processes."""

from .core import PeerMesh
from .messages import LoadEvent, SendEnded, SendFirstEvent, SendStarted

__all__ = ["LoadEvent", "PeerMesh", "SendEnded", "SendFirstEvent", "SendStarted"]
