"""Calls to the store, as functions."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta

from result import Result

from ..reads import ReadError
from .items import History, Snapshot, StoreRevision

__all__ = ["Source"]


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
    read_changes : callable
        Takes a revision; returns the changes after it at once, none if there are none.
        Returns `Ok(None)` if the store's history no longer covers the revision.
    read_revision : callable
        Returns the store's current revision.
    read_history : callable
        Returns the changes of the endpoints' entries that the store still has.
    """

    read_all: Callable[[], Awaitable[Result[Snapshot, ReadError]]]
    watch: Callable[
        [StoreRevision, timedelta], Awaitable[Result[Snapshot | None, ReadError]]
    ]
    read_changes: Callable[
        [StoreRevision], Awaitable[Result[Snapshot | None, ReadError]]
    ]
    read_revision: Callable[[], Awaitable[Result[StoreRevision, ReadError]]]
    read_history: Callable[[], Awaitable[Result[History, ReadError]]]
