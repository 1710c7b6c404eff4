"""Stand-in for the platform's key-value store: reads, watches and faults."""

import asyncio
import json
from base64 import b64encode
from dataclasses import dataclass, field

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

__all__ = ["StoreCopy", "StoreStandin"]

LOOPBACK = "127.0.0.1"
"""Address on which the stand-in listens."""

PAGE_ITEMS = 500
"""Default number of items in one page of a range."""

FIRST_REVISION = 100
"""Revision of the empty store; the counter starts above 0."""

FIRST_ERA = 1
"""Value of ``Store-Era`` before the first restore."""


@dataclass(slots=True, kw_only=True, frozen=True)
class StoreCopy:
    """Copy of the store's content, from which it can be restored."""

    items: dict[str, dict]
    revision: int


@dataclass(slots=True, kw_only=True)
class StoreStandin:
    """The store's content and simulated faults.

    Attributes
    ----------
    items : dict
        Items by key, in the format of the store's answers.
    history : list of dict
        Changes since the last compaction, in order of revision.
    revision : int
        Revision of the latest change.
    era : int
        Number that each restore from a copy increments.
    refuses : bool
        Whether calls are answered 503.
    is_silent : bool
        Whether calls are not answered until it is cleared.
    ignores_watches : bool
        Whether new watches are never answered; their connections stay open.
    waiting : list of WatchHandler
        Watches that wait for a change, in order of arrival.
    compacted_revision : int
        Revision of the last compaction; watches from earlier ones are answered 410.
    page_items : int
        Number of items in one page of a range.
    calls : list of str
        Path of each call, in order of arrival.
    changed : asyncio.Event
        Set at the next change or wakeup, and then replaced.
    server : HTTPServer or None
        The HTTP server; None before `listen`.
    port : int
        Port of the server; 0 before `listen`.
    """

    items: dict[str, dict] = field(default_factory=dict)
    history: list[dict] = field(default_factory=list)
    revision: int = FIRST_REVISION
    era: int = FIRST_ERA
    refuses: bool = False
    is_silent: bool = False
    ignores_watches: bool = False
    waiting: list["WatchHandler"] = field(default_factory=list)
    compacted_revision: int = 0
    page_items: int = PAGE_ITEMS
    calls: list[str] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    server: HTTPServer | None = None
    port: int = 0

    def listen(self, port: int = 0) -> None:
        """Listen on a port of loopback; by default on a free one."""
        routes = [
            ("/kv-key", KeyHandler, {"store": self}),
            ("/kv-range", RangeHandler, {"store": self}),
            ("/kv-watch", WatchHandler, {"store": self}),
        ]
        sockets = bind_sockets(port, LOOPBACK)
        self.port = sockets[0].getsockname()[1]
        self.server = HTTPServer(Application(routes))
        self.server.add_sockets(sockets)

    def put(self, key: str, document: dict) -> None:
        """Store a document as JSON."""
        self.put_bytes(key, json.dumps(document).encode())

    def put_bytes(self, key: str, value: bytes) -> None:
        """Store a value as the next revision."""
        self.revision += 1
        item = {
            "key": key,
            "value": b64encode(value).decode(),
            "revision": self.revision,
            "created": self.revision,
            "lease": 0,
        }
        self.items[key] = item
        self._record(item)

    def remove(self, key: str) -> None:
        """Remove an item, which adds a tombstone to the history."""
        self.revision += 1
        del self.items[key]
        self._record({"key": key, "revision": self.revision, "tombstone": True})

    def compact(self) -> None:
        """Drop the history up to the current revision."""
        self.compacted_revision = self.revision
        self.history.clear()

    def copy(self) -> StoreCopy:
        """Return a copy of the content."""
        return StoreCopy(items=dict(self.items), revision=self.revision)

    def abandon_watches(self, count: int) -> None:
        """Never answer the first waiting watches; their connections stay open."""
        for watch in self.waiting[:count]:
            watch.is_abandoned = True
        self.wake_watches()

    def restore(self, copy: StoreCopy, *, keeps_watches: bool = False) -> None:
        """Replace the content by a copy; later changes are lost, revisions too.

        Parameters
        ----------
        copy : StoreCopy
            Content of the restored store.
        keeps_watches : bool
            Whether the waiting watches go on waiting for their revisions; by default
            they are answered.
        """
        for watch in self.waiting:
            watch.survives_restore = keeps_watches
        self.era += 1
        self.items = dict(copy.items)
        self.revision = copy.revision
        self.compact()
        self.wake_watches()

    def wake_watches(self) -> None:
        """Wake the waiting calls, which then check the content and faults again."""
        self.changed.set()
        self.changed = asyncio.Event()

    def _record(self, change: dict) -> None:
        self.history.append(change)
        self.wake_watches()


