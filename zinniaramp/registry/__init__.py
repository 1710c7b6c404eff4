"""The process's replica of the endpoints and configuration in the store."""

from .barrier import ReadBarrier
from .copies import Copies
from .core import Endpoint, EndpointState, Registry
from .follower import Source, StoreFollower
from .freshness import Freshness
from .items import Item, ItemCache, Snapshot, StoreRevision
from .revision_checks import RevisionChecker

__all__ = [
    "Copies",
    "Endpoint",
    "EndpointState",
    "Freshness",
    "Item",
    "ItemCache",
    "ReadBarrier",
    "Registry",
    "RevisionChecker",
    "Snapshot",
    "Source",
    "StoreFollower",
    "StoreRevision",
]
