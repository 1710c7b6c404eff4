"""Stand-in of the store: ranges, watches and its faults."""

import asyncio
import json
from base64 import b64encode
from dataclasses import dataclass, field

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

__all__ = ["StoreStandin"]

LOOPBACK = "127.0.0.1"
"""Address on which the stand-in listens."""

PAGE_ITEMS = 500
"""Items of one page of a range."""

FIRST_REVISION = 100
"""Revision before the first change; the counter starts above 0."""


@dataclass(slots=True, kw_only=True)
class StoreStandin:
    """The store's content and faults.

    Attributes
    ----------
    refuses : bool
        Whether calls are answered 503.
    is_silent : bool
        Whether calls get no answer.
    kept_after : int
        Revision up to which the history has been dropped.
    calls : list of str
        Paths that were called.
    """

    items: dict[str, dict] = field(default_factory=dict)
    history: list[dict] = field(default_factory=list)
    revision: int = FIRST_REVISION
    refuses: bool = False
    is_silent: bool = False
    kept_after: int = 0
    page_items: int = PAGE_ITEMS
    calls: list[str] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    server: HTTPServer | None = None
    port: int = 0

    def listen(self) -> None:
        """Listen on a free port of loopback."""
        routes = [
            ("/kv-key", KeyHandler, {"store": self}),
            ("/kv-range", RangeHandler, {"store": self}),
            ("/kv-watch", WatchHandler, {"store": self}),
        ]
        sockets = bind_sockets(0, LOOPBACK)
        self.port = sockets[0].getsockname()[1]
        self.server = HTTPServer(Application(routes))
        self.server.add_sockets(sockets)

    def put(self, key: str, document: dict) -> None:
        """Write a document as JSON."""
        self.put_bytes(key, json.dumps(document).encode())

    def put_bytes(self, key: str, value: bytes) -> None:
        """Write an item."""
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
        """Remove an item."""
        self.revision += 1
        del self.items[key]
        self._record({"key": key, "revision": self.revision, "tombstone": True})

    def compact(self) -> None:
        """Drop the history."""
        self.kept_after = self.revision
        self.history.clear()

    def wake(self) -> None:
        """Let waiting watches look again."""
        self.changed.set()
        self.changed = asyncio.Event()

    def _record(self, change: dict) -> None:
        self.history.append(change)
        self.wake()


class StoreHandler(RequestHandler):
    """What all calls have in common."""

    def initialize(self, store: StoreStandin) -> None:
        """Take the store."""
        self.store = store

    async def prepare(self) -> None:
        """Note the call and apply the faults."""
        self.store.calls.append(self.request.path)
        while self.store.is_silent:
            await self.store.changed.wait()
        if self.store.refuses:
            self.set_status(503)
            self.finish({"error": "refused"})


class KeyHandler(StoreHandler):
    """Answers ``GET /kv-key``."""

    def get(self) -> None:
        """Return one item."""
        item = self.store.items.get(self.get_query_argument("key"))
        if item is None:
            self.set_status(404)
        self.finish(dict(item or {}, store_revision=self.store.revision))


class RangeHandler(StoreHandler):
    """Answers ``GET /kv-range``."""

    def get(self) -> None:
        """Return a page of items."""
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
    """Answers ``GET /kv-watch``."""

    async def get(self) -> None:
        """Return changes after a revision, or none after the wait."""
        after = int(self.get_query_argument("after"))
        wait = int(self.get_query_argument("wait_ms")) / 1000
        if after < self.store.kept_after:
            self.set_status(410)
            self.finish({"error": "history is gone"})
            return
        try:
            async with asyncio.timeout(wait):
                while not (events := self._events(after)):
                    await self.store.changed.wait()
        except TimeoutError:
            events = []
        self.finish({"events": events, "store_revision": self.store.revision})

    def _events(self, after: int) -> list[dict]:
        prefix = self.get_query_argument("prefix")
        return [
            change
            for change in self.store.history
            if change["revision"] > after and change["key"].startswith(prefix)
        ]
