"""Stand-in for a server, with plain answers, streamed answers and faults."""

import asyncio
import socket
import struct
import time
from collections import deque
from dataclasses import dataclass, field

from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler, stream_request_body

from ..engine.core import EngineRequest, Token
from .behaviour import (
    Arrival,
    CrashRequest,
    ServerBehaviour,
    expected_body,
    expected_events,
)
from .engine import SegmentEngine, parse_segments

__all__ = ["ServerStandin"]

LOOPBACK = "127.0.0.1"
"""Address on which the stand-in listens."""

MAX_BODY_BYTES = 64 * 1024 * 1024
"""Largest accepted request body, in bytes."""

ENDLESS_CHUNK_BYTES = 64 * 1024
"""Bytes that an answer without an end is extended by at a time."""


@dataclass(slots=True, kw_only=True)
class ServerStandin:
    """A server with configurable behaviour for each request.

    Attributes
    ----------
    id : str
        Instance id; a request that expects another id is answered 421.
    behaviours : deque of ServerBehaviour
        Behaviour for each of the next requests; `ServerBehaviour.ANSWER` when empty.
    retry_after : float or None
        ``Retry-After`` of the answers that shed a request, in seconds; None omits it.
    is_leaving : bool
        Whether all answers report that the server is leaving.
    crash_segment : str
        Name of a prompt segment whose requests end the server once it begins to answer
        them; empty if there is none.
    events_before_crash : int
        Number of events that such a request gets before the server ends.
    crash_request : CrashRequest or None
        Content of the request that ends the server once it has begun to run it.
    is_unframed : bool
        Whether streams of the engine have neither a length nor chunks.
    has_ended : bool
        Whether the server has crashed.
    connections : set of IOStream
        Connections of the requests in progress.
    has_endless_reads : bool
        Whether the answers to these calls never end.
    endless_bytes, endless_answers : int
        Bytes in answers without an end so far, and how many of these were closed.
    limit : str
        Value of ``Server-Limit`` in all answers; empty omits it.
    refuses_reads : bool
        Whether a model server sheds the calls that read its cached segments.
    reads : int
        Number of calls that read the cached segments.
    events : int
        Number of events in a complete stream.
    events_before_tear : int
        Number of complete events in a stream that is torn or stalls.
    released : asyncio.Event
        Set by the test to continue requests that are held or stalled.
    answer_started : asyncio.Event
        Set by the test when a caller has received the headers of an answer.  Only
        then is a torn stream closed, or a stream without a length continued.
    arrivals : list of Arrival
        Requests in order of arrival.
    engine : SegmentEngine or None
        Engine of a model server, which generates the streams.  The owner runs its
        step loop.
    server : HTTPServer or None
        The HTTP server; None before `listen`.
    port : int
        Port of the server; 0 before `listen`.
    """

    id: str
    behaviours: deque[ServerBehaviour] = field(default_factory=deque)
    retry_after: float | None = None
    is_leaving: bool = False
    crash_segment: str = ""
    events_before_crash: int = 0
    crash_request: CrashRequest | None = None
    is_unframed: bool = False
    has_ended: bool = False
    connections: set[IOStream] = field(default_factory=set)
    has_endless_reads: bool = False
    endless_bytes: int = 0
    endless_answers: int = 0
    limit: str = ""
    refuses_reads: bool = False
    reads: int = 0
    events: int = 4
    events_before_tear: int = 2
    released: asyncio.Event = field(default_factory=asyncio.Event)
    answer_started: asyncio.Event = field(default_factory=asyncio.Event)
    arrivals: list[Arrival] = field(default_factory=list)
    engine: SegmentEngine | None = None
    server: HTTPServer | None = None
    port: int = 0

    def listen(self) -> None:
        """Listen on a free port of loopback."""
        sockets = bind_sockets(0, LOOPBACK)
        self.port = sockets[0].getsockname()[1]
        routes = [("/.*", ServerHandler, {"standin": self})]
        if self.engine is not None:
            arguments = {"standin": self}
            routes[:0] = [
                ("/kv-list", CachedSegmentsHandler, arguments),
                ("/report", ReportHandler, arguments),
            ]
        application = Application(routes)
        self.server = HTTPServer(application, max_body_size=MAX_BODY_BYTES)
        self.server.add_sockets(sockets)

    def crash(self) -> None:
        """Stop listening and close all connections, in the middle of the answers."""
        self.has_ended = True
        self.server.stop()
        for connection in tuple(self.connections):
            connection.close()
        self.connections.clear()

    @property
    def runs(self) -> list[Arrival]:
        """Requests whose execution has started."""
        return [arrival for arrival in self.arrivals if arrival.was_executed]


