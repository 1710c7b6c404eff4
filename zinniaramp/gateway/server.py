"""Listener for callers: reads complete requests and starts a handler for each."""

import asyncio
import socket
from collections.abc import Callable
from datetime import timedelta

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
)

from ..clock import Clock
from ..routes import ClientLimits
from .caller import CallerConnection
from .handling import RequestHandler
from .matching import CallerRequest
from .pool import EndpointPool

__all__ = ["CallerServer"]

MIN_HEADER_BYTES = 64 * 1024
"""Size of a header block up to which all are read, in bytes.  A connection that waits
keeps the limit with which it began, so a raised limit would not apply to it."""


class _RequestReader(HTTPMessageDelegate):
    """Reads one complete request and starts its handler."""

    def __init__(self, *, server: "CallerServer", connection: HTTP1Connection):
        self.server = server
        self.connection = connection
        server.idle.add(connection)
        self.start_line: RequestStartLine | None = None
        self.headers = HTTPHeaders()
        self.received = server.clock()
        self.body = bytearray()

    def headers_received(self, start_line: RequestStartLine, headers: HTTPHeaders):
        self.server.idle.discard(self.connection)
        if self.server.limits is not None:
            # The connection has the limit that was in force when it began to wait.
            self.connection.set_max_body_size(self.server.limits.body_bytes)
        self.start_line = start_line
        self.headers = headers
        self.received = self.server.clock()

    def data_received(self, chunk: bytes) -> None:
        self.body += chunk

    def finish(self) -> None:
        if self.connection.stream.closed():
            # The connection was closed as idle before the headers were parsed.  The
            # caller concludes that the request was not read, so it must not be sent.
            return
        request = CallerRequest(
            start_line=self.start_line,
            headers=self.headers,
            body=bytes(self.body),
            received=self.received,
        )
        self.server.handle(request, self.connection)


class _ConnectionDelegate(HTTPServerConnectionDelegate):
    def __init__(self, server: "CallerServer"):
        self.server = server

    def start_request(self, server_conn, request_conn: HTTP1Connection):
        return _RequestReader(server=self.server, connection=request_conn)

    def on_close(self, server_conn) -> None:
        self.server.drop_closed()


class CallerServer:
    """Accepts callers' connections and tracks their requests.

    Parameters
    ----------
    pool : EndpointPool
        State that all handlers share.
    clock : Clock
        The process's clock.

    Attributes
    ----------
    tasks : set of asyncio.Task
        Requests in flight.
    idle : set of HTTP1Connection
        Connections on which no request is in progress.
    is_closing : bool
        Whether each connection closes after its current answer.
    """

    __slots__ = ("pool", "clock", "http", "tasks", "idle", "is_closing", "limits")

    def __init__(self, *, pool: EndpointPool, clock: Clock):
        self.pool = pool
        self.clock = clock
        self.tasks: set[asyncio.Task] = set()
        self.idle: set[HTTP1Connection] = set()
        self.is_closing = False
        self.http = HTTPServer(_ConnectionDelegate(self))
        self.limits: ClientLimits | None = None

    def serve(self, listeners: list[socket.socket]) -> None:
        """Accept connections on listening sockets."""
        self.http.add_sockets(listeners)

    def apply_limits(self, limits: ClientLimits) -> None:
        """Apply a configuration's limits to all requests whose headers are not read.

        The limit on headers applies only above `MIN_HEADER_BYTES`, and the one on idle
        time to connections that begin to wait from now on.
        """
        if limits == self.limits:
            return
        self.limits = limits
        parameters = self.http.conn_params
        parameters.max_header_size = max(limits.header_bytes, MIN_HEADER_BYTES)
        parameters.max_body_size = limits.body_bytes
        parameters.header_timeout = limits.idle_timeout.total_seconds()

    def handle(self, request: CallerRequest, connection: HTTP1Connection) -> None:
        """Start a task for a request; closing the connection cancels the task."""
        caller = CallerConnection(
            connection=connection, is_closing=lambda: self.is_closing
        )
        handler = RequestHandler(pool=self.pool, request=request, caller=caller)
        task = asyncio.create_task(handler.run())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        connection.set_close_callback(_make_cancel_callback(task))

    def disable_keep_alive(self) -> None:
        """Close each connection after its current answer."""
        self.is_closing = True
        self.http.conn_params.no_keep_alive = True

    def refuse_new_requests(self) -> None:
        """Refuse new requests, which could not be finished before the process exits."""
        self.pool.is_refusing = True

    def close_idle(self) -> None:
        """Close the idle connections on which no bytes of a request have arrived."""
        self.drop_closed()
        for connection in [one for one in self.idle if _has_no_input(one)]:
            self.idle.discard(connection)
            connection.close()

    def drop_closed(self) -> None:
        """Remove closed connections from the set of idle ones."""
        self.idle = {one for one in self.idle if not one.stream.closed()}

    async def finish(self, limit: timedelta) -> int:
        """Wait until no request is in flight, up to a limit; return how many remain.

        Requests that arrive during the wait are included.
        """
        deadline = self.clock() + limit
        while self.tasks and self.clock() < deadline:
            left = deadline - self.clock()
            await asyncio.wait(self.tasks, timeout=left.total_seconds())
        return len(self.tasks)

    async def close(self) -> None:
        """Close the listeners and all connections."""
        self.http.stop()
        await self.http.close_all_connections()


def _has_no_input(connection: HTTP1Connection) -> bool:
    """Return whether a connection waits for a request and has received no bytes."""
    if not connection.stream.reading():
        return False
    try:
        return not connection.stream.socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False


def _make_cancel_callback(task: asyncio.Task) -> Callable[[], None]:
    def cancel() -> None:
        task.cancel()

    return cancel
