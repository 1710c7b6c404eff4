"""Decoding of large documents of the store in parts."""

import asyncio
import gc
from collections.abc import Iterator
from contextlib import contextmanager

from result import Ok, Result

from ..reads import LARGE_ANSWER_BYTES
from ..registry.endpoints import DecodedItem, ItemError
from ..registry.items import Item, Snapshot
from ..routes import Configuration, Route
from .documents import decode_in_parts, decode_item

__all__ = ["DocumentDecoder"]

MAX_PREPARED = 8
"""Decoded items that are kept until they are asked for.  Those of a snapshot that came
too late never are; an answer of the store has at most four items of a megabyte."""


@contextmanager
def _paused_collection() -> Iterator[None]:
    """Collect no garbage while a document is decoded.

    Its many objects cause full collections, which take as long as a part of it, and
    would come beside the longest one.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


class DocumentDecoder:
    """Decodes items, the large ones in parts between which other work runs.

    Attributes
    ----------
    prepared : dict of tuple
        Large items that were decoded and not asked for yet, with the results, by key
        and revision.
    routes : dict of Route
        Routes of the large configuration that was decoded last, by their text.
    """

    __slots__ = ("prepared", "routes")

    def __init__(self):
        self.prepared: dict[
            tuple[str, int], tuple[Item, Result[DecodedItem, ItemError]]
        ] = {}
        self.routes: dict[str, Route] = {}

    async def prepare(self, snapshot: Snapshot) -> None:
        """Decode the large items of a snapshot, which is to be applied next."""
        for item in snapshot.items:
            if item.value is None or len(item.value) < LARGE_ANSWER_BYTES:
                continue
            with _paused_collection():
                decoded = await self._decode(item)
            if len(self.prepared) >= MAX_PREPARED:
                del self.prepared[next(iter(self.prepared))]
            self.prepared[item.key, item.revision] = item, decoded

    async def _decode(self, item: Item) -> Result[DecodedItem, ItemError]:
        parts = decode_in_parts(item, self.routes)
        while True:
            try:
                next(parts)
            except StopIteration as end:
                self._keep_routes(end.value)
                return end.value
            await asyncio.sleep(0)

    def _keep_routes(self, decoded: Result[DecodedItem, ItemError]) -> None:
        """Forget the routes that the last configuration doesn't have."""
        match decoded:
            case Ok(Configuration(routes=routes)):
                current = {id(one) for of_host in routes.values() for one in of_host}
                self.routes = {
                    text: one for text, one in self.routes.items() if id(one) in current
                }
            case _:
                self.routes.clear()

    def decode(self, item: Item) -> Result[DecodedItem, ItemError]:
        """Return what `decode_item` does; at once if the item was prepared."""
        prepared = self.prepared.pop((item.key, item.revision), None)
        if prepared is not None and prepared[0] == item:
            return prepared[1]
        return decode_item(item)
