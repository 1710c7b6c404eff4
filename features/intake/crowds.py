"""Crowds of misbehaving callers, and what they send.

A member of a crowd sends its bytes and keeps its connection open without reading.
"""

import asyncio
import functools
import itertools
import json
import socket
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from features.gateway.exchanges import API_KEY, HOSTNAME
from features.gateway.rig import LOOPBACK
from zinniaramp.standins.fleet import MODEL
from zinniaramp.standins.platform.faults import make_short_fields

BODY_BYTES = 1_000_000
"""``max_body_bytes`` of the scenarios' configuration."""
MISSING_BYTES = 1_000
"""Bytes by which an incomplete body stops short of its end."""
OVERSIZED_BYTES = 50_000_000
"""Length that a body far over the limit announces."""
OVERSIZED_SENT_BYTES = 4_000_000
"""Bytes of such a body that a member tries to send."""
HEADER_BYTES = 16_000
"""Size of a header block of many short fields; ``max_header_bytes`` is 16,384."""
PIECE_BYTES = 65_536
"""Bytes that a member passes to its socket at a time."""
RECEIVE_BUFFER_BYTES = 4_096
"""Receive buffer of a member's socket: little of an unread answer stays in it."""
ENDLESS_BYTES = 24_000_000
"""Bytes that a member sends whose body has no end or is far over the limit."""
PIPELINED_BODY_BYTES = 100_000
"""Size of each body of a member that sends many requests at once."""
CHUNK_BYTES = 20_000
"""Size of the chunks of a body without an end."""
LARGE_PIECE_BYTES = 1_000_000
"""Bytes that a member with such a body passes to its socket at a time, so that its
kernel always has more to send."""
OWN_BODY_BYTES = 2_000_000
"""Size of a body at the product's own interface; its limit is 2 MiB."""
STALL_SECONDS = 0.5
"""Time without any sent byte after which a crowd counts as stopped by the process."""
MAX_CROWD_SECONDS = 12
"""Longest time that a crowd sends."""
SLOW_INTERVAL_SECONDS = 0.1
"""Interval between two bytes of a slow sender."""
SLOW_BYTES = 20
"""Bytes that a slow sender sends, one at a time."""
SLOW_READ_BYTES = 512
"""Bytes that a slow reader reads at a time."""
SLOW_READS = 20
"""Reads of a slow reader, after which it reads no more."""
HUGE_FRAME_ELEMENTS = 0x7FFFFFFF
"""Elements of the message that a hostile peer announces."""
ANNOUNCED_STRING_BYTES = 60_000_000
"""Length of the string that a hostile peer announces."""
PATHS = {
    "a route": "/book/x",
    "a path without a route": "/none/x",
    "the readiness listener": "/readyz",
    "the metrics listener": "/metrics",
    "the peer listener": "/",
    "all listeners": "/none/x",
}


SHORT_FIELDS = make_short_fields(HEADER_BYTES - 400)


def head(method, path, number, *lines):
    """Return a header block without its final blank line."""
    fields = (
        f"{method} {path} HTTP/1.1",
        f"Host: {HOSTNAME}",
        f"Zinniaramp-Request-Id: crowd-{number}",
        f"Authorization: Bearer {API_KEY}",
        "Zinniaramp-Deadline-Ms: 5000",
        *lines,
    )
    return "\r\n".join(fields).encode() + b"\r\n"


def in_pieces(data, size):
    """Yield a body in pieces."""
    for start in range(0, len(data), size):
        yield data[start : start + size]


def filler(total, size=PIECE_BYTES):
    """Yield pieces of a body of some length, which share their memory."""
    piece = memoryview(b"x" * size)
    for start in range(0, total, size):
        yield piece[: total - start]


