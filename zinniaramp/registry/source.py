"""Calls to the store."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from datetime import timedelta

from result import Result

from ..clock import monotonic_clock
from ..reads import ReadError, Transfer
from .items import History, Snapshot, StoreRevision

__all__ = ["ReadEndpointChanges", "Source", "WatchEndpoints"]

WatchEndpoints = Callable[
    [StoreRevision, timedelta], Awaitable[Result[Snapshot | None, ReadError]]
]
"""Like a watch, but for the changes of the endpoints' entries only."""


ReadEndpointChanges = Callable[[StoreRevision], Awaitable[Result[Snapshot, ReadError]]]
"""Returns the changes of the endpoints' entries after a revision."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Source:
    """Calls to the store.

    Parameters
    ----------
    read_all : callable
        Returns all items.
    watch : callable
        Takes a revision and a timeout; returns the changes after the revision, at
        the latest after the timeout.  Returns `Ok(None)` if the store's history no
        longer covers the revision.
    read_revision : callable
        Returns the store's current revision.
    read_history : callable
        Returns the changes of the endpoints' entries that the store still has.
    transfer : Transfer
        Progress of the answer to the latest call of `read_all` or `watch`, of which one
        runs at a time.
    watch_endpoints : callable or None
        Like `watch`, for the changes of the endpoints' entries only, beside another
        call; None if that is not possible.
    read_endpoint_changes : callable or None
        Takes a revision; returns the changes of the endpoints' entries that have been
        made after it, without waiting for further ones; None if that is not possible.
    """

    read_all: Callable[[], Awaitable[Result[Snapshot, ReadError]]]
    watch: Callable[
        [StoreRevision, timedelta], Awaitable[Result[Snapshot | None, ReadError]]
    ]
    read_revision: Callable[[], Awaitable[Result[StoreRevision, ReadError]]]
    read_history: Callable[[], Awaitable[Result[History, ReadError]]]
    transfer: Transfer = field(
        default_factory=lambda: Transfer(clock=monotonic_clock())
    )
    watch_endpoints: WatchEndpoints | None = None
    read_endpoint_changes: ReadEndpointChanges | None = None
