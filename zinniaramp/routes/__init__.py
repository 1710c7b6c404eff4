"""Routes, services and workspaces of one configuration."""

from .core import (
    ClientLimits,
    Configuration,
    Repeat,
    Route,
    Service,
    ServiceShare,
    Workspace,
)
from .lookup import find_route, find_workspace, pick_service

__all__ = [
    "ClientLimits",
    "Configuration",
    "Repeat",
    "Route",
    "Service",
    "ServiceShare",
    "Workspace",
    "find_route",
    "find_workspace",
    "pick_service",
]
