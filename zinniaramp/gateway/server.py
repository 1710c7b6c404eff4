"""Listener for callers: reads whole requests and runs a handler for each."""

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
from .matching import Incoming
from .pool import EndpointPool

__all__ = ["CallerServer"]


class _RequestReader(HTTPMessageDelegate):
    """Collects one request and starts its handler."""

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
        self.start_line = start_line
        self.headers = headers
        self.received = self.server.clock()

    def data_received(self, chunk: bytes) -> None:
        self.body += chunk

    def finish(self) -> None:
        if self.connection.stream.closed():
            # Closed while its head waited to be parsed: the caller has been told
            # that nothing was read, so nothing may be sent.
            return
        incoming = Incoming(
            start_line=self.start_line,
            headers=self.headers,
            body=bytes(self.body),
            received=self.received,
        )
        self.server.handle(incoming, self.connection)


class _Delegate(HTTPServerConnectionDelegate):
    def __init__(self, server: "CallerServer"):
        self.server = server

    def start_request(self, server_conn, request_conn: HTTP1Connection):
        return _RequestReader(server=self.server, connection=request_conn)

    def on_close(self, server_conn) -> None:
        self.server.drop_closed()


class CallerServer:
    """Takes callers' requests.

    Parameters
    ----------
    pool : EndpointPool
        What handlers share.
    clock : Clock
        The process's clock.

    Attributes
    ----------
    tasks : set of asyncio.Task
        Requests in flight.
    idle : set of HTTP1Connection
        Connections on which no request has begun.
    is_closing : bool
        Whether connections are closed after the answer under way.
    """

    __slots__ = ("pool", "clock", "http", "tasks", "idle", "is_closing", "limits")

    def __init__(self, *, pool: EndpointPool, clock: Clock):
        self.pool = pool
        self.clock = clock
        self.tasks: set[asyncio.Task] = set()
        self.idle: set[HTTP1Connection] = set()
        self.is_closing = False
        self.http = HTTPServer(_Delegate(self))
        self.limits: ClientLimits | None = None

    def serve(self, listeners: list[socket.socket]) -> None:
        """Take the requests that come to some listening sockets."""
        self.http.add_sockets(listeners)

    def apply_limits(self, limits: ClientLimits) -> None:
        """Put a configuration's limits in force for what is read from now on."""
        if limits == self.limits:
            return
        self.limits = limits
        parameters = self.http.conn_params
        parameters.max_header_size = limits.header_bytes
        parameters.max_body_size = limits.body_bytes
        parameters.header_timeout = limits.idle_timeout.total_seconds()

    def handle(self, incoming: Incoming, connection: HTTP1Connection) -> None:
        """Start the handler of a request."""
        if self.pool.registry.configuration is not None:
            self.apply_limits(self.pool.registry.configuration.limits)
        caller = CallerConnection(
            connection=connection, is_closing=lambda: self.is_closing
        )
        handler = RequestHandler(pool=self.pool, incoming=incoming, caller=caller)
        task = asyncio.create_task(handler.run())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        connection.set_close_callback(_cancel(task))

    def close_after_answers(self) -> None:
        """Close each connection after its answer from now on."""
        self.is_closing = True
        self.http.conn_params.no_keep_alive = True

    def refuse_from_now_on(self) -> None:
        """Refuse what comes; it could not be finished before the process ends."""
        self.pool.is_refusing = True

    def close_idle(self) -> None:
        """Close the connections on which no request has begun."""
        self.drop_closed()
        for connection in [one for one in self.idle if _is_quiet(one)]:
            self.idle.discard(connection)
            connection.close()

    def drop_closed(self) -> None:
        """Forget connections that have been closed."""
        self.idle = {one for one in self.idle if not one.stream.closed()}

    async def finish(self, limit: timedelta) -> int:
        """Wait for requests in flight, later ones too; return how many are left."""
        until = self.clock() + limit
        while self.tasks and self.clock() < until:
            left = until - self.clock()
            await asyncio.wait(self.tasks, timeout=left.total_seconds())
        return len(self.tasks)

    async def close(self) -> None:
        """Close the listener and all connections."""
        self.http.stop()
        await self.http.close_all_connections()


def _is_quiet(connection: HTTP1Connection) -> bool:
    """Whether nothing has come on a connection that waits for a request."""
    if not connection.stream.reading():
        return False
    try:
        return not connection.stream.socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False


def _cancel(task: asyncio.Task) -> Callable[[], None]:
    def cancel() -> None:
        task.cancel()

    return cancel