async def write_endlessly(standin: ServerStandin, stream: IOStream, head: bytes):
    """Send bytes that never end until the caller closes the connection.

    Parameters
    ----------
    standin : ServerStandin
        Server that counts the bytes.
    stream : IOStream
        Connection of the caller.
    head : bytes
        Status line and headers; empty if the bytes are no answer from the start.
    """
    try:
        await stream.write(head)
        while True:
            await stream.write(b"x" * ENDLESS_CHUNK_BYTES)
            standin.endless_bytes += ENDLESS_CHUNK_BYTES
    except StreamClosedError:
        standin.endless_answers += 1


class CachedSegmentsHandler(RequestHandler):
    """Handler of ``GET /kv-list``."""

    def initialize(self, standin: ServerStandin) -> None:
        """Keep a reference to the stand-in."""
        self.standin = standin

    async def get(self) -> None:
        """Answer with the prompt segments in the engine's KV cache."""
        self.standin.reads += 1
        if self.standin.has_endless_reads:
            head = b"HTTP/1.1 200 OK\r\n\r\n"
            await write_endlessly(self.standin, self.detach(), head)
            return
        if self.standin.refuses_reads:
            self.set_status(503)
            self.set_header("Retry-After", str(self.standin.retry_after))
            return
        self.finish(self.standin.engine.list_cached())


class ReportHandler(CachedSegmentsHandler):
    """Handler of ``GET /report``."""

    async def get(self) -> None:
        """Answer with the engine's load and capacity."""
        self.finish(self.standin.engine.report())


