"""Stand-in of the platform's metadata store: range reads and watches."""

import asyncio
import json
from base64 import b64encode
from urllib.parse import parse_qs, urlsplit

from .wire import format_head, read_message

__all__ = ["Store"]

LOOPBACK = "127.0.0.1"


class Store:
    """A sound store, which keeps all of its history.

    Attributes
    ----------
    items : dict
        Items by key, as the store's answers have them.
    history : list of dict
        All changes, in the order of their revisions.
    port : int
        Port of its listener on loopback.
    """

    def __init__(self):
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.revision = 100
        self.changed = asyncio.Event()
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port of loopback."""
        server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = server.sockets[0].getsockname()[1]

    def put(self, key: str, document: dict) -> None:
        """Write an item."""
        self.revision += 1
        item = {
            "key": key,
            "value": b64encode(json.dumps(document).encode()).decode(),
            "revision": self.revision,
            "created": self.revision,
            "lease": 0,
        }
        self.items[key] = item
        self._record(item)

    def remove(self, key: str) -> None:
        """Remove an item, as when a server's entry has expired."""
        self.revision += 1
        del self.items[key]
        self._record({"key": key, "revision": self.revision, "tombstone": True})

    def _record(self, change: dict) -> None:
        self.history.append(change)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                url = urlsplit(request.start[1])
                query = {name: one[0] for name, one in parse_qs(url.query).items()}
                if url.path == "/kv-watch":
                    document = await self._watch(query)
                else:
                    document = self._range(query)
                body = json.dumps(document).encode()
                headers = {
                    "Content-Type": "application/json",
                    "Content-Length": str(len(body)),
                }
                writer.write(format_head("HTTP/1.1 200 OK", headers) + body)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    def _range(self, query: dict[str, str]) -> dict:
        prefix = query.get("prefix", "")
        items = [self.items[key] for key in sorted(self.items)]
        return {
            "items": [one for one in items if one["key"].startswith(prefix)],
            "more_pages": False,
            "store_revision": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> dict:
        after, prefix = int(query["after"]), query.get("prefix", "")
        try:
            async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                while not (events := self._events(after, prefix)):
                    await self.changed.wait()
        except TimeoutError:
            events = []
        return {"events": events, "store_revision": self.revision}

    def _events(self, after: int, prefix: str) -> list[dict]:
        return [
            one
            for one in self.history
            if one["revision"] > after and one["key"].startswith(prefix)
        ]
