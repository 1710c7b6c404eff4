"""Routes, services and workspaces of a configuration, and their lookup."""

from .core import (
    ClientLimits,
    Configuration,
    PriorityPair,
    RetryPolicy,
    Route,
    Service,
    ServiceShare,
    Workspace,
)
from .lookup import find_route, find_workspace, pick_service
from .ranks import priority_pair, priority_pairs, priority_rank

__all__ = [
    "ClientLimits",
    "Configuration",
    "PriorityPair",
    "RetryPolicy",
    "Route",
    "Service",
    "ServiceShare",
    "Workspace",
    "find_route",
    "find_workspace",
    "pick_service",
    "priority_pair",
    "priority_pairs",
    "priority_rank",
]
