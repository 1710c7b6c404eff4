"""Stand-in of the platform's store, as PROTOCOL.md describes its reading calls.

Each gateway gets a port of its own, so that the store can turn single machines away
("It may reject some machines ... while it serves the other machines").
"""

import asyncio
import json
from base64 import b64encode
from urllib.parse import parse_qs, urlsplit

from .http import make_message, read_head

LOOPBACK = "127.0.0.1"


class Door:
    """Port at which one machine calls the store.

    Attributes
    ----------
    is_silent : bool
        Whether calls of this machine get no response until they are closed.
    """

    def __init__(self, store: "Store"):
        self.store = store
        self.is_silent = False
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        """Listen on a free port of loopback."""
        server = await asyncio.start_server(self._handle, LOOPBACK, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _handle(self, reader, writer) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                answer = await self._answer(head)
                if answer is None:
                    # Nothing follows on a channel on which a response is lost.
                    await reader.read()
                    break
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, head) -> bytes | None:
        if self.is_silent:
            return None
        parts = urlsplit(head.line[1])
        query = {k: v[0] for k, v in parse_qs(parts.query, True).items()}
        await asyncio.sleep(0.004)
        status, document = await self.store.call(parts.path, query)
        if self.is_silent:
            return None
        fields = {"Content-Type": "application/json"}
        body = json.dumps(document).encode()
        return make_message(f"HTTP/1.1 {status} X", fields, body)


class Store:
    """Items, revisions and history of the store."""

    def __init__(self):
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.revision = 400
        self.changed = asyncio.Event()

    def put(self, key: str, document: dict) -> None:
        """Write an item."""
        self.revision += 1
        value = b64encode(json.dumps(document).encode()).decode()
        known = self.items.get(key)
        created = known["created"] if known else self.revision
        item = {"key": key, "value": value, "revision": self.revision}
        item |= {"created": created, "lease": 0}
        self.items[key] = item
        self._record(item)

    def remove(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        del self.items[key]
        self._record({"key": key, "revision": self.revision, "tombstone": True})

    def _record(self, change: dict) -> None:
        self.history.append(change)
        self.changed.set()
        self.changed = asyncio.Event()

    async def call(self, path: str, query: dict) -> tuple[int, dict]:
        """Return the status and the document of the answer to a call."""
        prefix = query.get("prefix", "")
        if path == "/kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = [self.items[key] for key in keys[:500]]
            more = len(keys) > 500
            document = {"items": page, "more_pages": more}
            return 200, document | {"store_revision": self.revision}
        if path == "/kv-watch":
            return 200, await self._watch(prefix, query)
        if path == "/kv-key":
            item = self.items.get(query.get("key", ""))
            extra = {"store_revision": self.revision}
            return (200, item | extra) if item else (404, extra)
        return 404, {}

    async def _watch(self, prefix: str, query: dict) -> dict:
        after = int(query["after"])
        loop = asyncio.get_running_loop()
        deadline = loop.time() + min(30000, int(query["wait_ms"])) / 1000
        while True:
            changed = self.changed
            events = [
                one
                for one in self.history
                if one["revision"] > after and one["key"].startswith(prefix)
            ]
            left = deadline - loop.time()
            if events or left <= 0:
                return {"events": events, "store_revision": self.revision}
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                continue
