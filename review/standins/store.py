"""Stand-in of the platform's store, which the operator and the servers write."""

import asyncio
import json
from base64 import b64encode
from urllib.parse import parse_qs, urlsplit

from .http_part import answer_bytes, read_head

__all__ = ["Store"]

JSON = {"Content-Type": "application/json"}
HISTORY_SECONDS = 20.0
"""``history_s`` of the settings: time for which changes are kept."""
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
"""Items and bytes of a page; PROTOCOL.md: about 500 items or 1 MB."""


class Store:
    """Items, their changes of the last 20 s, and calls that wait for a change."""

    def __init__(self):
        self.items: dict[str, dict] = {}
        self.history: list[tuple[float, dict]] = []
        self.revision = 100
        self.forgotten = 100
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None

    async def listen(self, ip: str, port: int) -> None:
        """Accept calls at an address."""
        self.server = await asyncio.start_server(self._serve, ip, port)

    def put(self, key: str, document: dict) -> int:
        """Write an item and return its revision, which acknowledges it."""
        value = b64encode(json.dumps(document).encode()).decode()
        created = self.items.get(key, {}).get("created", self.revision + 1)
        item = {"key": key, "value": value, "created": created, "lease": 0}
        return self._change(key, item)

    def remove(self, key: str) -> int:
        """Remove an item and return the revision."""
        return self._change(key, {"key": key, "tombstone": True})

    def _change(self, key: str, change: dict) -> int:
        self.revision += 1
        change["revision"] = self.revision
        if "tombstone" in change:
            self.items.pop(key, None)
        else:
            self.items[key] = change
        self.history.append((asyncio.get_running_loop().time(), change))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def _forget(self) -> None:
        oldest = asyncio.get_running_loop().time() - HISTORY_SECONDS
        while self.history and self.history[0][0] < oldest:
            self.forgotten = self.history.pop(0)[1]["revision"]

    async def _serve(self, reader, writer) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                parts = urlsplit(head.first[1])
                query = {name: one[0] for name, one in parse_qs(parts.query).items()}
                status, document = await self._call(parts.path, query)
                writer.write(answer_bytes(status, json.dumps(document).encode(), JSON))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _call(self, path: str, query: dict) -> tuple[int, dict]:
        if path == "/kv-range":
            return 200, self._range(query.get("prefix", ""), query.get("after", ""))
        if path == "/kv-watch":
            return await self._watch(query)
        item = self.items.get(query.get("key", ""))
        known = {"store_revision": self.revision}
        return (200, {**item, **known}) if item else (404, known)

    def _range(self, prefix: str, after: str) -> dict:
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        page, size = [], 0
        for key in keys[:PAGE_ITEMS]:
            size += len(self.items[key]["value"])
            if page and size > PAGE_BYTES:
                break
            page.append(self.items[key])
        return {
            "items": page,
            "more_pages": len(page) < len(keys),
            "store_revision": self.revision,
        }

    async def _watch(self, query: dict) -> tuple[int, dict]:
        after, prefix = int(query["after"]), query.get("prefix", "")
        loop = asyncio.get_running_loop()
        end = loop.time() + min(30_000, int(query["wait_ms"])) / 1000
        while True:
            self._forget()
            if after < self.forgotten:
                return 410, {"store_revision": self.revision}
            events = [
                change
                for _, change in self.history
                if change["revision"] > after and change["key"].startswith(prefix)
            ]
            left = end - loop.time()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                continue
