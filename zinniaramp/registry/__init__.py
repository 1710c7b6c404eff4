"""The process's replica of the endpoints and configuration in the store."""

from .barrier import ReadBarrier
from .copies import Copies
from .core import Registry
from .endpoints import Endpoint, EndpointState
from .follower import StoreFollower
from .freshness import Freshness
from .items import Item, ItemCache, Snapshot, StoreRevision
from .revision_checks import RevisionChecker
from .source import Source

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
