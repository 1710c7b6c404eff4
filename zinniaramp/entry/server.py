"""HTTP server for callers that tracks requests in flight."""

from collections.abc import Callable

from tornado.httputil import HTTPMessageDelegate

from ..listeners import BoundedServer

__all__ = ["CallerServer"]


class CallerServer(BoundedServer):
    """HTTP server that tracks requests in flight for graceful shutdown.

    Attributes
    ----------
    in_flight : set
        Connections with a request whose head has been received and whose response
        has not been written to the socket completely.
    """

    def initialize(self, *args, **kwargs) -> None:
        """Initialize the server; `HTTPServer` calls this in place of ``__init__``."""
        super().initialize(*args, **kwargs)
        self.in_flight: set[object] = set()

    def make_delegate(self, server_conn, request_conn) -> HTTPMessageDelegate:
        """Prepare for a request; the previous response has been written."""
        self.in_flight.discard(server_conn)
        delegate = super().make_delegate(server_conn, request_conn)
        return _TrackingDelegate(
            delegate=delegate, on_head=lambda: self.in_flight.add(server_conn)
        )

    def on_close(self, server_conn) -> None:
        """Remove a closed connection."""
        self.in_flight.discard(server_conn)
        super().on_close(server_conn)

    def disable_keep_alive(self) -> None:
        """Close each connection after its next response."""
        self.conn_params.no_keep_alive = True


class _TrackingDelegate(HTTPMessageDelegate):
    """Forwards a request to a delegate and reports the arrival of its head."""

    def __init__(self, *, delegate: HTTPMessageDelegate, on_head: Callable):
        self.delegate = delegate
        self.on_head = on_head
        self.data_received = delegate.data_received
        self.finish = delegate.finish
        self.on_connection_close = delegate.on_connection_close

    def headers_received(self, start_line, headers):
        """Report the request and forward its head."""
        self.on_head()
        return self.delegate.headers_received(start_line, headers)