class StoreHandler(RequestHandler):
    """Base class of the store's handlers, which simulates the faults."""

    def initialize(self, store: StoreStandin) -> None:
        """Keep a reference to the store."""
        self.store = store

    async def prepare(self) -> None:
        """Record the call, set the era and simulate the active faults."""
        self.store.calls.append(self.request.path)
        self.set_header("Store-Era", str(self.store.era))
        while self.store.is_silent:
            await self.store.changed.wait()
        if self.store.refuses:
            self.set_status(503)
            self.finish({"error": "refused"})


class KeyHandler(StoreHandler):
    """Handler of ``GET /kv-key``."""

    def get(self) -> None:
        """Answer with one item, or with 404 if it does not exist."""
        item = self.store.items.get(self.get_query_argument("key"))
        if item is None:
            self.set_status(404)
        self.finish(dict(item or {}, store_revision=self.store.revision))


class RangeHandler(StoreHandler):
    """Handler of ``GET /kv-range``."""

    def get(self) -> None:
        """Answer with a page of the items whose keys have a prefix."""
        prefix = self.get_query_argument("prefix")
        after = self.get_query_argument("after", "")
        keys = sorted(key for key in self.store.items if key.startswith(prefix))
        keys = [key for key in keys if key > after]
        page = keys[: self.store.page_items]
        self.finish(
            {
                "items": [self.store.items[key] for key in page],
                "more_pages": len(keys) > len(page),
                "store_revision": self.store.revision,
            }
        )


class WatchHandler(StoreHandler):
    """Handler of ``GET /kv-watch``."""

    async def get(self) -> None:
        """Answer with the changes after a revision.

        Waits for the first change if there is none; the answer is empty at the
        timeout, or if the store is restored meanwhile.  A revision before the last
        compaction, or one that the store does not have, is answered 410.
        """
        after = int(self.get_query_argument("after"))
        wait = int(self.get_query_argument("wait_ms")) / 1000
        self.is_abandoned = self.store.ignores_watches
        self.survives_restore = False
        self.store.waiting.append(self)
        try:
            async with asyncio.timeout(wait):
                events = await self._wait_for_changes(after)
        except TimeoutError:
            events = []
        finally:
            self.store.waiting.remove(self)
        if self.is_abandoned:
            await asyncio.Event().wait()
        self.set_header("Store-Era", str(self.store.era))
        if not self._has_history(after):
            self.set_status(410)
            self.finish({"error": "history is gone"})
            return
        self.finish({"events": events, "store_revision": self.store.revision})

    async def _wait_for_changes(self, after: int) -> list[dict]:
        """Return the changes after a revision; none if the watch has to be ended."""
        store, era = self.store, self.store.era
        while self._has_history(after) and not self.is_abandoned:
            is_ended = store.era != era and not self.survives_restore
            events = self._changes_after(after)
            if events or is_ended:
                return events
            await store.changed.wait()
        return []

    def _has_history(self, after: int) -> bool:
        if self.survives_restore and after >= self.store.revision:
            return True
        return self.store.compacted_revision <= after <= self.store.revision

    def _changes_after(self, after: int) -> list[dict]:
        prefix = self.get_query_argument("prefix")
        return [
            change
            for change in self.store.history
            if change["revision"] > after and change["key"].startswith(prefix)
        ]
