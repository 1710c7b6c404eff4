"""Handlers of the requests that reach the stand-in of a server."""

import asyncio
import socket
import struct
import time
from typing import TYPE_CHECKING

from tornado.iostream import IOStream, StreamClosedError
from tornado.web import RequestHandler, stream_request_body

from ..engine.core import EngineRequest, Token
from .behaviour import Arrival, ServerBehaviour, expected_body, expected_events
from .engine import parse_segments
from .faults import (
    ENDLESS,
    ENDLESS_CHUNK_BYTES,
    ERRORS,
    EVENT_LIKE,
    MANY_FIELD_BYTES,
    REPEATED_REFUSALS,
    UNFRAMED_TEARS,
    make_short_fields,
    write_endlessly,
)

if TYPE_CHECKING:
    from .server import ServerStandin

__all__ = ["CachedSegmentsHandler", "ReportHandler", "ServerHandler"]

COMMENT = b": " + b"x" * 9_996 + b"\n\n"
"""Comment that makes a complete stream longer, and that readers ignore."""


class CachedSegmentsHandler(RequestHandler):
    """Handler of ``GET /kv-list``."""

    def initialize(self, standin: "ServerStandin") -> None:
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

    def initialize(self, standin: "ServerStandin") -> None:
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
        if self.standin.cold_ms:
            self.set_header("Zinniaramp-Cold-Ms", str(self.standin.cold_ms))
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
        if behaviour in REPEATED_REFUSALS:
            self._refuse_again(behaviour)
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

    def _refuse_again(self, behaviour: ServerBehaviour) -> None:
        """Refuse a request, and write where the next answer is due that it was."""
        stream = self.request.connection.stream
        self.set_status(503)
        self.set_header("Zinniaramp-Not-Executed", "1")
        self.set_header("Zinniaramp-Request-Id", self._request_id())
        self.finish()
        lines = ["HTTP/1.1 503 Service Unavailable", "Zinniaramp-Not-Executed: 1"]
        if behaviour is ServerBehaviour.SHED_AGAIN:
            lines.append(f"Zinniaramp-Request-Id: {self._request_id()}")
        lines += ["Content-Length: 0", "", ""]
        stream.write("\r\n".join(lines).encode())

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
        elif behaviour in ENDLESS:
            await self._answer_endlessly(behaviour)
        elif behaviour is ServerBehaviour.UNFRAMED_EMPTY:
            await self._write_raw(self._raw_answer(ServerBehaviour.UNFRAMED, b""))
        elif behaviour in ERRORS:
            status, body = ERRORS[behaviour]
            self.set_status(status)
            self._sign()
            self.finish(body or None)
        elif behaviour is ServerBehaviour.FAIL_UNFRAMED:
            head = self._raw_answer(ServerBehaviour.UNFRAMED, EVENT_LIKE)
            await self._write_raw(head.replace(b"200 OK", b"500 Error", 1))
        elif self.standin.engine is not None:
            await self._generate()
        elif self.request.headers.get("Accept") == "text/event-stream":
            await self._stream(behaviour)
        else:
            await self._answer(behaviour)

    async def _answer_endlessly(self, behaviour: ServerBehaviour) -> None:
        head = self._raw_answer(ServerBehaviour.UNFRAMED, b"")
        piece = b"x"
        if behaviour is ServerBehaviour.ENDLESS_HEAD:
            head = b""
        elif behaviour is ServerBehaviour.ENDLESS_FIELDS:
            head = b"HTTP/1.1 200 OK\r\n"
            piece = make_short_fields(ENDLESS_CHUNK_BYTES)
        elif behaviour is ServerBehaviour.MANY_FIELDS:
            fields = make_short_fields(MANY_FIELD_BYTES)
            head = head.removesuffix(b"\r\n") + fields + b"\r\n"
        await write_endlessly(self.standin, self.detach(), head, piece)
        self.arrival.was_disconnected = True

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
        body = expected_body(self._request_id()) + b"x" * self.standin.padding_bytes
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
        if behaviour in UNFRAMED_TEARS:
            head = self._raw_answer(ServerBehaviour.UNFRAMED, b"")
            events = expected_events(self._request_id(), first, first + 1)
            end, rest = UNFRAMED_TEARS[behaviour]
            await self._write_raw(head + events[:end] + rest)
            return
        if behaviour is ServerBehaviour.REPEAT:
            start = expected_events(self._request_id(), first, first + 1)
            events = expected_events(self._request_id(), first + 1, self.standin.events)
            self.finish(start + events)
            return
        if behaviour is ServerBehaviour.ODD_ID:
            events = expected_events(self._request_id(), first, self.standin.events)
            written, odd = b"id: %d\n" % self.standin.odd_event, self.standin.odd_id
            self.finish(events.replace(written, b"id: %b\n" % odd))
            return
        if self.standin.event_seconds:
            await self._stream_slowly(first)
            return
        if behaviour not in (ServerBehaviour.TEAR, ServerBehaviour.STALL):
            events = expected_events(self._request_id(), first, self.standin.events)
            comments = self.standin.padding_bytes // len(COMMENT)
            self.finish(events + COMMENT * comments)
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

    async def _stream_slowly(self, first: int) -> None:
        """Send one event at a time."""
        for number in range(first, self.standin.events + 1):
            self.write(expected_events(self._request_id(), number, number))
            try:
                await self.flush()
            except StreamClosedError:
                self.arrival.was_disconnected = True
                return
            await asyncio.sleep(self.standin.event_seconds)

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

    async def _write_raw(self, data: bytes) -> None:
        stream = self.detach()
        try:
            await stream.write(data)
        except StreamClosedError:
            self.arrival.was_disconnected = True
        stream.close()
