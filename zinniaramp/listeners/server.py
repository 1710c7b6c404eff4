"""HTTP servers whose connections are admitted by the account."""

import socket
from collections.abc import Callable
from datetime import timedelta

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPMessageDelegate
from tornado.web import Application

from ..buffers import count_unread, limit_receive_buffer
from ..intake import Account, Kind, Phase
from ..sockets import bind_listeners
from .limiting import BodyLimiter, BodyPolicy
from .streams import MeteredStream, ParseQueue

__all__ = ["BoundedServer", "serve_application"]

READ_BYTES = 16 * 1024
"""Size of one read, and largest piece of a body.  The library holds up to three pieces
of a chunked body: 120 of them took 23 MB with pieces of 64 KB."""

MAX_STREAM_BUFFER_BYTES = 256 * 1024
"""Limit on what a library may buffer of one connection; a header block has 64 KB.  A
caller that sends more while its header block waits for its turn is disconnected."""

CHECKER_TIMEOUT = timedelta(seconds=30)
"""Time after which an unused connection of a health checker or scraper is closed."""

CHECKER_HEADER_BYTES = 16 * 1024
"""Largest header block of a health check or of a request for metrics."""

CHECKER_BODY_BYTES = 16 * 1024
"""Largest body of such a request, and of an operator's; none of them needs one."""


class BoundedServer(HTTPServer):
    """HTTP server whose connections are admitted by the account.

    Use `make` to create one.

    Attributes
    ----------
    account : Account
        Account of the process.
    kind : Kind
        Kind of the listener.
    policy : BodyPolicy or None
        Limits of the requests; None if the handler applies limits of its own.
    make_evict : callable
        Returns the function that closes a connection which is evicted.
    on_closed : callable
        Called with each connection that was closed.
    """

    account: Account
    kind: Kind
    policy: BodyPolicy | None

    @classmethod
    def make(
        cls,
        handler,
        *,
        account: Account,
        kind: Kind,
        policy: BodyPolicy | None = None,
        **options,
    ):
        """Return a server for a delegate or application."""
        server = cls(handler, chunk_size=READ_BYTES, **options)
        server.policy = policy
        server.account = account
        server.kind = kind
        server.parse_queue = ParseQueue()
        server.make_evict = _make_evict
        server.on_closed = lambda stream: None
        return server

    def _handle_connection(self, connection: socket.socket, address: tuple) -> None:
        stream = MeteredStream(
            connection,
            max_buffer_size=MAX_STREAM_BUFFER_BYTES,
            read_chunk_size=READ_BYTES,
        )
        stream.parse_queue = self.parse_queue
        stream.holder = self.account.open(
            self.kind, self.make_evict(stream), lambda: count_unread(connection)
        )
        if stream.holder is None:
            stream.close()
            return
        limit_receive_buffer(connection, self.account.receive_buffer())
        self.handle_stream(stream, address)

    def start_request(self, server_conn, request_conn) -> HTTPMessageDelegate:
        """Return the reader of the next request; the HTTP library calls this."""
        delegate = self.make_delegate(server_conn, request_conn)
        if self.policy is None:
            return delegate
        return BodyLimiter(
            delegate=delegate, connection=request_conn, policy=self.policy
        )

    def make_delegate(self, server_conn, request_conn) -> HTTPMessageDelegate:
        """Return the handler of the next request."""
        return super().start_request(server_conn, request_conn)

    def on_close(self, server_conn) -> None:
        """Remove a closed connection from the account."""
        super().on_close(server_conn)
        stream = server_conn.stream
        stream.holder.close()
        self.on_closed(stream)
        # The reader refers to the connection, and garbage is collected rarely.
        stream.reader = None


def _make_evict(stream: MeteredStream) -> Callable[[Phase], None]:
    def evict(phase: Phase) -> None:
        # The library frees a body only in its next step, after those of others.
        if phase is Phase.BODY and not stream.closed():
            stream.reader.drop()
        stream.close()

    return evict


def serve_application(
    application: Application, *, account: Account, kind: Kind, port: int, ip: str
) -> BoundedServer:
    """Serve an application that is not for callers, such as health checks."""
    server = BoundedServer.make(
        application,
        account=account,
        kind=kind,
        policy=BodyPolicy(max_bytes=CHECKER_BODY_BYTES),
        max_header_size=CHECKER_HEADER_BYTES,
        idle_connection_timeout=CHECKER_TIMEOUT.total_seconds(),
        body_timeout=CHECKER_TIMEOUT.total_seconds(),
    )
    server.add_sockets(bind_listeners(port, ip))
    return server
