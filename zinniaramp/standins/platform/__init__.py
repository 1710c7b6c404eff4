"""Stand-ins for the platform's store and its servers, and a gateway process."""

from .engine import SegmentEngine
from .process import GatewayProcess
from .server import ServerBehaviour, ServerStandin, expected_body, expected_events
from .store import StoreStandin

__all__ = [
    "ServerBehaviour",
    "GatewayProcess",
    "SegmentEngine",
    "ServerStandin",
    "StoreStandin",
    "expected_body",
    "expected_events",
]
