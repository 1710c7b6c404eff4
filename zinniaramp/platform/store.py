"""Client of the platform's store: range reads and watches."""

import binascii
from base64 import b64decode
from datetime import timedelta
from functools import partial
from typing import Any
from urllib.parse import urlencode

from result import Err, Ok, Result
from tornado.httputil import HTTPHeaders
from tornado.iostream import IOStream, StreamClosedError
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from ..buffers import LARGE_BUFFER_BYTES, SERVER_BUFFER_BYTES
from ..clock import Clock
from ..reads import (
    MAX_ANSWER_BYTES,
    JsonAnswer,
    ReadAnswer,
    ReadError,
    ReadJson,
    Transfer,
    make_answer_reader,
    make_http_reader,
    make_transfer_reader,
)
from ..registry.items import History, Item, Snapshot, StoreRevision
from ..registry.source import Source
from ..sockets import Address, open_stream
from .documents import ENDPOINT_PREFIX

__all__ = ["make_json_reader", "make_store_source"]

CONNECT_TIMEOUT = timedelta(milliseconds=500)
"""Timeout of a connection attempt; the store answers in about 4 ms."""

RANGE_TIMEOUT = timedelta(seconds=2)
"""Time by which one page has to begin; a slow store takes about 400 ms."""

REVISION_TIMEOUT = timedelta(seconds=1.5)
"""Timeout of a read of the revision.  A slow store takes about 400 ms; on the link of a
machine that counts as reachable, packets wait up to 500 ms each way."""

WATCH_MARGIN = timedelta(seconds=1.5)
"""Time after the requested wait of a watch by which its answer has to begin."""

COPY_BUFFER_BYTES = SERVER_BUFFER_BYTES
"""Receive buffer of the connections on which configurations arrive.  As many bytes wait
on the link ahead of the callers' requests: 0.05 s at 5 Mbit/s."""

MAX_PAGES = 100
"""Maximum number of pages of one range read; a page holds up to 500 items."""

MAX_CONCURRENT_CALLS = 64
"""Maximum number of concurrent calls; a watch occupies one for its whole wait."""

MAX_HEADER_BYTES = 64 * 1024
"""Limit on the header block of an answer, in bytes."""

ALL_KEYS_PREFIX = ""
"""Prefix that matches all keys: one watch covers configuration and endpoints."""

NO_KEY_PREFIX = "~"
"""Prefix that matches no key: a read of it has the store's revision and no items."""

HISTORY_WAIT_MS = 1
"""Wait of a watch that reads changes which have already been made."""

ERA_HEADER = "Store-Era"
"""Header of all answers; its number rises when the store is restored from a copy."""

HTTP_GONE = 410
"""Status of a watch whose start revision has been compacted."""


class _ClientStream(IOStream):
    """Stream of a `SimpleAsyncHTTPClient`, whose call ends when the stream closes.

    The client raises the error of a stream that closes within the body of an answer.
    Tornado only logs that, and the call would not end before its timeout.
    """

    def close(self, exc_info: Any = False) -> None:
        """Close the stream, and report the error only to those who wait for it now."""
        super().close(exc_info)
        self.error = None


class _DirectConnections:
    """TCP client that connects to IP addresses without a DNS resolver.

    The connections use keep-alive probes.

    Parameters
    ----------
    receive_buffer : int, optional
        Size of the connections' receive buffers, in bytes.

    Attributes
    ----------
    latest : IOStream or None
        The connection that was opened last.
    closings : int
        Number of calls of `close_latest`.
    """

    def __init__(self, *, receive_buffer: int = LARGE_BUFFER_BYTES):
        self.receive_buffer = receive_buffer
        self.latest: IOStream | None = None
        self.closings = 0

    async def connect(self, host: str, port: int, *_, **__) -> IOStream:
        """Return a connected stream; `SimpleAsyncHTTPClient` calls this."""
        closings = self.closings
        opened = await open_stream(
            Address(ip=host, port=port),
            timeout=CONNECT_TIMEOUT,
            stream_class=_ClientStream,
            receive_buffer=self.receive_buffer,
        )
        match opened:
            case Ok(stream) if closings != self.closings:
                stream.close()
                raise StreamClosedError()
            case Ok(stream):
                self.latest = stream
                return stream
            case Err(error):
                raise StreamClosedError(real_error=error)

    def close(self) -> None:
        """Do nothing, because each call closes its own connection."""

    def close_latest(self) -> None:
        """Close the connection that was opened last, or is being opened."""
        self.closings += 1
        if self.latest is not None:
            self.latest.close()


