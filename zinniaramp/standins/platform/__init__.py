"""Stand-ins of the users' platform: its store and its servers."""

from .server import Conduct, ServerStandin, expected_body, expected_events
from .store import StoreStandin

__all__ = [
    "Conduct",
    "ServerStandin",
    "StoreStandin",
    "expected_body",
    "expected_events",
]
