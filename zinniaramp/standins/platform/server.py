"""Stand-in of a server: plain calls and streams, and ways to misbehave."""

import asyncio
import socket
import struct
import time
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler, stream_request_body

from ..engine.core import EngineRequest, Token
from .engine import PartEngine, read_parts

__all__ = ["Conduct", "ServerStandin", "expected_body", "expected_events"]

LOOPBACK = "127.0.0.1"
"""Address on which the stand-in listens."""

LARGEST_BODY = 64 * 1024 * 1024
"""Bytes of a request's body that are read."""


class Conduct(Enum):
    """What a server does with one request."""

    ANSWER = "answer"
    FAIL = "fail"
    SHED = "shed"
    UNAVAILABLE = "unavailable"
    CLOSE = "close"
    TEAR = "tear"
    FOREIGN = "foreign"
    UNSIGNED = "unsigned"
    ENCODED = "encoded"
    GARBAGE = "garbage"
    EXTRA = "extra"
    UNFRAMED = "unframed"
    RESET = "reset"
    EARLY = "early"
    HOLD = "hold"
    STALL = "stall"
    REPEAT = "repeat"


@dataclass(slots=True, kw_only=True)
class Arrival:
    """One request that reached the server; `at` is monotonic, in seconds."""

    at: float
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    ran: bool = False
    ended: bool = False
    was_cut: bool = False


def expected_body(request_id: str) -> bytes:
    """Return the body of a plain answer to a request."""
    return f"result of {request_id}\n".encode()


def expected_events(request_id: str, first: int, count: int) -> bytes:
    """Return the events of a stream from one number on."""
    return b"".join(
        f"id: {number}\ndata: {request_id}.{number}\n\n".encode()
        for number in range(first, count + 1)
    )


@dataclass(slots=True, kw_only=True)
class ServerStandin:
    """One server.

    Attributes
    ----------
    id : str
        Its id; another one that a request expects is answered 421.
    conducts : deque of Conduct
        What it does with the next requests; `Conduct.ANSWER` after them.
    events : int
        Events of a stream.
    tear_after : int
        Events of a stream that is torn.
    released : asyncio.Event
        Set to let held requests go on.
    has_reader : asyncio.Event
        Set when the caller of a stream that is to be torn has its first events.
    arrivals : list of Arrival
        Requests that reached it.
    engine : PartEngine or None
        Engine of a model server, whose `run` the owner starts; it makes the streams.
    """

    id: str
    conducts: deque[Conduct] = field(default_factory=deque)
    events: int = 4
    tear_after: int = 2
    released: asyncio.Event = field(default_factory=asyncio.Event)
    has_reader: asyncio.Event = field(default_factory=asyncio.Event)
    arrivals: list[Arrival] = field(default_factory=list)
    engine: PartEngine | None = None
    server: HTTPServer | None = None
    port: int = 0

    def listen(self) -> None:
        """Listen on a free port of loopback."""
        sockets = bind_sockets(0, LOOPBACK)
        self.port = sockets[0].getsockname()[1]
        routes = [("/.*", ServerHandler, {"standin": self})]
        if self.engine is not None:
            reports = {"engine": self.engine}
            routes[:0] = [
                ("/kv-list", HeldHandler, reports),
                ("/report", ReportHandler, reports),
            ]
        application = Application(routes)
        self.server = HTTPServer(application, max_body_size=LARGEST_BODY)
        self.server.add_sockets(sockets)

    @property
    def runs(self) -> list[Arrival]:
        """Requests that have run."""
        return [arrival for arrival in self.arrivals if arrival.ran]


class HeldHandler(RequestHandler):
    """Answers ``GET /kv-list``."""

    def initialize(self, engine: PartEngine) -> None:
        """Take the engine."""
        self.engine = engine

    def get(self) -> None:
        """Return the parts that the engine keeps."""
        self.finish(self.engine.list_held())


class ReportHandler(HeldHandler):
    """Answers ``GET /report``."""

    def get(self) -> None:
        """Return how busy the engine is."""
        self.finish(self.engine.report())


