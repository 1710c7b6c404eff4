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
    """Accepts streams and hands each over after its handshake.

    Parameters
    ----------
    identity : Identity
        What this process says of itself.
    welcome : callable
        Returns the `Welcome` for a new stream.
    serve : callable
        Coroutine function that serves one open `Connection` until it ends.
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
        """Complete the handshake and serve the stream."""
        opened = await accept(
            stream,
            f"{address[0]}:{address[1]}",
            identity=self.identity,
            welcome=self.welcome,
            clock=self.clock,
        )
        if isinstance(opened, Ok):
            await self.serve_to_end(opened.ok_value)

    async def serve_to_end(self, connection: Connection) -> None:
        """Serve a stream, and close it also if that fails."""
        try:
            await self.serve(connection)
        finally:
            connection.close(reason="not served any more")
