"""Listener for callers: reads complete requests and starts a handler for each."""

import asyncio
import socket
from collections.abc import Callable
from datetime import timedelta

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPHeaders,
    HTTPServerConnectionDelegate,
    ResponseStartLine,
)

from ..clock import Clock
from ..intake import Account, Kind, Phase
from ..listeners import BoundedServer, MeteredStream
from ..routes import ClientLimits
from .caller import CallerConnection, UnfinishedCallerConnection
from .handling import RequestHandler
from .matching import CallerRequest, RefusalError
from .metrics import ANSWERS
from .pool import EndpointPool
from .request_reader import RequestReader

__all__ = ["CallerServer"]

MIN_HEADER_BYTES = 64 * 1024
"""Size of a header block up to which all are read, in bytes.  A connection that waits
keeps the limit with which it began, so a raised limit would not apply to it."""


UNCONFIGURED_BODY_BYTES = 1024 * 1024
"""Largest body that is read while no configuration is known; its request is refused."""


class _ConnectionDelegate(HTTPServerConnectionDelegate):
    def __init__(self, server: "CallerServer"):
        self.server = server

    def start_request(self, server_conn, request_conn: HTTP1Connection):
        return RequestReader(server=self.server, connection=request_conn)


class CallerServer:
    """Accepts callers' connections and tracks their requests.

    Parameters
    ----------
    pool : EndpointPool
        State that all handlers share.
    account : Account
        Account of the memory and descriptors that connections hold.
    clock : Clock
        The process's clock.

    Attributes
    ----------
    tasks : set of asyncio.Task
        Requests in flight.
    handlers : set of RequestHandler
        Handlers of those that may be sent to an endpoint.
    idle : set of HTTP1Connection
        Connections on which no request is in progress.
    is_closing : bool
        Whether each connection closes after its current answer.
    """

    __slots__ = (
        "pool",
        "account",
        "clock",
        "http",
        "tasks",
        "handlers",
        "idle",
        "is_closing",
        "limits",
    )

    def __init__(self, *, pool: EndpointPool, account: Account, clock: Clock):
        self.pool = pool
        self.account = account
        self.clock = clock
        self.tasks: set[asyncio.Task] = set()
        self.handlers: set[RequestHandler] = set()
        self.idle: set[HTTP1Connection] = set()
        self.is_closing = False
        self.http = BoundedServer.make(
            _ConnectionDelegate(self), account=account, kind=Kind.CALLER
        )
        self.http.make_evict = self._make_evict
        self.http.on_closed = self._forget_closed
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
        parameters.header_timeout = limits.idle_timeout.total_seconds()

    @property
    def max_body_bytes(self) -> int:
        """Largest body of a request, in bytes."""
        return self.limits.body_bytes if self.limits else UNCONFIGURED_BODY_BYTES

    def handle(self, request: CallerRequest, connection: HTTP1Connection) -> None:
        """Start a task for a request; closing the connection cancels the task."""
        caller = CallerConnection(
            connection=connection, is_closing=lambda: self.is_closing
        )
        handler = RequestHandler(pool=self.pool, request=request, caller=caller)
        holder = connection.stream.holder
        if self.account.begin_run(holder):
            running = handler.run()
        else:
            running = handler.refuse(RefusalError(503, "descriptors-short"))
        task = asyncio.create_task(running)
        self.tasks.add(task)
        self.handlers.add(handler)

        def end(task: asyncio.Task) -> None:
            self.tasks.discard(task)
            self.handlers.discard(handler)
            holder.end_run()

        task.add_done_callback(end)
        connection.set_close_callback(_make_cancel_callback(task))

    def find_refusal(self, request: CallerRequest) -> RefusalError | None:
        """Return why a request will be refused whatever its body is, or None."""
        return RequestHandler(
            pool=self.pool, request=request, caller=None
        ).find_refusal()

    def refuse(self, reader: RequestReader, refusal: RefusalError) -> None:
        """Refuse a request whose body was not read, and close its connection."""
        task = asyncio.create_task(self._refuse(reader, refusal))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _refuse(self, reader: RequestReader, refusal: RefusalError) -> None:
        stream = reader.stream
        caller = UnfinishedCallerConnection(
            connection=reader.connection, is_closing=lambda: True
        )
        handler = RequestHandler(
            pool=self.pool, request=reader.request(b""), caller=caller
        )
        await handler.refuse(refusal)
        stream.close_slowly(is_read=lambda: reader.has_ended)

    def _make_evict(self, stream: MeteredStream) -> Callable[[Phase], None]:
        def evict(phase: Phase) -> None:
            if phase is Phase.BODY and not stream.closed():
                stream.reader.drop()
                self.write_not_run(stream.reader.connection)
            stream.close()

        return evict

    def record_refusal(self) -> None:
        """Count a request that was refused for lack of memory."""
        self.account.on_evicted(Kind.CALLER, Phase.HEAD, "refused")

    def write_not_run(self, connection: HTTP1Connection) -> None:
        """Write that a request was not run; the caller of this closes the connection.

        Nothing of the request has been sent.
        """
        ANSWERS.labels("", 503, "gateway").inc()
        headers = HTTPHeaders({"Content-Length": "0", "Connection": "close"})
        headers["Retry-After"] = f"{self.pool.retry_after(None, None):.3f}"
        line = ResponseStartLine("HTTP/1.1", 503, "Service Unavailable")
        connection.write_headers(line, headers)

    def _forget_closed(self, stream: MeteredStream) -> None:
        if stream.reader is not None:
            self.idle.discard(stream.reader.connection)

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

    async def end_unfinished(self, limit: timedelta) -> None:
        """End the requests in flight with an answer, and wait until it is written.

        An answer that has started is cut off.

        Parameters
        ----------
        limit : timedelta
            Longest wait.
        """
        for handler in self.handlers:
            handler.stop()
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=limit.total_seconds())

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