@stream_request_body
class ServerHandler(RequestHandler):
    """Answers requests of clients, passed on by an entry."""

    def initialize(self, standin: ServerStandin) -> None:
        """Take the server."""
        self.standin = standin
        self.arrival: Arrival | None = None
        self.taken: EngineRequest | None = None
        self.body = bytearray()

    async def prepare(self) -> None:
        """Answer before the body is read, if that is the next conduct."""
        conducts = self.standin.conducts
        if not conducts or conducts[0] is not Conduct.EARLY:
            return
        conducts.popleft()
        self._sign()
        self.set_status(500)
        self.finish()

    def data_received(self, chunk: bytes) -> None:
        """Collect the body."""
        self.body += chunk

    async def handle(self) -> None:
        """Answer by the next conduct."""
        self.arrival = Arrival(
            at=time.monotonic(),
            method=self.request.method,
            target=self.request.uri,
            headers=dict(self.request.headers),
            body=bytes(self.body),
        )
        self.standin.arrivals.append(self.arrival)
        expected = self.request.headers.get("Zinniaramp-Expect-Instance")
        if expected not in (None, self.standin.id):
            self.set_status(421)
            self.set_header("Zinniaramp-Instance-Id", self.standin.id)
            return
        conducts = self.standin.conducts
        conduct = conducts.popleft() if conducts else Conduct.ANSWER
        if conduct is Conduct.SHED:
            self.set_status(503)
            self.set_header("Zinniaramp-Not-Executed", "1")
            return
        self.arrival.ran = True
        if conduct is Conduct.HOLD:
            await self.standin.released.wait()
        await self.run(conduct)
        self.arrival.ended = True

    get = post = put = delete = patch = handle

    def on_connection_close(self) -> None:
        """Note that the caller has left."""
        if self.arrival is not None and not self.arrival.ended:
            self.arrival.was_cut = True
        if self.taken is not None:
            self.standin.engine.engine.cancel(self.taken)

    async def run(self, conduct: Conduct) -> None:
        """Answer a request that runs."""
        if conduct is Conduct.CLOSE:
            self.detach().close()
        elif conduct is Conduct.GARBAGE:
            await self._write_raw(b"\x00\x01 not an answer\r\n\r\n")
        elif conduct is Conduct.RESET:
            await self._reset()
        elif conduct in (Conduct.FAIL, Conduct.UNAVAILABLE):
            self.set_status(500 if conduct is Conduct.FAIL else 503)
            self._sign()
        elif self.standin.engine is not None:
            await self._generate()
        elif self.request.headers.get("Accept") == "text/event-stream":
            await self._stream(conduct)
        else:
            await self._answer(conduct)

    def _sign(self) -> None:
        self.set_header("Zinniaramp-Request-Id", self._request_id())
        self.set_header("Zinniaramp-Server-Stamp", f"stamp.{self.standin.id}")

    def _request_id(self) -> str:
        return self.request.headers.get("Zinniaramp-Request-Id", "")

    async def _answer(self, conduct: Conduct) -> None:
        self._sign()
        if conduct is Conduct.FOREIGN:
            self.set_header("Zinniaramp-Request-Id", "another")
        if conduct is Conduct.UNSIGNED:
            self.clear_header("Zinniaramp-Server-Stamp")
        if conduct is Conduct.ENCODED:
            self.set_header("Content-Encoding", "gzip")
        body = expected_body(self._request_id())
        if conduct in (Conduct.TEAR, Conduct.EXTRA, Conduct.UNFRAMED):
            await self._write_raw(self._raw_answer(conduct, body))
        else:
            self.finish(body)

    def _raw_answer(self, conduct: Conduct, body: bytes) -> bytes:
        head = (
            f"HTTP/1.1 200 OK\r\nZinniaramp-Request-Id: {self._request_id()}\r\n"
            f"Zinniaramp-Server-Stamp: stamp.{self.standin.id}\r\n"
        ).encode()
        length = f"Content-Length: {len(body)}\r\n\r\n".encode()
        if conduct is Conduct.UNFRAMED:
            return head + b"\r\n" + body
        if conduct is Conduct.TEAR:
            return head + length + body[:-3]
        return (head + length + body) * 2

    async def _stream(self, conduct: Conduct) -> None:
        self._sign()
        self.set_header("Content-Type", "text/event-stream")
        last = self.request.headers.get("Last-Event-Id", "0")
        first = int(last) + 1
        if conduct is Conduct.UNFRAMED:
            await self._stream_unframed(first)
            return
        if conduct is Conduct.REPEAT:
            twice = expected_events(self._request_id(), first, first + 1)
            events = expected_events(self._request_id(), first + 1, self.standin.events)
            self.finish(twice + events)
            return
        if conduct not in (Conduct.TEAR, Conduct.STALL):
            events = expected_events(self._request_id(), first, self.standin.events)
            self.finish(events)
            return
        events = expected_events(self._request_id(), first, self.standin.tear_after)
        self.write(events + b"id: 99\ndata: to")
        await self.flush()
        if conduct is Conduct.STALL:
            await self.standin.released.wait()
            return
        await self.standin.has_reader.wait()
        self.detach().close()

    async def _stream_unframed(self, first: int) -> None:
        """Send the first event, and the others once the caller has it."""
        stream = self.detach()
        name, last = self._request_id(), self.standin.events
        head = self._raw_answer(Conduct.UNFRAMED, b"")
        await stream.write(head + expected_events(name, first, first))
        await self.standin.has_reader.wait()
        await stream.write(expected_events(name, first + 1, last))
        stream.close()

    async def _generate(self) -> None:
        """Answer with the events that the engine makes, as it makes them."""
        headers = self.request.headers
        self._sign()
        self.set_header("Content-Type", "text/event-stream")
        first = int(headers.get("Last-Event-Id", "0")) + 1
        name, last = self._request_id(), self.standin.events
        numbers = range(first, last + 1)
        self.taken = self.standin.engine.take(
            request_id=name,
            urgency=headers.get("Zinniaramp-Urgency-Level"),
            parts=read_parts(headers.get("Zinniaramp-Prefix-Hash", "")),
            events=[expected_events(name, one, one).decode() for one in numbers],
        )
        while isinstance(made := await self.taken.answer.get(), Token):
            self.write(made.text)
            await self.flush()

    async def _reset(self) -> None:
        stream = self.detach()
        body = expected_body(self._request_id())
        await stream.write(self._raw_answer(Conduct.UNFRAMED, body[:-3]))
        linger = struct.pack("ii", 1, 0)
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        stream.close()

    async def _write_raw(self, data: bytes) -> None:
        stream = self.detach()
        try:
            await stream.write(data)
        except StreamClosedError:
            self.arrival.was_cut = True
        stream.close()