def chunks(total, size):
    """Yield chunks of a chunked body without the last one."""
    chunk = f"{size:x}\r\n".encode() + b"x" * size + b"\r\n"
    for _ in range(total // size):
        yield chunk


def fixed_body(path, number, length, sent, piece=PIECE_BYTES):
    """Yield a request that announces `length` bytes and sends `sent`."""
    yield head("POST", path, number, f"Content-Length: {length}") + b"\r\n"
    yield from filler(sent, piece)


def chunked_body(path, number, sent, size):
    """Yield a chunked request that lacks its last chunk."""
    yield head("POST", path, number, "Transfer-Encoding: chunked") + b"\r\n"
    yield from chunks(sent, size)


def pipelined(path, number, count, *lines):
    """Yield many complete requests on one connection."""
    for index in range(count):
        yield head("GET", path, f"{number}-{index}", *lines) + b"\r\n"


def slow_request(path, number):
    """Yield the bytes of a request one at a time."""
    yield from in_pieces(head("GET", path, number)[:SLOW_BYTES], 1)


def half_message():
    """Yield an array whose only element is a string that never ends."""
    announced = b"\x91\xdb" + ANNOUNCED_STRING_BYTES.to_bytes(4)
    yield announced
    yield from filler(4_000_000)


def huge_frame():
    """Yield the beginning of an array of very many small strings."""
    announced = b"\xdd" + HUGE_FRAME_ELEMENTS.to_bytes(4)
    return in_pieces(memoryview(announced + b"\xa1x" * 2_000_000), PIECE_BYTES)


@functools.cache
def many_chunks():
    """Return a large piece of a chunked body."""
    return b"".join(chunks(LARGE_PIECE_BYTES, CHUNK_BYTES))


def endless_chunks(path, number):
    """Yield a chunked request that goes on far beyond the limit."""
    yield head("POST", path, number, "Transfer-Encoding: chunked") + b"\r\n"
    for _ in range(ENDLESS_BYTES // LARGE_PIECE_BYTES):
        yield many_chunks()


def pipelined_bodies(path, number, total):
    """Yield complete requests with bodies on one connection."""
    per_piece = LARGE_PIECE_BYTES // PIPELINED_BODY_BYTES
    for start in range(0, total // PIPELINED_BODY_BYTES, per_piece):
        requests = [
            fixed_body(path, f"{number}-{index}", *[PIPELINED_BODY_BYTES] * 2)
            for index in range(start, start + per_piece)
        ]
        yield b"".join(itertools.chain.from_iterable(requests))


def own_request(path, length, pieces):
    """Yield a request with a body to the product's own interface."""
    fields = (
        f"POST {path} HTTP/1.1",
        "Host: x",
        "Content-Type: application/json",
        f"Content-Length: {length}",
    )
    yield "\r\n".join(fields).encode() + b"\r\n\r\n"
    yield from pieces


@functools.cache
def small_values():
    """Return a valid chat request of the largest size with very many JSON values."""
    chat = {
        "model": MODEL,
        "messages": [{"role": "user", "content": "x"}],
        "stream": True,
        "values": [],
    }
    count = OWN_BODY_BYTES // 3
    return json.dumps(chat)[:-3].encode() + b"[" + b"[]," * count + b"[]]}"


INCOMPLETE_BYTES = BODY_BYTES - MISSING_BYTES
EVENT_STREAM = "Accept: text/event-stream"

MESSAGES = {
    "bodies that stop short, in one piece": lambda path, number: fixed_body(
        path, number, BODY_BYTES, INCOMPLETE_BYTES
    ),
    "bodies that stop short, in small pieces": lambda path, number: fixed_body(
        path, number, BODY_BYTES, INCOMPLETE_BYTES, piece=2_000
    ),
    "bodies that stop short, in chunks": lambda path, number: chunked_body(
        path, number, INCOMPLETE_BYTES, 1_000
    ),
    "complete bodies": lambda path, number: fixed_body(
        path, number, BODY_BYTES, BODY_BYTES
    ),
    "bodies over the limit": lambda path, number: fixed_body(
        path, number, OVERSIZED_BYTES, OVERSIZED_SENT_BYTES
    ),
    "bodies over the limit, in chunks": lambda path, number: chunked_body(
        path, number, OVERSIZED_SENT_BYTES, 20_000
    ),
    "many short header fields": lambda path, number: iter(
        [head("GET", path, number) + SHORT_FIELDS + b"\r\n"]
    ),
    "half a header block": lambda path, number: iter(
        [head("GET", path, number) + SHORT_FIELDS]
    ),
    "half a request line": lambda path, number: iter([b"GET /bo"]),
    "nothing": lambda path, number: iter(()),
    "one byte at a time": slow_request,
    "pipelined requests": lambda path, number: pipelined(path, number, 200),
    "one request each": lambda path, number: pipelined("/read/x", number, 1),
    "one stream each": lambda path, number: pipelined(
        "/tell/x", number, 1, EVENT_STREAM
    ),
    "pipelined requests for streams": lambda path, number: pipelined(
        "/tell/x", number, 20, EVENT_STREAM
    ),
    "streams, read slowly": lambda path, number: pipelined(
        "/tell/x", number, 1, EVENT_STREAM
    ),
    "bodies of 24 MB": lambda path, number: fixed_body(
        path, number, ENDLESS_BYTES, ENDLESS_BYTES, piece=LARGE_PIECE_BYTES
    ),
    "the head of a body of 24 MB": lambda path, number: fixed_body(
        path, number, ENDLESS_BYTES, 0
    ),
    "chunks without an end": endless_chunks,
    "pipelined bodies": lambda path, number: pipelined_bodies(
        path, number, ENDLESS_BYTES
    ),
    "bytes without an end": lambda path, number: filler(
        ENDLESS_BYTES, LARGE_PIECE_BYTES
    ),
    "complete calls": lambda path, number: own_request(
        "/services/ledger/entries", OWN_BODY_BYTES, filler(OWN_BODY_BYTES)
    ),
    "complete bodies of 2 MB": lambda path, number: fixed_body(
        path, number, OWN_BODY_BYTES, OWN_BODY_BYTES
    ),
    "bodies of 2 MB that stop short": lambda path, number: fixed_body(
        path, number, OWN_BODY_BYTES, OWN_BODY_BYTES - MISSING_BYTES
    ),
    "many small values": lambda path, number: own_request(
        "/v1/chat/completions",
        len(small_values()),
        in_pieces(memoryview(small_values()), PIECE_BYTES),
    ),
    "a huge frame": lambda path, number: huge_frame(),
    "half a message": lambda path, number: half_message(),
}
"""What a member of a crowd of some kind sends, by path and number."""


@dataclass(slots=True, kw_only=True)
class Crowd:
    """Members that send to some ports, each on a connection of its own.

    Parameters
    ----------
    ports : tuple of int
        Ports on loopback, which the members use in turn.
    make_pieces : callable
        Returns what a member sends, by its number.
    is_slow : bool
        Whether there is a pause after each piece.
    reads : int
        Number of slow reads of each member after it has sent.
    """

    ports: tuple[int, ...]
    make_pieces: Callable[[int], Iterator[bytes]]
    is_slow: bool = False
    reads: int = 0
    sockets: list[socket.socket] = field(default_factory=list)
    tasks: list[asyncio.Task] = field(default_factory=list)
    progress: int = 0

    async def send(self, count):
        """Let `count` members send until all are done or no byte is taken any more."""
        self.tasks = [
            asyncio.create_task(self._run_member(number)) for number in range(count)
        ]
        loop = asyncio.get_running_loop()
        deadline = loop.time() + MAX_CROWD_SECONDS
        progress = -1
        while loop.time() < deadline and progress != self.progress:
            progress = self.progress
            _, pending = await asyncio.wait(self.tasks, timeout=STALL_SECONDS)
            if not pending:
                return

    async def _run_member(self, number):
        loop = asyncio.get_running_loop()
        member = socket.socket()
        member.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        member.setblocking(False)
        self.sockets.append(member)
        try:
            port = self.ports[number % len(self.ports)]
            await loop.sock_connect(member, (LOOPBACK, port))
            self.progress += 1
            for piece in self.make_pieces(number):
                await loop.sock_sendall(member, piece)
                self.progress += 1
                if self.is_slow:
                    await asyncio.sleep(SLOW_INTERVAL_SECONDS)
            for _ in range(self.reads):
                await loop.sock_recv(member, SLOW_READ_BYTES)
                self.progress += 1
                await asyncio.sleep(SLOW_INTERVAL_SECONDS)
        except OSError:
            # The process refused the member or closed its connection.
            return

    async def leave(self):
        """End all members and close their connections."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for member in self.sockets:
            member.close()