@stream_request_body
class ServerHandler(RequestHandler):
    """Handler of the requests that a gateway forwards, on every path."""

    def initialize(self, standin: ServerStandin) -> None:
        """Keep a reference to the stand-in."""
        self.standin = standin
        self.arrival: Arrival | None = None
        self.taken: EngineRequest | None = None
        self.body = bytearray()

    async def prepare(self) -> None:
        """Answer before the body is received if the next behaviour is ``early``."""
        if self.standin.is_leaving:
            self.set_header("Server-Leaving", "1")
        if self.standin.limit:
            self.set_header("Server-Limit", self.standin.limit)
        behaviours = self.standin.behaviours
        if not behaviours or behaviours[0] is not ServerBehaviour.EARLY:
            return
        behaviours.popleft()
        self._sign()
        self.set_status(500)
        self.finish()

    def data_received(self, chunk: bytes) -> None:
        """Append a chunk to the received body."""
        self.body += chunk

    async def handle(self) -> None:
        """Record the request and answer it according to the next behaviour."""
        self.arrival = Arrival(
            received_at=time.monotonic(),
            method=self.request.method,
            target=self.request.uri,
            headers=dict(self.request.headers),
            body=bytes(self.body),
        )
        self.standin.arrivals.append(self.arrival)
        self.standin.connections.add(self.request.connection.stream)
        expected = self.request.headers.get("Zinniaramp-Expect-Instance")
        if expected not in (None, self.standin.id):
            self.set_status(421)
            self.set_header("Zinniaramp-Instance-Id", self.standin.id)
            return
        behaviours = self.standin.behaviours
        behaviour = behaviours.popleft() if behaviours else ServerBehaviour.ANSWER
        if behaviour is ServerBehaviour.SHED:
            self.set_status(503)
            self.set_header("Zinniaramp-Not-Executed", "1")
            if self.standin.retry_after is not None:
                self.set_header("Retry-After", str(self.standin.retry_after))
            return
        self.arrival.was_executed = True
        if behaviour is ServerBehaviour.HOLD:
            await self.standin.released.wait()
        crash_request = self.standin.crash_request
        if crash_request is not None and crash_request.matches(self.arrival):
            await asyncio.sleep(crash_request.seconds)
            self.standin.crash()
            return
        await self.run(behaviour)
        self.arrival.ended = True

    get = post = put = delete = patch = handle

    def on_connection_close(self) -> None:
        """Record that the caller has disconnected and cancel its generation."""
        if self.arrival is not None and not self.arrival.ended:
            self.arrival.was_disconnected = True
        if self.taken is not None:
            self.standin.engine.engine.cancel(self.taken)

    async def run(self, behaviour: ServerBehaviour) -> None:
        """Execute a request and answer it according to a behaviour."""
        if behaviour is ServerBehaviour.CLOSE:
            self.detach().close()
        elif behaviour is ServerBehaviour.GARBAGE:
            await self._write_raw(b"\x00\x01 not an answer\r\n\r\n")
        elif behaviour is ServerBehaviour.RESET:
            await self._reset()
        elif behaviour is ServerBehaviour.ENDLESS_HEAD:
            await self._write_endlessly(b"")
        elif behaviour is ServerBehaviour.ENDLESS_BODY:
            await self._write_endlessly(self._raw_answer(ServerBehaviour.UNFRAMED, b""))
        elif behaviour is ServerBehaviour.UNFRAMED_EMPTY:
            await self._write_raw(self._raw_answer(ServerBehaviour.UNFRAMED, b""))
        elif behaviour in (ServerBehaviour.FAIL, ServerBehaviour.UNAVAILABLE):
            self.set_status(500 if behaviour is ServerBehaviour.FAIL else 503)
            self._sign()
        elif self.standin.engine is not None:
            await self._generate()
        elif self.request.headers.get("Accept") == "text/event-stream":
            await self._stream(behaviour)
        else:
            await self._answer(behaviour)

    def _sign(self) -> None:
        self.set_header("Zinniaramp-Request-Id", self._request_id())
        self.set_header("Zinniaramp-Server-Stamp", f"stamp.{self.standin.id}")

    def _request_id(self) -> str:
        return self.request.headers.get("Zinniaramp-Request-Id", "")

    async def _answer(self, behaviour: ServerBehaviour) -> None:
        self._sign()
        if behaviour is ServerBehaviour.FOREIGN:
            self.set_header("Zinniaramp-Request-Id", "another")
        if behaviour is ServerBehaviour.UNSIGNED:
            self.clear_header("Zinniaramp-Server-Stamp")
        if behaviour is ServerBehaviour.ENCODED:
            self.set_header("Content-Encoding", "gzip")
        body = expected_body(self._request_id())
        if behaviour in (
            ServerBehaviour.TEAR,
            ServerBehaviour.EXTRA,
            ServerBehaviour.UNFRAMED,
        ):
            await self._write_raw(self._raw_answer(behaviour, body))
        else:
            self.finish(body)

    def _raw_answer(self, behaviour: ServerBehaviour, body: bytes) -> bytes:
        head = (
            f"HTTP/1.1 200 OK\r\nZinniaramp-Request-Id: {self._request_id()}\r\n"
            f"Zinniaramp-Server-Stamp: stamp.{self.standin.id}\r\n"
        ).encode()
        length = f"Content-Length: {len(body)}\r\n\r\n".encode()
        if behaviour is ServerBehaviour.UNFRAMED:
            return head + b"\r\n" + body
        if behaviour is ServerBehaviour.TEAR:
            return head + length + body[:-3]
        return (head + length + body) * 2

    async def _stream(self, behaviour: ServerBehaviour) -> None:
        self._sign()
        self.set_header("Content-Type", "text/event-stream")
        last = self.request.headers.get("Last-Event-Id", "0")
        first = int(last) + 1
        if behaviour is ServerBehaviour.UNFRAMED:
            await self._stream_unframed(first)
            return
        if behaviour is ServerBehaviour.UNFRAMED_TEAR:
            head = self._raw_answer(ServerBehaviour.UNFRAMED, b"")
            events = expected_events(self._request_id(), first, first + 1)
            await self._write_raw(head + events[:-4])
            return
        if behaviour is ServerBehaviour.REPEAT:
            start = expected_events(self._request_id(), first, first + 1)
            events = expected_events(self._request_id(), first + 1, self.standin.events)
            self.finish(start + events)
            return
        if behaviour not in (ServerBehaviour.TEAR, ServerBehaviour.STALL):
            events = expected_events(self._request_id(), first, self.standin.events)
            self.finish(events)
            return
        events = expected_events(
            self._request_id(), first, self.standin.events_before_tear
        )
        self.write(events + b"id: 99\ndata: to")
        await self.flush()
        if behaviour is ServerBehaviour.STALL:
            await self.standin.released.wait()
            return
        await self.standin.answer_started.wait()
        self.detach().close()

    async def _stream_unframed(self, first: int) -> None:
        """Send the first event, and the others once `answer_started` is set."""
        stream = self.detach()
        name, last = self._request_id(), self.standin.events
        head = self._raw_answer(ServerBehaviour.UNFRAMED, b"")
        await stream.write(head + expected_events(name, first, first))
        await self.standin.answer_started.wait()
        await stream.write(expected_events(name, first + 1, last))
        stream.close()

    async def _generate(self) -> None:
        """Stream the events that the engine generates."""
        headers = self.request.headers
        parts = parse_segments(headers.get("Zinniaramp-Prefix-Hash", ""))
        crash_after = None
        if self.standin.crash_segment in [segment.name for segment in parts]:
            crash_after = self.standin.events_before_crash
        stream = await self._start_stream()
        first = int(headers.get("Last-Event-Id", "0")) + 1
        name, last = self._request_id(), self.standin.events
        numbers = range(first, last + 1)
        self.taken = self.standin.engine.submit(
            request_id=name,
            urgency=headers.get("Zinniaramp-Urgency-Level"),
            parts=parts,
            events=[expected_events(name, i, i).decode() for i in numbers],
        )
        sent = 0
        while isinstance(item := await self.taken.answer.get(), Token):
            if sent == crash_after:
                self.standin.crash()
                return
            await self._send_event(stream, item.text)
            sent += 1
        if stream is not None:
            stream.close()

    async def _start_stream(self) -> IOStream | None:
        """Send or prepare the headers; return the connection of an unframed stream."""
        if not self.standin.is_unframed:
            self._sign()
            self.set_header("Content-Type", "text/event-stream")
            return None
        stream = self.detach()
        await stream.write(self._raw_answer(ServerBehaviour.UNFRAMED, b""))
        return stream

    async def _send_event(self, stream: IOStream | None, text: str) -> None:
        if stream is not None:
            await stream.write(text.encode())
            return
        self.write(text)
        await self.flush()

    async def _reset(self) -> None:
        stream = self.detach()
        body = expected_body(self._request_id())
        await stream.write(self._raw_answer(ServerBehaviour.UNFRAMED, body[:-3]))
        linger = struct.pack("ii", 1, 0)
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        stream.close()

    async def _write_endlessly(self, head: bytes) -> None:
        await write_endlessly(self.standin, self.detach(), head)
        self.arrival.was_disconnected = True

    async def _write_raw(self, data: bytes) -> None:
        stream = self.detach()
        try:
            await stream.write(data)
        except StreamClosedError:
            self.arrival.was_disconnected = True
        stream.close()
