"""Calls to the platform's store: ranges and watches."""

import binascii
from base64 import b64decode
from datetime import timedelta
from functools import partial
from urllib.parse import urlencode

from result import Err, Ok, Result
from tornado.iostream import IOStream, StreamClosedError
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from ..reads import ReadError, ReadJson, make_reader
from ..registry.follower import Source
from ..registry.items import Item, Snapshot
from ..sockets import Address, open_stream

__all__ = ["make_direct_reader", "make_store"]

CONNECT_TIMEOUT = timedelta(milliseconds=500)
"""Longest wait for a connection; the store answers in some 4 ms."""

RANGE_TIMEOUT = timedelta(seconds=2)
"""Longest wait for a page; a slow store answers a hundred times slower than 4 ms."""

WATCH_EXTRA = timedelta(seconds=1.5)
"""Time that a watch may take beyond the wait that was asked for."""

MAX_PAGES = 100
"""Pages of one range; each holds up to 500 items."""

MAX_CALLS = 64
"""Calls at a time; a watch holds one of them."""

EVERYTHING = ""
"""Prefix of all keys: one watch then serves configuration and endpoints."""

HISTORY_GONE = 410
"""Status of a watch whose revision is no longer kept."""


class _DirectConnections:
    """Opens connections without a resolver, with keep-alive probes."""

    async def connect(self, host: str, port: int, *_, **__) -> IOStream:
        """Return a connected stream, for `SimpleAsyncHTTPClient`."""
        opened = await open_stream(Address(ip=host, port=port), timeout=CONNECT_TIMEOUT)
        match opened:
            case Ok(stream):
                return stream
            case Err(error):
                raise StreamClosedError(real_error=error)

    def close(self) -> None:
        """Do nothing; each connection belongs to its call."""


def _item(entry: object) -> Item:
    if not isinstance(entry, dict):
        raise ReadError(f"item {entry!r} is not an object")
    key, revision = entry.get("key"), entry.get("revision")
    if not isinstance(key, str) or type(revision) is not int:
        raise ReadError(f"item {str(entry)[:120]} lacks key or revision")
    if entry.get("tombstone") is True:
        return Item(key=key, revision=revision, value=None)
    try:
        value = b64decode(entry["value"], validate=True)
    except (KeyError, TypeError, ValueError, binascii.Error) as error:
        raise ReadError(f"value of {key} is not base64: {error!r}") from error
    return Item(key=key, revision=revision, value=value)


def _snapshot(answer: object, field: str) -> Snapshot:
    if not isinstance(answer, dict) or not isinstance(answer.get(field), list):
        raise ReadError(f"answer without the list {field}")
    revision = answer.get("store_revision")
    if type(revision) is not int:
        raise ReadError(f"store_revision = {revision!r} is not a whole number")
    items = tuple(_item(entry) for entry in answer[field])
    return Snapshot(revision=revision, items=items, is_complete=False)


def make_direct_reader() -> ReadJson:
    """Return the reader of JSON from the store and from servers, by IP address."""
    client = SimpleAsyncHTTPClient(force_instance=True, max_clients=MAX_CALLS)
    client.tcp_client = _DirectConnections()
    return make_reader(client)


def make_store(address: Address) -> Source:
    """Return the calls to the store at an address."""
    read = make_direct_reader()
    base = f"http://{address}"

    async def read_all() -> Result[Snapshot, ReadError]:
        return await _read_pages(read, base)

    async def watch(after: int, wait: timedelta) -> Result[Snapshot | None, ReadError]:
        wait_ms = wait // timedelta(milliseconds=1)
        query = urlencode({"prefix": EVERYTHING, "after": after, "wait_ms": wait_ms})
        answer = await read(f"{base}/kv-watch?{query}", wait + WATCH_EXTRA)
        if answer.is_err() and answer.err_value.status == HISTORY_GONE:
            return Ok(None)
        return answer.and_then(partial(_checked, field="events"))

    return Source(read_all=read_all, watch=watch)


def _checked(answer: object, *, field: str) -> Result[Snapshot, ReadError]:
    try:
        return Ok(_snapshot(answer, field))
    except ReadError as error:
        return Err(error)


async def _read_pages(read: ReadJson, base: str) -> Result[Snapshot, ReadError]:
    """Read all pages; the revision is the first page's, which misses nothing."""
    first: int | None = None
    items: list[Item] = []
    query = {"prefix": EVERYTHING}
    for _ in range(MAX_PAGES):
        answer = await read(f"{base}/kv-range?{urlencode(query)}", RANGE_TIMEOUT)
        page = answer.and_then(partial(_checked, field="items"))
        if page.is_err():
            return page
        found = page.ok_value
        first = found.revision if first is None else first
        items.extend(found.items)
        if not answer.ok_value.get("more_pages") or not found.items:
            break
        query["after"] = found.items[-1].key
    return Ok(Snapshot(revision=first or 0, items=tuple(items), is_complete=True))
