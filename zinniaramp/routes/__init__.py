"""Routes, services and workspaces of one configuration."""

from .core import (
    ClientLimits,
    Configuration,
    RankPair,
    Repeat,
    Route,
    Service,
    ServiceShare,
    Workspace,
)
from .lookup import find_route, find_workspace, pick_service
from .ranks import rank_of, rank_pair, rank_pairs

__all__ = [
    "ClientLimits",
    "Configuration",
    "RankPair",
    "Repeat",
    "Route",
    "Service",
    "ServiceShare",
    "Workspace",
    "find_route",
    "find_workspace",
    "pick_service",
    "rank_of",
    "rank_pair",
    "rank_pairs",
]
