"""The listening side of streams."""

from collections.abc import Awaitable, Callable

from result import Ok
from tornado.tcpserver import TCPServer

from ..clock import Clock
from ..contracts import Welcome
from .core import Connection
from .handshake import Identity, accept

__all__ = ["Listener"]


class Listener(TCPServer):
    """Accepts streams, performs their handshakes and serves them.

    Parameters
    ----------
    identity : Identity
        Identity of this process.
    welcome : callable
        Function that returns the `Welcome` for a new stream.
    serve : callable
        Coroutine function that serves one open `Connection` until it is closed.
    clock : Clock
        Clock of the connections.
    """

    def __init__(
        self,
        *,
        identity: Identity,
        welcome: Callable[[], Welcome],
        serve: Callable[[Connection], Awaitable[None]],
        clock: Clock,
    ):
        super().__init__()
        self.identity = identity
        self.welcome = welcome
        self.serve = serve
        self.clock = clock

    async def handle_stream(self, stream, address):
        """Perform the handshake and serve the stream if it succeeds."""
        opened = await accept(
            stream,
            f"{address[0]}:{address[1]}",
            identity=self.identity,
            welcome=self.welcome,
            clock=self.clock,
        )
        if isinstance(opened, Ok):
            await self.serve_and_close(opened.ok_value)

    async def serve_and_close(self, connection: Connection) -> None:
        """Serve a stream, and close it even if serving fails or is cancelled."""
        try:
            await self.serve(connection)
        finally:
            connection.close(reason="serving ended")
