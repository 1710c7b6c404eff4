"""Stand-ins for the platform's store and its servers, and a gateway process."""

from .behaviour import CrashRequest, ServerBehaviour, expected_body, expected_events
from .engine import SegmentEngine
from .process import GatewayProcess
from .server import ServerStandin
from .store import StoreStandin

__all__ = [
    "CrashRequest",
    "ServerBehaviour",
    "GatewayProcess",
    "SegmentEngine",
    "ServerStandin",
    "StoreStandin",
    "expected_body",
    "expected_events",
]
