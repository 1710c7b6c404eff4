"""Stand-in for a server, with plain answers, streamed answers and faults."""

import asyncio
from collections import deque
from dataclasses import dataclass, field

from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.netutil import bind_sockets
from tornado.web import Application

from .behaviour import Arrival, CrashRequest, ServerBehaviour
from .engine import SegmentEngine
from .handlers import CachedSegmentsHandler, ReportHandler, ServerHandler

__all__ = ["ServerStandin"]

LOOPBACK = "127.0.0.1"
"""Address on which the stand-in listens."""

MAX_BODY_BYTES = 64 * 1024 * 1024
"""Largest accepted request body, in bytes."""


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
    cold_ms : int
        Value of ``Zinniaramp-Cold-Ms`` in all answers; 0 omits it.
    refuses_reads : bool
        Whether a model server sheds the calls that read its cached segments.
    reads : int
        Number of calls that read the cached segments.
    padding_bytes : int
        Bytes that are appended to each plain answer, and comments of about so many to
        each complete stream.
    events : int
        Number of events in a complete stream.
    event_seconds : float
        Time between two events of a stream; 0 sends them at once.
    events_before_tear : int
        Number of complete events in a stream that is torn or stalls.
    odd_event : int
        Number of the event that `ServerBehaviour.ODD_ID` is about.
    odd_id : bytes
        Id of that event.
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
    cold_ms: int = 0
    refuses_reads: bool = False
    reads: int = 0
    padding_bytes: int = 0
    events: int = 4
    event_seconds: float = 0
    events_before_tear: int = 2
    odd_event: int = 0
    odd_id: bytes = b""
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
