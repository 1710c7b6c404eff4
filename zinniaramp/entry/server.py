"""HTTP server for callers that knows which connections have a request in flight."""

from collections.abc import Callable

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPMessageDelegate

__all__ = ["CallerServer"]


class CallerServer(HTTPServer):
    """HTTP server that a graceful shutdown can ask what is still in flight.

    Attributes
    ----------
    in_flight : set
        Connections with a request whose head has arrived and whose answer the
        socket has not taken whole.
    """

    def initialize(self, *args, **kwargs) -> None:
        """Set the server up; `HTTPServer` uses this in place of a constructor."""
        super().initialize(*args, **kwargs)
        self.in_flight: set[object] = set()

    def start_request(self, server_conn, request_conn) -> HTTPMessageDelegate:
        """Expect a request; the answer before it has gone to the socket."""
        self.in_flight.discard(server_conn)
        delegate = super().start_request(server_conn, request_conn)
        return _NotedDelegate(
            delegate=delegate, note_head=lambda: self.in_flight.add(server_conn)
        )

    def on_close(self, server_conn) -> None:
        """Forget a connection that has ended."""
        self.in_flight.discard(server_conn)
        super().on_close(server_conn)

    def end_keep_alive(self) -> None:
        """Let each connection end with the next answer on it."""
        self.conn_params.no_keep_alive = True


class _NotedDelegate(HTTPMessageDelegate):
    """Passes a request on and notes when its head has arrived."""

    def __init__(self, *, delegate: HTTPMessageDelegate, note_head: Callable):
        self.delegate = delegate
        self.note_head = note_head
        self.data_received = delegate.data_received
        self.finish = delegate.finish
        self.on_connection_close = delegate.on_connection_close

    def headers_received(self, start_line, headers):
        """Note the request and pass its head on."""
        self.note_head()
        return self.delegate.headers_received(start_line, headers)