def _decode_item(entry: object) -> Item:
    if not isinstance(entry, dict):
        raise ReadError(f"item {entry!r} is not an object")
    key, revision = entry.get("key"), entry.get("revision")
    if not isinstance(key, str) or type(revision) is not int:
        raise ReadError(f"item {str(entry)[:120]} has no valid key or revision")
    if entry.get("tombstone") is True:
        return Item(key=key, revision=revision, value=None)
    try:
        value = b64decode(entry["value"], validate=True)
    except (KeyError, TypeError, ValueError, binascii.Error) as error:
        raise ReadError(f"value of {key} is not base64: {error!r}") from error
    return Item(key=key, revision=revision, value=value)


def _decode_era(headers: HTTPHeaders) -> int:
    """Return the store's era; 0 from a store that reports none."""
    value = headers.get(ERA_HEADER, "0")
    if not value.isascii() or not value.isdigit():
        raise ReadError(f"{ERA_HEADER} = {value!r} is not a whole number")
    return int(value)


def _decode_snapshot(received: JsonAnswer, field: str) -> Snapshot:
    answer = received.document
    if not isinstance(answer, dict) or not isinstance(answer.get(field), list):
        raise ReadError(f"answer has no list '{field}'")
    revision = answer.get("store_revision")
    if type(revision) is not int:
        raise ReadError(f"store_revision = {revision!r} is not an integer")
    items = tuple(_decode_item(entry) for entry in answer[field])
    known = StoreRevision(era=_decode_era(received.headers), number=revision)
    return Snapshot(revision=known, items=items, is_complete=False)


def _make_client(connections: _DirectConnections) -> SimpleAsyncHTTPClient:
    client = SimpleAsyncHTTPClient(
        force_instance=True,
        max_clients=MAX_CONCURRENT_CALLS,
        max_header_size=MAX_HEADER_BYTES,
        max_body_size=MAX_ANSWER_BYTES,
    )
    client.tcp_client = connections
    return client


def make_json_reader() -> ReadJson:
    """Return a function that reads JSON from a server by IP address."""
    return make_http_reader(_make_client(_DirectConnections()))


def make_store_source(address: Address, *, clock: Clock) -> Source:
    """Return the functions that read and watch the store at an address.

    Parameters
    ----------
    address : Address
        Address of the store.
    clock : Clock
        The process's clock.
    """
    read = make_answer_reader(_make_client(_DirectConnections()))
    transfer = Transfer(clock=clock)
    read_copy = _make_copy_reader(transfer)
    read_endpoints = _make_copy_reader(Transfer(clock=clock))
    base = f"http://{address}"

    async def read_all() -> Result[Snapshot, ReadError]:
        return await _read_pages(read_copy, base)

    async def watch(
        after: StoreRevision, wait: timedelta
    ) -> Result[Snapshot | None, ReadError]:
        return await _watch(read_copy, base, ALL_KEYS_PREFIX, after, wait)

    async def watch_endpoints(
        after: StoreRevision, wait: timedelta
    ) -> Result[Snapshot | None, ReadError]:
        return await _watch(read_endpoints, base, ENDPOINT_PREFIX, after, wait)

    async def read_revision() -> Result[StoreRevision, ReadError]:
        query = urlencode({"prefix": NO_KEY_PREFIX})
        answer = await read(f"{base}/kv-range?{query}", REVISION_TIMEOUT)
        page = answer.and_then(partial(_parse_snapshot, field="items"))
        return page.map(lambda snapshot: snapshot.revision)

    async def read_endpoint_changes(
        after: StoreRevision,
    ) -> Result[Snapshot, ReadError]:
        return await _read_changes(read, base, after.number)

    async def read_history() -> Result[History, ReadError]:
        newest = await read_revision()
        if isinstance(newest, Err):
            return newest
        return await _read_history(read, base, newest.ok_value)

    return Source(
        read_all=read_all,
        watch=watch,
        read_revision=read_revision,
        read_history=read_history,
        watch_endpoints=watch_endpoints,
        read_endpoint_changes=read_endpoint_changes,
        transfer=transfer,
    )


