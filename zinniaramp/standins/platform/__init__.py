"""Stand-ins for the platform's store and its servers, and a gateway process."""

from .engine import PartEngine
from .process import GatewayProcess
from .server import Conduct, ServerStandin, expected_body, expected_events
from .store import StoreStandin

__all__ = [
    "Conduct",
    "GatewayProcess",
    "PartEngine",
    "ServerStandin",
    "StoreStandin",
    "expected_body",
    "expected_events",
]