def _make_copy_reader(transfer: Transfer) -> ReadAnswer:
    """Return a reader for answers of any size, one at a time."""
    connections = _DirectConnections(receive_buffer=COPY_BUFFER_BYTES)
    client = _make_client(connections)
    return make_transfer_reader(
        client, transfer=transfer, close=connections.close_latest
    )


async def _watch(
    read: ReadAnswer, base: str, prefix: str, after: StoreRevision, wait: timedelta
) -> Result[Snapshot | None, ReadError]:
    """Wait for the changes of keys with a prefix; None if the history is gone."""
    wait_ms = wait // timedelta(milliseconds=1)
    query = urlencode({"prefix": prefix, "after": after.number, "wait_ms": wait_ms})
    answer = await read(f"{base}/kv-watch?{query}", wait + WATCH_MARGIN)
    if answer.is_err() and answer.err_value.status == HTTP_GONE:
        return Ok(None)
    return answer.and_then(partial(_parse_snapshot, field="events"))


async def _read_history(
    read: ReadAnswer, base: str, newest: StoreRevision
) -> Result[History, ReadError]:
    """Read all changes of endpoint entries that the store still has.

    The store doesn't tell where its history begins, so a binary search finds the
    earliest revision from which a watch is possible.
    """
    changes: tuple[Item, ...] = ()
    missing, start, tried = -1, newest.number, 0
    while start - missing > 1:
        answer = await _read_changes(read, base, tried)
        if answer.is_err() and answer.err_value.status != HTTP_GONE:
            return answer
        if answer.is_err():
            missing = tried
        elif answer.ok_value.revision.era != newest.era:
            return Err(ReadError("the store was restored during the search"))
        else:
            changes, start = answer.ok_value.items, tried
        tried = (missing + start) // 2
    is_empty = start >= newest.number
    return Ok(
        History(revision=newest, items=changes, is_full=start == 0, is_empty=is_empty)
    )


async def _read_changes(
    read: ReadAnswer, base: str, after: int
) -> Result[Snapshot, ReadError]:
    """Read the changes of endpoint entries after a revision number."""
    query = urlencode(
        {"prefix": ENDPOINT_PREFIX, "after": after, "wait_ms": HISTORY_WAIT_MS}
    )
    answer = await read(f"{base}/kv-watch?{query}", REVISION_TIMEOUT)
    return answer.and_then(partial(_parse_snapshot, field="events"))


def _parse_snapshot(answer: JsonAnswer, *, field: str) -> Result[Snapshot, ReadError]:
    try:
        return Ok(_decode_snapshot(answer, field))
    except ReadError as error:
        return Err(error)


async def _read_pages(read: ReadAnswer, base: str) -> Result[Snapshot, ReadError]:
    """Read all pages into one complete snapshot.

    The snapshot has the revision of the first page.  A watch that starts there also
    returns the changes made while later pages were read.
    """
    first_revision: StoreRevision | None = None
    items: list[Item] = []
    query = {"prefix": ALL_KEYS_PREFIX}
    for _ in range(MAX_PAGES):
        answer = await read(f"{base}/kv-range?{urlencode(query)}", RANGE_TIMEOUT)
        page = answer.and_then(partial(_parse_snapshot, field="items"))
        if page.is_err():
            return page
        snapshot = page.ok_value
        first_revision = first_revision or snapshot.revision
        if snapshot.revision.era != first_revision.era:
            return Err(ReadError("the store was restored between two pages"))
        items.extend(snapshot.items)
        if not answer.ok_value.document.get("more_pages") or not snapshot.items:
            break
        query["after"] = snapshot.items[-1].key
    return Ok(Snapshot(revision=first_revision, items=tuple(items), is_complete=True))
